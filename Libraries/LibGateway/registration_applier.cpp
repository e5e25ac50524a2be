#include "LibGateway/registration_applier.h"

#include "LibLog/log.h"
#include "LibPlatform/platform_version.h"

#include <algorithm>
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

static void logReturned(const upstream_entry &Entry, std::string_view Before) {
  logEvent(log_event::UpstreamReturned,
           {{"upstream", Entry.Name}, {"before", std::string(Before)}});
}

static upstream_pointer drainingCopy(const upstream_entry &Entry) {
  upstream_entry Draining = Entry;
  Draining.Draining = true;
  return std::make_shared<const upstream_entry>(std::move(Draining));
}

/// Reads what is registered now.
/// Precondition: Mutex is held.
registration_map registration_applier::parse() const {
  registration_map Current;
  for (const platform_object &Object : Registrations.objects()) {
    const auto Known = Parsed.find(Object.Name);
    const bool IsSame =
        Known != Parsed.end() && Known->second.Version == Object.Version;
    const upstream_pointer Entry =
        IsSame ? Known->second.Entry
               : Codec.ReadUpstream(Object.Name, Object.Body);
    Current[Object.Name] = {Object.Version, Entry};
  }
  return Current;
}

/// Precondition: Mutex is held.
std::map<std::string, upstream_pointer> registration_applier::present() const {
  std::map<std::string, upstream_pointer> Present;
  for (const auto &[Name, Registration] : Parsed)
    if (Registration.Entry)
      Present.emplace(Name, Registration.Entry);
  return Present;
}

/// Detects that the platform was restored. All objects that are read in an era
/// have versions of that era.
/// Precondition: Mutex is held.
void registration_applier::noteEra(std::uint64_t CopyEra, time_point Now) {
  std::uint64_t Newest = std::max(CopyEra, Era.value_or(0));
  for (const auto &[Name, Registration] : Parsed)
    Newest = std::max(Newest, eraOf(Registration.Version));
  const bool IsRestored = Era && Newest > *Era;
  Era = Newest;
  if (!IsRestored)
    return;
  const returned_upstreams Returned =
      noteRestore(Departed, Registered.Entries, Parsed, Now);
  for (const upstream_pointer &Entry : Returned.Draining) {
    Fleet.noteDraining(*Entry);
    logReturned(*Entry, "draining");
  }
  for (const upstream_pointer &Entry : Returned.Removed)
    logReturned(*Entry, "removed");
}

/// Precondition: Mutex is held.
std::vector<upstream_pointer> registration_applier::entriesToUse() const {
  std::vector<upstream_pointer> Entries;
  Entries.reserve(Registered.Entries.size());
  for (const auto &[Name, Entry] : Registered.Entries)
    Entries.push_back(isWithheld(Departed, Name) ? drainingCopy(*Entry)
                                                 : Entry);
  return Entries;
}

/// Precondition: Mutex is held.
void registration_applier::applyLocked() {
  const time_point Now = Clock.now();
  const std::uint64_t CopyEra = eraOf(Registrations.cursor());
  Parsed = parse();
  noteEra(CopyEra, Now);
  const platform_availability Platform = Registrations.availability();
  const std::map<std::string, upstream_pointer> Before = Registered.Entries;
  for (const std::string &Name :
       applyRegistrations(Registered, present(), Platform, Now))
    logKept(Name, Platform, Now);
  noteRemovals(Departed, Before, Registered.Entries, Now);
  expireWithheld(Departed, Parsed, Now);
  Fleet.applyUpstreams(entriesToUse());
}

void registration_applier::apply() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  applyLocked();
}

void registration_applier::applyIfKept() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Registered.Kept.empty() || !Departed.Withheld.empty())
    applyLocked();
}

} // namespace spindle
