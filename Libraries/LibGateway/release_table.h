#ifndef PARSLEYSPINDLE_LIBGATEWAY_RELEASE_TABLE_H
#define PARSLEYSPINDLE_LIBGATEWAY_RELEASE_TABLE_H

#include "LibGateway/upstream_entry.h"

#include <map>
#include <mutex>
#include <vector>

namespace spindle {

/// The newest announced version of each adapter. Thread-safe.
class release_table {
public:
  /// Replaces the releases. A version never goes back.
  void apply(const std::vector<adapter_release> &Releases);
  /// 0 if no version was announced.
  std::uint64_t newestVersion(const adapter_name &Name) const;

private:
  mutable std::mutex Mutex;
  std::map<adapter_name, std::uint64_t> Versions;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_RELEASE_TABLE_H
