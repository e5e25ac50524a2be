#include "LibGateway/load_pace.h"

namespace spindle {

void load_pace::setRate(double LoadsPerSecond) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  PerSecond = LoadsPerSecond;
}

bool load_pace::take(time_point Now) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (PerSecond <= 0 || Now < Next)
    return false;
  Next = Now + std::chrono::duration_cast<nanoseconds>(
                   std::chrono::duration<double>(1 / PerSecond));
  return true;
}

} // namespace spindle
