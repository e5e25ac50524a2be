#ifndef PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_SETTINGS_H
#define PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_SETTINGS_H

#include "LibCore/runtime_clock.h"

#include <cstdint>

namespace spindle {

/// Which unpinned adapter is evicted for another one.
enum class victim_policy : std::uint8_t {
  /// The least frequently requested one, by decayed count.
  Value,
  /// The least recently used one.
  Lru
};

/// Settings for the load and eviction decisions of an owner.
struct residency_settings {
  victim_policy Victims = victim_policy::Value;
  /// After a takeover nothing is evicted for this time, so that hosts not yet
  /// listed by the platform can also sync their pins.
  milliseconds SettleTime{3'000};
  /// The half-life of the count of uses.
  milliseconds DemandHalfLife{120'000};
  /// Delay before a failed load is retried, doubled with each consecutive
  /// failure up to the maximum.
  milliseconds InitialRetryDelay{250};
  milliseconds MaxRetryDelay{30'000};
  /// Consecutive failures after which the waiting requests fail.
  std::uint32_t MaxLoadAttempts = 3;
  /// The time in which the weight of a waiting request grows by its initial
  /// value.
  milliseconds AgingInterval{1'000};
  /// When a request has waited this long and no adapter can be evicted, one is
  /// drained.
  milliseconds DrainAfter{1'500};
  /// The minimum time between the load of an adapter and its eviction, so that
  /// the requests that waited for it can pin it.
  milliseconds MinResidencyTime{500};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_SETTINGS_H
