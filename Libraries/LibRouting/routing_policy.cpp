#include "LibRouting/routing_policy.h"

namespace spindle {

std::optional<routing_policy> parseRoutingPolicy(std::string_view Text) {
  if (Text == "residency")
    return routing_policy::Residency;
  if (Text == "least-loaded")
    return routing_policy::LeastLoaded;
  if (Text == "random")
    return routing_policy::Random;
  if (Text == "consistent-hash")
    return routing_policy::ConsistentHash;
  return std::nullopt;
}

} // namespace spindle
