#include "platform_stand_in/weight_store.h"

#include <algorithm>

namespace spindle {

nanoseconds weight_store::startLoad(time_point Now) {
  Ends.erase(Ends.begin(), Ends.upper_bound(Now));
  const nanoseconds Interval(
      static_cast<std::int64_t>(1e9 / Settings.LoadsPerSecond));
  const nanoseconds BurstTime = Interval * (Settings.Burst - 1);
  NextStart = std::max(NextStart, Now - BurstTime);
  const time_point Start = std::max(Now, NextStart);
  NextStart += Interval;

  const std::size_t InFlight = Ends.size() + 1;
  const double Slowdown =
      std::max(1.0, static_cast<double>(InFlight) / Settings.FullSpeedInFlight);
  const auto Duration =
      std::chrono::duration_cast<nanoseconds>(Settings.LoadTime * Slowdown);
  Ends.insert(Start + Duration);

  ++Counts.Loads;
  Counts.Delayed += Start > Now || Slowdown > 1 ? 1 : 0;
  Counts.PeakInFlight = std::max<std::uint64_t>(Counts.PeakInFlight, InFlight);
  return Start + Duration - Now;
}

} // namespace spindle
