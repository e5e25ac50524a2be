#ifndef PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_SETTINGS_H
#define PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_SETTINGS_H

#include "LibCore/runtime_clock.h"

#include <cstdint>

namespace spindle {

/// Which unpinned adapter makes room for another one.
enum class victim_policy : std::uint8_t {
  /// The one asked for least often, counted with decay.
  Value,
  /// The one whose last use is longest ago.
  Lru
};

/// How an owner decides on loads and evictions.
struct residency_settings {
  victim_policy Victims = victim_policy::Value;
  /// After a takeover nothing is evicted for this long, so that hosts which
  /// the platform's list doesn't name yet can report their pins too.
  milliseconds SettleTime{3'000};
  /// A use counts half when this has passed.
  milliseconds DemandHalfLife{120'000};
  /// After a failed load the next try waits this long, doubled each time.
  milliseconds FirstRetryDelay{250};
  milliseconds LongestRetryDelay{30'000};
  /// Failures in a row after which those who wait are told.
  std::uint32_t LoadAttempts = 3;
  /// A waiting request's weight grows by one weight each time this passes.
  milliseconds WaitStep{1'000};
  /// When a load has waited this long for an unpinned adapter to evict, one
  /// is drained for it.
  milliseconds DrainAfter{1'500};
  /// An adapter stays at least this long after its load, so that the requests
  /// that waited for it can pin it.
  milliseconds LeastStay{500};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_SETTINGS_H
