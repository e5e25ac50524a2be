#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_SETTINGS_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_SETTINGS_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// A duration of fractional milliseconds. Thread-safe.
inline nanoseconds fromMilliseconds(double Milliseconds) {
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

/// The hosts and engines of a model, and how fast an engine works.
struct model_fleet {
  std::uint32_t Zones = 3;
  std::uint32_t HostsPerZone = 2;
  std::uint32_t EnginesPerZone = 3;
  /// Requests that an engine runs at the same time.
  std::uint32_t BatchSlots = 64;
  /// Tokens of running requests and of cached prompts together.
  std::int64_t MemoryTokens = 255'000;
  /// A step generates one token of every request whose prompt is prefilled.
  double StepMilliseconds = 4.4;
  /// The time that each running request adds to a step.
  double PerRequestMilliseconds = 0.05;
  double ReadTokensPerMillisecond = 38;
  /// Tokens of prompts that are prefilled in one step at most.
  std::int64_t PieceTokens = 512;
  std::uint32_t AdapterPlaces = 7;
  /// The time of a fetch from the weight store.
  milliseconds FetchTime{250};
  /// More fetches than this at once, over all engines, slow each other.
  std::uint32_t FetchesAtFullSpeed = 8;
  /// Unloaded adapters of which an engine keeps copies.
  std::uint32_t Copies = 60;
  milliseconds CopyTime{25};
  /// The latency of a message between zones.
  double ZoneMilliseconds = 1;
};

/// A kind of requests.
struct model_kind {
  std::string Name;
  double PerSecond = 1;
  /// Tokens of the prompt's first part, which requests of an adapter share.
  std::int64_t SharedTokens = 0;
  std::int64_t OwnTokens = 500;
  std::uint32_t Events = 10;
  std::int64_t TokensPerEvent = 5;
  /// The latency to the first event that callers expect.
  milliseconds Objective{1'000};
  /// The longest pause between events of an answer that is in time.
  milliseconds Gap{400};
  milliseconds Deadline{10'000};
  double Worth = 1;
  double LateWorth = 0.3;
  /// The smaller, the more urgent.
  int Urgency = 0;
  /// How often a caller retries after a refusal.
  std::uint32_t Retries = 1;
};

/// A part of a run in which the load or the fleet differs.
struct model_phase {
  double AtSeconds = 0;
  double ForSeconds = 5;
  double RateFactor = 1;
  /// The part of the requests for one and the same adapter.
  double HotShare = 0;
  /// The part of the requests whose adapter is drawn uniformly.
  double ColdShare = 0;
  /// The part of the callers that retry at once, three times.
  double RepeatShare = 0;
  /// The part of the engines that are gone.
  double EnginesGone = 0;
  /// Whether the first zone is cut off from the others.
  bool ZoneAlone = false;
};

/// A load that policies are compared under.
struct model_pattern {
  std::string Name;
  std::string Meaning;
  double Seconds = 40;
  double RateFactor = 1;
  std::vector<model_phase> Phases;
};

struct model_settings {
  model_fleet Fleet;
  std::vector<model_kind> Kinds;
  std::uint32_t Adapters = 3'000;
  double ZipfExponent = 1;
  std::uint64_t Seed = 1;
  std::vector<model_pattern> Patterns;
};

/// Reads JSON with comments.
/// \throws spindle_error InvalidSettings that names file, place and field.
/// Thread-safe.
model_settings parseModelSettings(std::string_view Text,
                                  std::string_view FileName);
/// Describes every field in Markdown. Thread-safe.
std::string describeModelSettings();

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_MODEL_SETTINGS_H
