#ifndef PARSLEYSPINDLE_LIBROUTING_ROUTING_POLICY_H
#define PARSLEYSPINDLE_LIBROUTING_ROUTING_POLICY_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace spindle {

/// How an engine is chosen for a request.
enum class routing_policy : std::uint8_t {
  /// The engine with the shortest expected time to the first token: wait, load,
  /// prefill and distance.
  Residency,
  /// The engine with the fewest requests per batch slot.
  LeastLoaded,
  Random,
  /// The first eligible engine in the order that the adapter's hash gives.
  ConsistentHash
};

/// Parses "residency", "least-loaded", "random" or "consistent-hash".
/// \returns none for any other text. Thread-safe.
std::optional<routing_policy> parseRoutingPolicy(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ROUTING_POLICY_H
