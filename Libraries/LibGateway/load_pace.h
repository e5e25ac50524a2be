#ifndef PARSLEYSPINDLE_LIBGATEWAY_LOAD_PACE_H
#define PARSLEYSPINDLE_LIBGATEWAY_LOAD_PACE_H

#include "LibCore/runtime_clock.h"

#include <mutex>

namespace spindle {

/// Spaces loads from the weight store so that they stay under a rate.
/// Thread-safe.
class load_rate_limiter {
public:
  /// 0 lets none through.
  void setRate(double LoadsPerSecond);
  /// Counts a load that begins now; false if it must wait.
  bool tryAcquire(time_point Now);

private:
  std::mutex Mutex;
  double Rate = 0;
  time_point NextAllowedAt;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_LOAD_PACE_H
