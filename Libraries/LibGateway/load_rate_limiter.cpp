#include "LibGateway/load_rate_limiter.h"

namespace spindle {

void load_rate_limiter::setRate(double LoadsPerSecond) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Rate = LoadsPerSecond;
}

bool load_rate_limiter::tryAcquire(time_point Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Rate <= 0 || Now < NextAllowedAt)
    return false;
  NextAllowedAt = Now + std::chrono::duration_cast<nanoseconds>(
                            std::chrono::duration<double>(1 / Rate));
  return true;
}

} // namespace spindle
