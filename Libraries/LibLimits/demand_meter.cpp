#include "LibLimits/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace spindle {

static constexpr double AveragingSeconds = 10.0;
static constexpr double MinUpdateSeconds = 0.05;

void noteDemand(demand_meter &Meter, micro_tokens Amount) {
  const double Micros = static_cast<double>(Amount.Count);
  Meter.PendingMicros += Micros;
  Meter.LargeRequestMicros = std::max(Meter.LargeRequestMicros, Micros);
}

void subtractUnused(demand_meter &Meter, micro_tokens Amount) {
  Meter.PendingMicros -= static_cast<double>(Amount.Count);
}

void updateDemand(demand_meter &Meter, time_point Now) {
  const std::chrono::duration<double> Elapsed = Now - Meter.LastUpdate;
  if (Elapsed.count() < MinUpdateSeconds)
    return;
  const double Kept = std::exp(-Elapsed.count() / AveragingSeconds);
  const double Recent = Meter.PendingMicros / Elapsed.count();
  Meter.MicrosPerSecond += (1 - Kept) * (Recent - Meter.MicrosPerSecond);
  Meter.LargeRequestMicros *= Kept;
  Meter.PendingMicros = 0;
  Meter.LastUpdate = Now;
}

} // namespace spindle
