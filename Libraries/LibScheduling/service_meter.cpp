#include "LibScheduling/service_meter.h"

#include <algorithm>
#include <cmath>

namespace spindle {

/// Time constant of the decay, in seconds during which requests wait:
/// observations lose two thirds of their weight in this time.
static constexpr double DecaySeconds = 5;
/// With fewer starts the rate is unknown.
static constexpr std::uint32_t MinStarts = 16;

static double secondsBetween(time_point From, time_point To) {
  const std::chrono::duration<double> Passed = To - From;
  return std::max(Passed.count(), 0.0);
}

void noteBacklogged(service_meter &Meter, time_point Now) {
  if (!Meter.WaitingSince)
    Meter.WaitingSince = Now;
}

void noteDrained(service_meter &Meter) { Meter.WaitingSince.reset(); }

void noteStarted(service_meter &Meter, tokens Cost, time_point Now) {
  if (!Meter.WaitingSince)
    return;
  const double Passed = secondsBetween(*Meter.WaitingSince, Now);
  const double Kept = std::exp(-Passed / DecaySeconds);
  Meter.Tokens = Meter.Tokens * Kept + static_cast<double>(Cost.Count);
  Meter.BusySeconds = Meter.BusySeconds * Kept + Passed;
  Meter.Starts = std::min(Meter.Starts + 1, MinStarts);
  Meter.WaitingSince = Now;
}

std::optional<token_rate> serviceRate(const service_meter &Meter,
                                      time_point Now) {
  if (Meter.Starts < MinStarts)
    return std::nullopt;
  double Busy = Meter.BusySeconds;
  if (Meter.WaitingSince)
    Busy += secondsBetween(*Meter.WaitingSince, Now);
  if (Busy <= 0)
    return std::nullopt;
  return token_rate{Meter.Tokens / Busy};
}

} // namespace spindle
