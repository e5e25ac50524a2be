#include "platform_stand_in/rate_meter.h"

#include <algorithm>

namespace spindle {

void rate_meter::startSecond(time_point Now) {
  const std::int64_t Current =
      std::chrono::duration_cast<seconds>(Now.time_since_epoch()).count();
  if (Current == Second)
    return;
  Second = Current;
  ReadsNow = OpenWatches;
  WritesNow = 0;
}

bool rate_meter::admit(time_point Now, store_call Call,
                       std::string_view ObjectKind, const call_rates &Rates) {
  startSecond(Now);
  const bool IsRead = Call == store_call::Read;
  std::uint64_t &Calls = IsRead ? ReadsNow : WritesNow;
  std::uint64_t &Peak = IsRead ? Counts.PeakReads : Counts.PeakWrites;
  ++Calls;
  ++(IsRead ? Counts.Reads : Counts.Writes);
  Peak = std::max(Peak, Calls);
  const auto Found = Counts.ByKind.find(ObjectKind);
  if (Found != Counts.ByKind.end())
    ++Found->second;
  else
    Counts.ByKind.emplace(ObjectKind, 1);
  const double Rate = IsRead ? Rates.ReadsPerSecond : Rates.WritesPerSecond;
  if (Rate <= 0 || static_cast<double>(Calls) <= Rate)
    return true;
  ++Counts.Refused;
  return false;
}

} // namespace spindle
