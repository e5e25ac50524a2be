#ifndef PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_STATISTICS_H
#define PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_STATISTICS_H

#include "placement_model.h"

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <vector>

namespace spindle {

/// The counts of a run, from which its results are computed. Not thread-safe.
struct placement_statistics {
  std::uint64_t Loads = 0;
  std::uint64_t Refused = 0;
  std::uint64_t CrossZone = 0;
  std::uint64_t StalledRequests = 0;
  /// Seconds from a request's arrival to its pin.
  std::vector<double> Stalls;
  /// Seconds from a request's arrival to its start.
  std::vector<double> Waits;
  /// Seconds in which an engine ran anything, over all engines.
  double BusySeconds = 0;
  /// The same, times the requests that ran.
  double BatchSeconds = 0;
};

/// Counts a request that was refused after \p Waited.
void noteRefused(placement_statistics &Statistics, nanoseconds Waited);
/// Computes the results of a run under \p Load.
placement_result summarize(const placement_statistics &Statistics,
                           const placement_load &Load);

} // namespace spindle

#endif // PARSLEYSPINDLE_BENCHMARKS_PLACEMENT_STATISTICS_H
