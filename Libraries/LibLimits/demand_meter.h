#ifndef PARSLEYSPINDLE_LIBLIMITS_DEMAND_METER_H
#define PARSLEYSPINDLE_LIBLIMITS_DEMAND_METER_H

#include "LibLimits/micro_tokens.h"

namespace spindle {

/// A moving average of what a customer asks of this host, admitted or not. It
/// guides lending; no bound depends on it.
struct demand_meter {
  double MicrosPerSecond = 0;
  /// Asked since the last update, less what settled reservations gave back.
  double PendingMicros = 0;
  /// The size of a large request of late.
  double LargeMicros = 0;
  time_point LastUpdate;
};

/// Counts a request of \p Amount.
void noteDemand(demand_meter &Meter, micro_tokens Amount);
/// Takes back what a reservation did not use.
void noteUnused(demand_meter &Meter, micro_tokens Amount);
/// Folds what was counted into the average. Cheap if called often.
void updateDemand(demand_meter &Meter, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_DEMAND_METER_H
