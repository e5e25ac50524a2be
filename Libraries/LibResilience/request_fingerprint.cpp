#include "LibResilience/request_fingerprint.h"

#include <array>

namespace spindle {

request_fingerprint fingerprintOf(customer_id Customer, std::string_view Target,
                                  std::string_view Body) {
  const std::array<std::uint64_t, 3> Parts{Customer.Value, hashName(Target),
                                           hashName(Body)};
  const char *const Bytes = reinterpret_cast<const char *>(Parts.data());
  return request_fingerprint::ofName({Bytes, sizeof(Parts)});
}

} // namespace spindle
