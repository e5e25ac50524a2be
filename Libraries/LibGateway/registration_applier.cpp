#include "LibGateway/registration_applier.h"

#include "LibLog/log.h"

#include <utility>
#include <vector>

namespace spindle {

static void logKept(const std::string &Name,
                    const platform_availability &Platform, time_point Now) {
  const milliseconds Age =
      std::chrono::duration_cast<milliseconds>(Now - Platform.Since);
  logEvent(log_event::UpstreamKept,
           {{"upstream", Name},
            {"platform", Platform.Available ? "back" : "unavailable"},
            {"back_ms", Platform.Available ? std::to_string(Age.count())
                                           : std::string()}});
}

/// The upstreams that are registered now, by name.
/// Precondition: Mutex is held.
std::map<std::string, upstream_pointer> registration_applier::parse() {
  std::map<std::string, upstream_pointer> Present;
  std::map<std::string, parsed_registration> Current;
  for (const platform_object &Object : Registrations.objects()) {
    const auto Known = Parsed.find(Object.Name);
    const bool IsSame =
        Known != Parsed.end() && Known->second.Revision == Object.Version;
    const upstream_pointer Entry =
        IsSame ? Known->second.Entry
               : Codec.ReadUpstream(Object.Name, Object.Body);
    Current[Object.Name] = {Object.Version, Entry};
    if (Entry)
      Present.emplace(Object.Name, Entry);
  }
  Parsed = std::move(Current);
  return Present;
}

/// Precondition: Mutex is held.
void registration_applier::applyLocked() {
  const platform_availability Platform = Registrations.availability();
  const time_point Now = Clock.now();
  for (const std::string &Name :
       applyRegistrations(Registered, parse(), Platform, Now))
    logKept(Name, Platform, Now);
  std::vector<upstream_pointer> Entries;
  Entries.reserve(Registered.Entries.size());
  for (const auto &[Name, Entry] : Registered.Entries)
    Entries.push_back(Entry);
  Fleet.applyUpstreams(Entries);
}

void registration_applier::apply() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  applyLocked();
}

void registration_applier::applyIfKept() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Registered.Kept.empty())
    applyLocked();
}

} // namespace spindle
