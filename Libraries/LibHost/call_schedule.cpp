#include "LibHost/call_schedule.h"

#include <algorithm>

namespace spindle {

static constexpr milliseconds InitialRetryDelay{500};
static constexpr milliseconds MaxRetryDelay{4'000};
static constexpr int MaxDoublings = 8;

static nanoseconds scale(nanoseconds Interval, double MinFactor,
                         double MaxFactor, std::mt19937_64 &Random) {
  std::uniform_real_distribution<double> Factor(MinFactor, MaxFactor);
  return nanoseconds(static_cast<std::int64_t>(
      static_cast<double>(Interval.count()) * Factor(Random)));
}

void call_schedule::startWithin(nanoseconds Limit, time_point Now,
                                std::mt19937_64 &Random) {
  Due = Now + scale(Limit, 0.0, 1.0, Random);
}

void call_schedule::noteSuccess(time_point Now, nanoseconds Interval,
                                std::mt19937_64 &Random) {
  Failures = 0;
  Due = Now + scale(Interval, 0.9, 1.1, Random);
}

void call_schedule::noteFailure(time_point Now, std::mt19937_64 &Random) {
  const int Doublings = std::min(Failures, MaxDoublings);
  const nanoseconds RetryDelay = std::min<nanoseconds>(
      InitialRetryDelay * (1 << Doublings), MaxRetryDelay);
  ++Failures;
  Due = Now + scale(RetryDelay, 0.3, 1.0, Random);
}

void call_schedule::hasten(time_point Now) {
  if (Failures == 0)
    Due = Now;
}

} // namespace spindle
