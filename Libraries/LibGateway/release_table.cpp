#include "LibGateway/release_table.h"

#include "LibLog/log.h"

namespace spindle {

void release_table::apply(const std::vector<adapter_release> &Releases) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const adapter_release &Release : Releases) {
    std::uint64_t &Version = Versions[Release.Name];
    if (Release.Version <= Version)
      continue;
    Version = Release.Version;
    logEvent(log_event::AdapterReleaseSeen,
             {{"adapter", Release.Name.Model + "/" + Release.Name.Adapter},
              {"version", std::to_string(Version)}});
  }
}

std::uint64_t release_table::newestVersion(const adapter_name &Name) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Versions.find(Name);
  return Found == Versions.end() ? 0 : Found->second;
}

} // namespace spindle
