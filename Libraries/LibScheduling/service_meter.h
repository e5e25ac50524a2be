#ifndef PARSLEYSPINDLE_LIBSCHEDULING_SERVICE_METER_H
#define PARSLEYSPINDLE_LIBSCHEDULING_SERVICE_METER_H

#include "LibCore/runtime_clock.h"
#include "LibCore/tokens.h"

#include <cstdint>
#include <optional>

namespace spindle {

/// Measures how fast a queue is served while requests wait in it. Older
/// observations decay exponentially.
struct service_meter {
  double Tokens = 0;
  double BusySeconds = 0;
  std::uint32_t Starts = 0;
  /// Since when a request has been waiting to start; none while the queue is
  /// empty.
  std::optional<time_point> WaitingSince;
};

/// Records that requests wait from now on. Not thread-safe.
void noteBacklogged(service_meter &Meter, time_point Now);
/// Records that the queue is empty. Not thread-safe.
void noteDrained(service_meter &Meter);
/// Records the start of a request that had been queued. Not thread-safe.
void noteStarted(service_meter &Meter, tokens Cost, time_point Now);
/// Tokens started per second while requests waited; none until enough starts
/// were recorded. An ongoing stall lowers the rate. Thread-safe for readers.
std::optional<token_rate> serviceRate(const service_meter &Meter,
                                      time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_SERVICE_METER_H
