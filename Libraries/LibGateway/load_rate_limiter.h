#ifndef PARSLEYSPINDLE_LIBGATEWAY_LOAD_RATE_LIMITER_H
#define PARSLEYSPINDLE_LIBGATEWAY_LOAD_RATE_LIMITER_H

#include "LibCore/runtime_clock.h"

#include <mutex>

namespace spindle {

/// Limits the rate of loads from the weight store by spacing them evenly.
/// Thread-safe.
class load_rate_limiter {
public:
  /// A rate of 0 allows no loads.
  void setRate(double LoadsPerSecond);
  /// Counts a load that starts now; returns false if it must wait.
  bool tryAcquire(time_point Now);

private:
  std::mutex Mutex;
  double Rate = 0;
  time_point NextAllowedAt;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_LOAD_RATE_LIMITER_H
