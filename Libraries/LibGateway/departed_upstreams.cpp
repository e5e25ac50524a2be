#include "LibGateway/departed_upstreams.h"

#include <algorithm>

namespace spindle {

// Longer than the age of a copy that a platform is restored from.
static constexpr milliseconds MaxDepartedTime{300'000};
static constexpr std::size_t MaxDeparted = 1'000;

// Longer than the platform keeps the registration of a silent upstream. One
// that is registered longer is alive.
static constexpr milliseconds MaxWithheldTime{15'000};

static void dropOldest(std::map<std::string, departed_upstream> &Departed) {
  while (Departed.size() > MaxDeparted)
    Departed.erase(std::min_element(Departed.begin(), Departed.end(),
                                    [](const auto &Left, const auto &Right) {
                                      return Left.second.RemovedAt <
                                             Right.second.RemovedAt;
                                    }));
}

void noteRemovals(departed_upstreams &Upstreams,
                  const std::map<std::string, upstream_pointer> &Before,
                  const std::map<std::string, upstream_pointer> &After,
                  time_point Now) {
  std::erase_if(Upstreams.Departed, [&After, Now](const auto &Departed) {
    return After.contains(Departed.first) ||
           Now - Departed.second.RemovedAt > MaxDepartedTime;
  });
  for (const auto &[Name, Entry] : Before)
    if (!After.contains(Name))
      Upstreams.Departed[Name] = {Entry->StartedAt, Entry->Draining, Now};
  dropOldest(Upstreams.Departed);
}

/// Whether the upstream had drained, or was draining, before a restore.
static bool hasDrained(const departed_upstream *Departed,
                       const upstream_entry *Before,
                       const upstream_entry &Restored) {
  if (Before)
    return Before->Draining && Before->StartedAt == Restored.StartedAt;
  return Departed && Departed->Drained;
}

returned_upstreams
noteRestore(departed_upstreams &Upstreams,
            const std::map<std::string, upstream_pointer> &Before,
            const registration_map &Restored, time_point Now) {
  returned_upstreams Returned;
  for (const auto &[Name, Registration] : Restored) {
    const upstream_pointer &Entry = Registration.Entry;
    if (!Entry || Entry->Draining)
      continue;
    const auto Known = Before.find(Name);
    const auto Removed = Upstreams.Departed.find(Name);
    const departed_upstream *const Departed =
        Removed != Upstreams.Departed.end() &&
                Removed->second.StartedAt == Entry->StartedAt
            ? &Removed->second
            : nullptr;
    const auto Withheld = Upstreams.Withheld.find(Name);
    if (hasDrained(Departed, Known == Before.end() ? nullptr : &*Known->second,
                   *Entry)) {
      Returned.Draining.push_back(Entry);
    } else if (Departed) {
      Returned.Removed.push_back(Entry);
      Upstreams.Withheld[Name] = {Entry->StartedAt, Registration.Version,
                                  Now + MaxWithheldTime};
    } else if (Withheld != Upstreams.Withheld.end()) {
      // The platform was restored once more.
      Withheld->second.Version = Registration.Version;
    }
  }
  return Returned;
}

void expireWithheld(departed_upstreams &Upstreams,
                    const registration_map &Registrations, time_point Now) {
  std::erase_if(Upstreams.Withheld, [&](const auto &Pair) {
    const withheld_registration &Withheld = Pair.second;
    const auto Found = Registrations.find(Pair.first);
    return Now >= Withheld.Until || Found == Registrations.end() ||
           !Found->second.Entry ||
           Found->second.Entry->StartedAt != Withheld.StartedAt ||
           Found->second.Version > Withheld.Version;
  });
}

bool isWithheld(const departed_upstreams &Upstreams, const std::string &Name) {
  return Upstreams.Withheld.contains(Name);
}

} // namespace spindle
