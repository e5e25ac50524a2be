#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_RUN_STATISTICS_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_RUN_STATISTICS_H

#include "LibFleetModel/fleet_model.h"

#include <cstdint>
#include <vector>

namespace spindle {

/// How a request ended.
enum class request_end { InTime, Late, Refused, Failed };

/// The counts of a run, from which its results are computed. Kinds are indices
/// into the settings' kinds. Not thread-safe.
class run_statistics {
public:
  /// \p Settings must outlive the object; the run begins at \p Begin and
  /// requests arrive for \p Seconds.
  run_statistics(const model_settings &Settings, time_point Begin,
                 double Seconds);

  void noteArrival(std::size_t Kind, time_point Now);
  /// Counts a request's way to an engine, after \p Stall in hosts.
  void noteDispatch(nanoseconds Stall, bool OtherZone);
  /// Counts tokens that are prefilled though another engine has them cached.
  void notePrefilledAgain(std::int64_t Tokens) { PrefilledAgain += Tokens; }
  void noteFirstEvent(std::size_t Kind, nanoseconds Latency);
  /// Counts the end of a request that arrived at \p Arrival.
  void noteEnd(std::size_t Kind, request_end End, time_point Arrival);

  /// The results, but for Fetches, CopiesLoaded and Preemptions.
  /// \p TokensPrefilled is the sum over all engines.
  model_result summarize(std::int64_t TokensPrefilled) const;

private:
  std::size_t secondOf(time_point Time) const;

  const model_settings &Settings;
  time_point Begin;
  std::vector<kind_result> Kinds;
  /// Milliseconds to the first event, by kind.
  std::vector<std::vector<double>> FirstEvents;
  /// Milliseconds from an attempt's begin to its dispatch.
  std::vector<double> Stalls;
  std::vector<double> OwedBySecond;
  std::vector<double> EarnedBySecond;
  std::int64_t PrefilledAgain = 0;
  std::uint64_t Dispatched = 0;
  std::uint64_t ToOtherZone = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_RUN_STATISTICS_H
