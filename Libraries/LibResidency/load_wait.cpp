#include "LibResidency/load_wait.h"

#include <algorithm>
#include <cmath>

namespace spindle {

static constexpr double SmoothingFactor = 0.2;
static constexpr std::chrono::duration<double> HalfLife{10};

static double currentExcess(const load_wait &Wait, time_point Now) {
  const std::chrono::duration<double> Passed =
      std::max(nanoseconds(0), Now - Wait.Updated);
  return Wait.ExcessMilliseconds * std::exp2(-Passed / HalfLife);
}

void noteLoadWait(load_wait &Wait, nanoseconds Waited, time_point Now) {
  const std::chrono::duration<double, std::milli> Milliseconds = Waited;
  const double Excess =
      std::max(0.0, Milliseconds.count() - Wait.BaseLoadMilliseconds);
  const double Old = currentExcess(Wait, Now);
  Wait.ExcessMilliseconds = Old + SmoothingFactor * (Excess - Old);
  Wait.Updated = Now;
}

double expectedLoadWait(const load_wait &Wait, time_point Now) {
  return Wait.BaseLoadMilliseconds + currentExcess(Wait, Now);
}

} // namespace spindle
