#ifndef PARSLEYSPINDLE_LIBROUTING_ROUTE_CHOICE_H
#define PARSLEYSPINDLE_LIBROUTING_ROUTE_CHOICE_H

#include "LibCore/strong_id.h"
#include "LibRouting/routing_policy.h"
#include "LibRouting/routing_table.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

namespace spindle {

/// A request that needs an engine.
struct route_query {
  std::string_view Model;
  adapter_id Adapter;
  /// Hash of the prompt's first block, 0 if none.
  std::uint64_t PrefixHash = 0;
  std::int64_t PromptTokens = 0;
  /// Engines to exclude.
  std::span<const upstream_id> Avoid;
  time_point Now;
};

struct route_choice {
  upstream_id Engine;
  bool Resident = false;
  /// The expected time to the first token there.
  double ExpectedMilliseconds = 0;
};

/// Estimates the time to the request's first token at an engine: the wait for a
/// batch slot, the adapter load unless it is resident, the prefill unless the
/// prefix is cached, and the network distance.
/// \p Presence is none if the adapter is not resident and no load of it is
/// requested or running.
double expectedMilliseconds(const routing_table &Table, engine_index Engine,
                            std::optional<adapter_presence> Presence,
                            const route_query &Query);

/// Chooses an engine. \returns none if no engine of the model is eligible.
/// Under Residency and ConsistentHash the time does not depend on the number of
/// engines unless all preferred ones are ineligible.
/// Not thread-safe: the caller holds the table's lock.
std::optional<route_choice> chooseEngine(const routing_table &Table,
                                         routing_policy Policy,
                                         const route_query &Query,
                                         std::mt19937_64 &Random);

/// Chooses one of the upstreams of a service that has no adapters: the better
/// of two random ones by load, health and distance. Not thread-safe.
std::optional<engine_index>
chooseService(const routing_table &Table,
              std::span<const engine_index> Services, const route_query &Query,
              std::mt19937_64 &Random);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ROUTE_CHOICE_H
