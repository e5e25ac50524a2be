#include "LibResilience/part_suspects.h"

#include <algorithm>
#include <string>
#include <tuple>

namespace spindle {

part_id makePartId(std::string_view Service, std::uint64_t Part) {
  return part_id::ofName(std::string(Service) + ":" + std::to_string(Part));
}

/// The number of crashes that count, without those that coincide with another.
template <typename predicate>
static std::size_t countIndependent(const part_suspects &Suspects,
                                    const part_suspect &Suspect,
                                    predicate Counts) {
  std::size_t Count = 0;
  time_point LastCounted;
  for (const part_crash &Crash : Suspect.Crashes) {
    const bool Coincides =
        Count > 0 && Crash.At - LastCounted < Suspects.Settings.CoincidenceTime;
    if (Crash.Cleared || Coincides || !Counts(Crash))
      continue;
    ++Count;
    LastCounted = Crash.At;
  }
  return Count;
}

static time_point quarantineEnd(const part_suspects &Suspects,
                                const part_suspect &Suspect) {
  return Suspect.Crashes.empty()
             ? time_point()
             : Suspect.Crashes.back().At + Suspects.Settings.QuarantineTime;
}

static bool reachesQuarantine(const part_suspects &Suspects,
                              const part_suspect &Suspect, time_point Now) {
  return Now < quarantineEnd(Suspects, Suspect) &&
         countIndependent(Suspects, Suspect, [](const part_crash &) {
           return true;
         }) >= Suspects.Settings.CrashesForQuarantine;
}

static bool hasCrash(const part_suspect &Suspect, upstream_start_id Start) {
  return std::any_of(
      Suspect.Crashes.begin(), Suspect.Crashes.end(),
      [Start](const part_crash &Crash) { return Crash.Start == Start; });
}

/// The number of independent crashes of \p Suspect that none of \p Others was
/// part of.
static std::size_t countWithout(const part_suspects &Suspects,
                                const part_suspect &Suspect,
                                std::span<const part_suspect *const> Others) {
  return countIndependent(Suspects, Suspect, [Others](const part_crash &Crash) {
    return std::none_of(Others.begin(), Others.end(),
                        [&Crash](const part_suspect *Other) {
                          return hasCrash(*Other, Crash.Start);
                        });
  });
}

/// A part in quarantine, and its crashes that no part held back explains.
struct unexplained_part {
  part_id Part;
  const part_suspect *Suspect = nullptr;
  std::size_t Crashes = 0;
};

/// Whether \p Left explains the crashes that both were part of. More requests
/// share a part nearer to the start of a prompt, so it has to explain more.
static bool explainsMore(const part_suspects &Suspects,
                         const unexplained_part &Left,
                         const unexplained_part &Right) {
  const auto Score = [&Suspects](const unexplained_part &Part) {
    const std::size_t Position = Part.Suspect->Position;
    const std::size_t Weight = Suspects.Settings.CrashesForQuarantine - 1;
    return std::tuple(Part.Crashes + Weight * Position, Position,
                      Part.Part.Value);
  };
  return Score(Left) > Score(Right);
}

static std::vector<unexplained_part>
quarantinedParts(const part_suspects &Suspects, time_point Now) {
  std::vector<unexplained_part> Parts;
  for (const auto &[Part, Suspect] : Suspects.Suspects)
    if (reachesQuarantine(Suspects, Suspect, Now))
      Parts.push_back({Part, &Suspect, 0});
  return Parts;
}

/// Decides anew which parts are held back: the one that explains most crashes,
/// then the one that explains most of the rest, and so on.
static void updateHeldBack(part_suspects &Suspects, time_point Now) {
  Suspects.HeldBack.clear();
  std::vector<unexplained_part> Parts = quarantinedParts(Suspects, Now);
  std::vector<const part_suspect *> Explanations;
  while (!Parts.empty()) {
    for (unexplained_part &Part : Parts)
      Part.Crashes = countWithout(Suspects, *Part.Suspect, Explanations);
    std::erase_if(Parts, [&Suspects](const unexplained_part &Part) {
      return Part.Crashes < Suspects.Settings.CrashesForQuarantine;
    });
    const auto Best =
        std::min_element(Parts.begin(), Parts.end(),
                         [&Suspects](const unexplained_part &Left,
                                     const unexplained_part &Right) {
                           return explainsMore(Suspects, Left, Right);
                         });
    if (Best == Parts.end())
      return;
    Suspects.HeldBack[Best->Part] = quarantineEnd(Suspects, *Best->Suspect);
    Explanations.push_back(Best->Suspect);
    Parts.erase(Best);
  }
}

static std::optional<time_point> completedAt(const sound_parts &Sound,
                                             part_id Part) {
  const auto Recent = Sound.Recent.find(Part);
  if (Recent != Sound.Recent.end())
    return Recent->second;
  const auto Older = Sound.Older.find(Part);
  return Older == Sound.Older.end() ? std::nullopt
                                    : std::optional(Older->second);
}

/// Makes room for one more suspect: removes the one whose last crash is the
/// longest ago, those in quarantine last.
static void makeRoom(part_suspects &Suspects, time_point Now) {
  if (Suspects.Suspects.size() < Suspects.Settings.MaxSuspects)
    return;
  const auto Rank = [&](const part_suspect &Suspect) {
    return std::pair(reachesQuarantine(Suspects, Suspect, Now),
                     Suspect.Crashes.back().At);
  };
  Suspects.Suspects.erase(
      std::min_element(Suspects.Suspects.begin(), Suspects.Suspects.end(),
                       [&Rank](const auto &Left, const auto &Right) {
                         return Rank(Left.second) < Rank(Right.second);
                       }));
}

static void addCrash(part_suspects &Suspects, part_suspect &Suspect,
                     const part_crash &Crash) {
  std::vector<part_crash> &Crashes = Suspect.Crashes;
  const auto Known = std::find_if(
      Crashes.begin(), Crashes.end(),
      [&Crash](const part_crash &Other) { return Other.Start == Crash.Start; });
  if (Known != Crashes.end()) {
    Known->At = std::min(Known->At, Crash.At);
    Known->Cleared = Known->Cleared || Crash.Cleared;
  } else {
    Crashes.push_back(Crash);
  }
  std::sort(Crashes.begin(), Crashes.end(),
            [](const part_crash &Left, const part_crash &Right) {
              return Left.At < Right.At;
            });
  if (Crashes.size() > Suspects.Settings.MaxCrashes)
    Crashes.erase(Crashes.begin());
}

static part_suspect &findOrAdd(part_suspects &Suspects, part_id Part,
                               time_point Now) {
  const auto Found = Suspects.Suspects.find(Part);
  if (Found != Suspects.Suspects.end())
    return Found->second;
  makeRoom(Suspects, Now);
  return Suspects.Suspects[Part];
}

void noteCrash(part_suspects &Suspects, std::span<const part_id> Parts,
               upstream_start_id Start, time_point Now) {
  std::uint32_t Position = 0;
  for (const part_id Part : Parts) {
    part_suspect &Suspect = findOrAdd(Suspects, Part, Now);
    Suspect.Position = std::max(Suspect.Position, Position++);
    addCrash(Suspects, Suspect, {Start, Now, false});
  }
  updateHeldBack(Suspects, Now);
}

void noteCompleted(part_suspects &Suspects, std::span<const part_id> Parts,
                   time_point Now) {
  sound_parts &Sound = Suspects.Sound;
  bool WasSuspect = false;
  for (const part_id Part : Parts) {
    Sound.Recent[Part] = Now;
    const auto Found = Suspects.Suspects.find(Part);
    if (Found == Suspects.Suspects.end())
      continue;
    WasSuspect = true;
    for (part_crash &Crash : Found->second.Crashes)
      Crash.Cleared = true;
  }
  if (WasSuspect)
    updateHeldBack(Suspects, Now);
  if (Sound.Recent.size() >= Suspects.Settings.MaxSoundParts / 2) {
    Sound.Older = std::move(Sound.Recent);
    Sound.Recent.clear();
  }
}

std::optional<time_point> heldBackUntil(const part_suspects &Suspects,
                                        std::span<const part_id> Parts,
                                        time_point Now) {
  for (const part_id Part : Parts) {
    const auto Found = Suspects.HeldBack.find(Part);
    if (Found != Suspects.HeldBack.end() && Now < Found->second)
      return Found->second;
  }
  return std::nullopt;
}

static part_suspect_record makeRecord(part_id Part, const part_suspect &Suspect,
                                      time_point Now) {
  part_suspect_record Record;
  Record.Part = Part;
  Record.Position = Suspect.Position;
  for (const part_crash &Crash : Suspect.Crashes)
    Record.Crashes.push_back(
        {Crash.Start, std::chrono::duration_cast<milliseconds>(Now - Crash.At),
         Crash.Cleared});
  return Record;
}

std::vector<part_suspect_record>
writePartSuspects(const part_suspects &Suspects, time_point Now) {
  std::vector<std::pair<part_id, const part_suspect *>> Parts;
  Parts.reserve(Suspects.Suspects.size());
  for (const auto &[Part, Suspect] : Suspects.Suspects)
    Parts.emplace_back(Part, &Suspect);
  const std::size_t Count =
      std::min(Parts.size(), Suspects.Settings.MaxRecords);
  const auto Rank = [](const auto &Entry) {
    return std::pair(Entry.second->Crashes.size(),
                     Entry.second->Crashes.back().At);
  };
  std::partial_sort(Parts.begin(),
                    Parts.begin() + static_cast<std::ptrdiff_t>(Count),
                    Parts.end(), [&Rank](const auto &Left, const auto &Right) {
                      return Rank(Left) > Rank(Right);
                    });
  std::vector<part_suspect_record> Records;
  Records.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Records.push_back(
        makeRecord(Parts[Index].first, *Parts[Index].second, Now));
  return Records;
}

static void mergeRecord(part_suspects &Suspects,
                        const part_suspect_record &Record, time_point Now) {
  const std::optional<time_point> Completed =
      completedAt(Suspects.Sound, Record.Part);
  for (const part_suspect_record::crash &Crash : Record.Crashes) {
    if (Crash.Age < milliseconds(0) ||
        Crash.Age >= Suspects.Settings.QuarantineTime)
      continue;
    const time_point At = Now - Crash.Age;
    part_suspect &Suspect = findOrAdd(Suspects, Record.Part, Now);
    Suspect.Position = std::max(Suspect.Position, Record.Position);
    addCrash(
        Suspects, Suspect,
        {Crash.Start, At, Crash.Cleared || (Completed && *Completed >= At)});
  }
}

void mergePartSuspects(part_suspects &Suspects,
                       std::span<const part_suspect_record> Records,
                       time_point Now) {
  if (Records.empty())
    return;
  for (const part_suspect_record &Record : Records)
    mergeRecord(Suspects, Record, Now);
  updateHeldBack(Suspects, Now);
}

void expirePartSuspects(part_suspects &Suspects, time_point Now) {
  for (auto &[Part, Suspect] : Suspects.Suspects) {
    if (reachesQuarantine(Suspects, Suspect, Now))
      continue;
    std::erase_if(Suspect.Crashes, [&](const part_crash &Crash) {
      return Crash.At + Suspects.Settings.CrashMemory <= Now;
    });
  }
  std::erase_if(Suspects.Suspects,
                [](const auto &Entry) { return Entry.second.Crashes.empty(); });
  updateHeldBack(Suspects, Now);
}

} // namespace spindle
