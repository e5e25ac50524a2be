#include "LibGateway/stream_timing.h"

#include <algorithm>

namespace spindle {

void noteEvents(stream_timing &Timing, time_point Now) {
  if (Timing.FirstEventAt)
    Timing.LongestGap =
        std::max(Timing.LongestGap, nanoseconds(Now - Timing.LastEventAt));
  else
    Timing.FirstEventAt = Now;
  Timing.LastEventAt = Now;
}

} // namespace spindle
