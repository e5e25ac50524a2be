#ifndef PARSLEYSPINDLE_SPINDLECTL_FLEET_STATE_H
#define PARSLEYSPINDLE_SPINDLECTL_FLEET_STATE_H

#include "LibConfiguration/intent.h"
#include "LibMembership/lease_record.h"
#include "LibPlatform/platform_port.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace spindle {

/// The hosts' state as stored at the platform.
struct fleet_state {
  std::map<std::string, lease_record> Leases;
  /// By host: the lease's version as an object.
  std::map<std::string, std::uint64_t> LeaseVersions;
  /// Hosts in the platform's list of machines.
  std::set<std::string> Machines;
};

/// Reads the leases of all declared zones and the list of machines.
/// \throws spindle_error PlatformUnavailable.
fleet_state readFleetState(const platform_port &Platform,
                           const std::vector<zone_declaration> &Zones);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLECTL_FLEET_STATE_H
