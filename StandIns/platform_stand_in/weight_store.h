#ifndef PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_WEIGHT_STORE_H
#define PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_WEIGHT_STORE_H

#include "LibCore/runtime_clock.h"

#include <cstddef>
#include <cstdint>
#include <set>

namespace spindle {

struct weight_store_settings {
  double LoadsPerSecond = 2;
  /// Loads that may start at once after a pause.
  std::uint32_t Burst = 2;
  /// How long a load takes at full speed.
  milliseconds LoadTime{250};
  /// Beyond this many in flight, loads take proportionally longer.
  std::uint32_t FullSpeedInFlight = 8;
};

struct weight_store_counts {
  std::uint64_t Loads = 0;
  /// Loads that had to wait for the rate or ran slower than full speed.
  std::uint64_t Delayed = 0;
  std::uint64_t PeakInFlight = 0;
};

/// The store that every engine loads adapters from. Not thread-safe.
class weight_store {
public:
  explicit weight_store(weight_store_settings Settings) : Settings(Settings) {}

  /// Starts a load and returns when it will have ended, as seen from \p Now.
  /// Loads over the rate wait for their turn; a waiting load is in flight.
  /// Precondition: \p Now is not earlier than in the call before.
  nanoseconds startLoad(time_point Now);
  const weight_store_counts &counts() const { return Counts; }

private:
  weight_store_settings Settings;
  /// When the next load would start if the burst were used up.
  time_point NextStart{};
  std::multiset<time_point> Ends;
  weight_store_counts Counts;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_WEIGHT_STORE_H
