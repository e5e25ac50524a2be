#ifndef PARSLEYSPINDLE_LIBRESIDENCY_PIN_HOLDER_H
#define PARSLEYSPINDLE_LIBRESIDENCY_PIN_HOLDER_H

#include "LibCore/strong_id.h"

#include <compare>
#include <cstdint>

namespace spindle {

/// One incarnation of a host's process that holds pins. Incarnations of a host
/// can be told apart but are not ordered.
struct pin_holder {
  host_id Host;
  std::uint64_t Incarnation = 0;
  auto operator<=>(const pin_holder &) const = default;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_PIN_HOLDER_H
