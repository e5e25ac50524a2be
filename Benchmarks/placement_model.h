#ifndef PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_MODEL_H
#define PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_MODEL_H

#include "LibResidency/residency_settings.h"
#include "LibRouting/routing_policy.h"

#include <cstdint>
#include <string>

namespace spindle {

/// The load that placement policies are compared under.
struct placement_load {
  std::uint32_t Zones = 3;
  std::uint32_t HostsPerZone = 2;
  std::uint32_t EnginesPerZone = 3;
  std::uint32_t Slots = 8;
  std::uint32_t BatchSize = 8;
  std::uint32_t Adapters = 3'000;
  double ZipfExponent = 1.0;
  /// Part of the adapters that change their popularity within an hour.
  double DriftPerHour = 0;
  double RequestsPerSecond = 2.5;
  double MeanAnswerTokens = 740;
  double PromptTokens = 500;
  double StepMilliseconds = 31;
  double LoadsPerSecond = 2;
  std::uint32_t LoadsInFlight = 8;
  milliseconds LoadTime{250};
  milliseconds ReportLag{500};
  seconds WarmUp{300};
  seconds Measured{2'400};
  /// A request that has no pin after this long is refused.
  seconds Patience{30};
  std::uint64_t Seed = 1;
};

/// How engines are chosen and adapters evicted.
struct placement_policy {
  std::string Name;
  routing_policy Routing = routing_policy::Residency;
  victim_policy Victims = victim_policy::Value;
  /// Whether owners evict by the true popularity and start with the best
  /// placement.
  bool HasTruePopularity = false;
};

/// The results of a run. Times in seconds.
struct placement_result {
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Loads = 0;
  double StalledShare = 0;
  double StallTotal = 0;
  double StallPerRequest = 0;
  double StallP99 = 0;
  double WaitP50 = 0;
  double WaitP99 = 0;
  double TokensPerStep = 0;
  double TokensPerSecond = 0;
  double CrossZoneShare = 0;
};

/// Runs the library's routing and residency decisions over seeded arrivals on
/// a virtual clock.
placement_result runPlacement(const placement_load &Load,
                              const placement_policy &Policy);

} // namespace spindle

#endif // PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_MODEL_H
