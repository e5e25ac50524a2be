#ifndef PARSLEYSPINDLE_LIBLOAD_ARRIVAL_PLAN_H
#define PARSLEYSPINDLE_LIBLOAD_ARRIVAL_PLAN_H

#include "LibLoad/load_scenario.h"

#include <cstdint>
#include <vector>

namespace spindle {

enum class load_kind { Completion, Order, StockCheck, Crashing };

/// A request that the load tool will send.
struct planned_request {
  /// Since the run's start.
  nanoseconds At{0};
  load_kind Kind = load_kind::Completion;
  std::uint32_t Customer = 0;
  std::uint32_t Host = 0;
  /// Index into the classes; completions only.
  std::uint32_t Class = 0;
  /// The adapter's number, from 1.
  std::uint32_t Adapter = 1;
  std::uint32_t PromptTokens = 1;
  std::uint32_t AnswerTokens = 1;
  /// Unique in the run.
  std::uint64_t Number = 0;
};

/// Requests that a plan holds at most.
inline constexpr std::size_t MostPlannedRequests = 2'000'000;

/// Plans all arrivals of a scenario, in order of time: a Poisson process for
/// each customer and kind, drawn from a generator of its own, so that a change
/// of one doesn't affect the others. The same arguments give the same plan.
/// Precondition: \p Hosts is at least 1. Thread-safe.
std::vector<planned_request> planArrivals(const load_scenarios &Common,
                                          const load_scenario &Scenario,
                                          std::uint32_t Hosts);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_ARRIVAL_PLAN_H
