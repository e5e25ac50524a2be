#ifndef PARSLEYSPINDLE_LIBGATEWAY_REGISTERED_UPSTREAMS_H
#define PARSLEYSPINDLE_LIBGATEWAY_REGISTERED_UPSTREAMS_H

#include "LibGateway/platform_availability.h"
#include "LibGateway/upstream_entry.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace spindle {

/// The upstreams that a host may use. Modified only through the function below,
/// which is not thread-safe.
struct registered_upstreams {
  std::map<std::string, upstream_pointer> Entries;
  /// The names of entries whose registration is missing, but may have expired
  /// only because the upstream could not renew it during an outage of the
  /// platform.
  std::set<std::string> Kept;
};

/// Replaces the entries by \p Present, the current registrations by name, and
/// keeps those that an outage of the platform may have removed. Returns the
/// names that are kept and were not before.
std::vector<std::string>
applyRegistrations(registered_upstreams &Upstreams,
                   std::map<std::string, upstream_pointer> Present,
                   const platform_availability &Platform, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_REGISTERED_UPSTREAMS_H
