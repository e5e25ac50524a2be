#ifndef PARSLEYSPINDLE_BENCHMARKS_LIMIT_SCENARIO_H
#define PARSLEYSPINDLE_BENCHMARKS_LIMIT_SCENARIO_H

#include "LibCore/runtime_clock.h"
#include "LibCore/tokens.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace spindle {

inline constexpr std::size_t HostCount = 7;
/// The zone of each host.
inline constexpr std::array<std::uint64_t, HostCount> Zones{1, 1, 1, 2,
                                                            2, 3, 3};
inline constexpr double NeverSeconds = 1e9;

/// The load and the faults of one run.
struct limit_scenario {
  std::string Name;
  double Rate = 10'000;
  std::int64_t Burst = 20'000;
  double Load = 0.9;
  /// The part of the customer's traffic that reaches host 0.
  double FirstHostPart = 1.0 / HostCount;
  /// In seconds from the start of the requests.
  double HostLostAt = NeverSeconds;
  double ZoneCutAt = NeverSeconds;
  double RunSeconds = 1'200;
  std::int64_t LargestPrompt = 500;
  std::int64_t LargestAnswer = 300;
};

/// A request of the customer.
struct limited_request {
  time_point At;
  std::size_t Host = 0;
  tokens Reserved;
  tokens Used;
  nanoseconds Duration{0};
};

/// All scenarios, in the order in which they are shown.
std::vector<limit_scenario> limitScenarios();
/// Draws the requests of a scenario that begins at \p Start.
std::vector<limited_request> makeRequests(const limit_scenario &Scenario,
                                          time_point Start);

} // namespace spindle

#endif // PARSLEYSPINDLE_BENCHMARKS_LIMIT_SCENARIO_H
