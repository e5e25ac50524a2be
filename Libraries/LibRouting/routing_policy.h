#ifndef PARSLEYSPINDLE_LIBROUTING_ROUTING_POLICY_H
#define PARSLEYSPINDLE_LIBROUTING_ROUTING_POLICY_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace spindle {

/// How an engine is chosen for a request.
enum class routing_policy : std::uint8_t {
  /// The least expected time: wait, load, prefill and distance.
  Residency,
  /// The engine with the fewest requests.
  LeastLoaded,
  Random,
  /// The engine that the adapter's hash names.
  ConsistentHash
};

/// Reads "residency", "least-loaded", "random" or "consistent-hash".
/// Thread-safe.
std::optional<routing_policy> parseRoutingPolicy(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ROUTING_POLICY_H
