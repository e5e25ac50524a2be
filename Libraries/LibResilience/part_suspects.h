#ifndef PARSLEYSPINDLE_LIBRESILIENCE_PART_SUSPECTS_H
#define PARSLEYSPINDLE_LIBRESILIENCE_PART_SUSPECTS_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace spindle {

struct part_tag {};
/// Identifies a part of a prompt that requests to one service share.
using part_id = strong_id<part_tag>;

struct upstream_start_tag {};
/// Identifies one start of an upstream, so that a crash seen by several
/// requests and hosts counts once.
using upstream_start_id = strong_id<upstream_start_tag>;

/// A crash of an upstream that ran a request with the part.
struct part_crash {
  upstream_start_id Start;
  time_point At;
  /// Whether a request with the part has completed after the crash.
  bool Cleared = false;
};

/// A part that was in use when upstreams crashed.
struct part_suspect {
  /// The oldest first. Only grows, so that merging is commutative and
  /// idempotent between hosts.
  std::vector<part_crash> Crashes;
  /// The furthest place in a prompt at which the part was seen.
  std::uint32_t Position = 0;
};

struct part_suspect_settings {
  /// How long requests with the part are held back after the last crash.
  seconds QuarantineTime{300};
  /// How long a crash counts that did not lead to a quarantine.
  seconds CrashMemory{60};
  /// Crashes within this time may have one common cause, and count as one.
  milliseconds CoincidenceTime{300};
  /// Crashes after which requests with the part are held back.
  std::size_t CrashesForQuarantine = 3;
  std::size_t MaxSuspects = 1'024;
  std::size_t MaxCrashes = 32;
  /// Suspects in one message to another host.
  std::size_t MaxRecords = 64;
  /// Parts whose last completion is remembered.
  std::size_t MaxSoundParts = 4'096;
};

/// When requests with a part last completed, for a bounded number of parts.
struct sound_parts {
  std::unordered_map<part_id, time_point> Recent;
  std::unordered_map<part_id, time_point> Older;
};

/// The parts of prompts that may crash upstreams. A part is held back once
/// upstreams crashed on requests with it several times, independently, and no
/// request with it has completed since. Modified only through the functions
/// below, none of which is thread-safe.
struct part_suspects {
  part_suspect_settings Settings;
  std::unordered_map<part_id, part_suspect> Suspects;
  sound_parts Sound;
  /// Until when requests with a part are held back. Holds only the parts that
  /// explain the crashes best, not all that were part of them.
  std::unordered_map<part_id, time_point> HeldBack;
};

/// The information about one suspect that hosts exchange.
struct part_suspect_record {
  struct crash {
    upstream_start_id Start;
    milliseconds Age{0};
    bool Cleared = false;
  };
  part_id Part;
  std::uint32_t Position = 0;
  std::vector<crash> Crashes;
};

/// Thread-safe.
part_id makePartId(std::string_view Service, std::uint64_t Part);

/// Records that an upstream crashed while it ran a request with these parts,
/// which are in the order of the prompt.
void noteCrash(part_suspects &Suspects, std::span<const part_id> Parts,
               upstream_start_id Start, time_point Now);
/// Records that a request with these parts has completed.
void noteCompleted(part_suspects &Suspects, std::span<const part_id> Parts,
                   time_point Now);
/// Returns until when requests with any of these parts are held back; none if
/// they are not.
std::optional<time_point> heldBackUntil(const part_suspects &Suspects,
                                        std::span<const part_id> Parts,
                                        time_point Now);
/// Returns the suspects with the most crashes, for other hosts.
std::vector<part_suspect_record>
writePartSuspects(const part_suspects &Suspects, time_point Now);
/// Merges the suspects of another host.
void mergePartSuspects(part_suspects &Suspects,
                       std::span<const part_suspect_record> Records,
                       time_point Now);
/// Removes what no longer counts.
void expirePartSuspects(part_suspects &Suspects, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_PART_SUSPECTS_H
