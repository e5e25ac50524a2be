#ifndef PARSLEYSPINDLE_LIBLIMITS_DEMAND_METER_H
#define PARSLEYSPINDLE_LIBLIMITS_DEMAND_METER_H

#include "LibLimits/micro_tokens.h"

namespace spindle {

/// A moving average of the tokens that a customer requests from this host,
/// admitted or not. It guides lending; no limit depends on it.
struct demand_meter {
  double MicrosPerSecond = 0;
  /// Requested since the last update, minus what settled reservations returned.
  double PendingMicros = 0;
  /// The largest recent request, decaying over time.
  double LargeRequestMicros = 0;
  time_point LastUpdate;
};

/// Counts a request of \p Amount.
void noteDemand(demand_meter &Meter, micro_tokens Amount);
/// Subtracts the part of a reservation that was not used.
void subtractUnused(demand_meter &Meter, micro_tokens Amount);
/// Updates the average with the counted demand. Returns early if the last
/// update is recent, so it can be called often.
void updateDemand(demand_meter &Meter, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_DEMAND_METER_H
