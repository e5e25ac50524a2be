#ifndef PARSLEYSPINDLE_LIBGATEWAY_RELEASE_TABLE_H
#define PARSLEYSPINDLE_LIBGATEWAY_RELEASE_TABLE_H

#include "LibGateway/upstream_entry.h"

#include <map>
#include <mutex>
#include <vector>

namespace spindle {

/// Stores the newest announced version of each adapter. Thread-safe.
class release_table {
public:
  /// Applies the announced releases. Never replaces a version by an older one.
  void apply(const std::vector<adapter_release> &Releases);
  /// Returns the newest announced version of the adapter, 0 if there is none.
  std::uint64_t newestVersion(const adapter_name &Name) const;

private:
  mutable std::mutex Mutex;
  std::map<adapter_name, std::uint64_t> Versions;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_RELEASE_TABLE_H
