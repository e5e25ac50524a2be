#include "LibGateway/load_time_estimate.h"

#include <algorithm>

namespace spindle {

static constexpr double NewWeight = 0.2;
static constexpr double MaxMilliseconds = 600;

milliseconds load_time_estimate::average() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return milliseconds(static_cast<std::int64_t>(Milliseconds));
}

void load_time_estimate::add(nanoseconds Took) {
  const std::chrono::duration<double, std::milli> Added = Took;
  const std::lock_guard<std::mutex> Lock(Mutex);
  Milliseconds +=
      (std::min(Added.count(), MaxMilliseconds) - Milliseconds) * NewWeight;
}

} // namespace spindle
