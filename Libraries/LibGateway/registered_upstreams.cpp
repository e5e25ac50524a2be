#include "LibGateway/registered_upstreams.h"

#include <utility>

namespace spindle {

// Registrations that expired during an outage of the platform are renewed
// within two seconds of its end.
static constexpr milliseconds RenewalTime{2'200};

static bool mayBeRenewed(const platform_availability &Platform,
                         time_point Now) {
  if (!Platform.Available)
    return true;
  return Platform.Since != time_point() && Now - Platform.Since < RenewalTime;
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
    if (!mayBeRenewed(Platform, Now))
      continue;
    if (!Upstreams.Kept.contains(Name))
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
