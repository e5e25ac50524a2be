#include "LibGateway/registered_upstreams.h"

#include <utility>

namespace spindle {

// Registrations that expired during an outage of the platform are renewed
// within two seconds of its end.
static constexpr milliseconds RenewalTime{2'200};

// A host has read the registrations within this time after the end of an
// outage. What is removed later was removed by the upstream itself.
static constexpr milliseconds FirstReadTime{600};

static bool mayBeRenewed(const platform_availability &Platform, bool WasMissing,
                         time_point Now) {
  if (!Platform.Available)
    return true;
  const nanoseconds Time = Now - Platform.Since;
  return Time < (WasMissing ? RenewalTime : FirstReadTime);
}

std::vector<std::string>
applyRegistrations(registered_upstreams &Upstreams,
                   std::map<std::string, upstream_pointer> Present,
                   const platform_availability &Platform, time_point Now) {
  std::set<std::string> Kept;
  std::vector<std::string> NewlyKept;
  for (const auto &[Name, Entry] : Upstreams.Entries) {
    if (Present.contains(Name) || Entry->Draining)
      continue;
    const bool WasMissing = Upstreams.Kept.contains(Name);
    if (!mayBeRenewed(Platform, WasMissing, Now))
      continue;
    if (!WasMissing)
      NewlyKept.push_back(Name);
    Kept.insert(Name);
  }
  for (const std::string &Name : Kept)
    Present.emplace(Name, Upstreams.Entries.at(Name));
  Upstreams.Entries = std::move(Present);
  Upstreams.Kept = std::move(Kept);
  return NewlyKept;
}

} // namespace spindle
