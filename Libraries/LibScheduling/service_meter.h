#ifndef PARSLEYSPINDLE_LIBSCHEDULING_SERVICE_METER_H
#define PARSLEYSPINDLE_LIBSCHEDULING_SERVICE_METER_H

#include "LibCore/runtime_clock.h"
#include "LibCore/tokens.h"

#include <cstdint>
#include <optional>

namespace spindle {

/// Measures how fast a queue is served while requests wait in it. Older
/// observations fade.
struct service_meter {
  double Tokens = 0;
  double BusySeconds = 0;
  std::uint32_t Starts = 0;
  /// Since when the queue has been waiting for its next start; none while
  /// nothing waits.
  std::optional<time_point> WaitingSince;
};

/// Notes that requests wait from now on. Not thread-safe.
void noteBacklogged(service_meter &Meter, time_point Now);
/// Notes that nothing waits any more. Not thread-safe.
void noteDrained(service_meter &Meter);
/// Notes the start of a request that had waited. Not thread-safe.
void noteStarted(service_meter &Meter, tokens Cost, time_point Now);
/// Tokens started a second while requests waited; none while too few were
/// seen. A stall that lasts lowers the rate. Thread-safe for readers.
std::optional<token_rate> serviceRate(const service_meter &Meter,
                                      time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_SERVICE_METER_H
