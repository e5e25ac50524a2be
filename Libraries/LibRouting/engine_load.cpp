#include "LibRouting/engine_load.h"

#include <algorithm>
#include <cassert>

namespace spindle {

/// The least time between samples, so that the ring covers the lag of reports.
static constexpr milliseconds SampleInterval{150};
/// The weight of a new observation in the moving average.
static constexpr double NewSampleWeight = 0.1;

/// Records the load before a change, at most once per SampleInterval.
static void sample(engine_load &Load, time_point Now) {
  const std::size_t Last =
      (Load.NextSample + Load.Samples.size() - 1) % Load.Samples.size();
  if (Now - Load.Samples[Last].Time < SampleInterval)
    return;
  Load.Samples[Load.NextSample] = {Now, Load.LocalInFlight};
  Load.NextSample = (Load.NextSample + 1) % Load.Samples.size();
}

/// This host's load at \p Time: its value before the first later change.
static std::uint32_t localLoadAt(const engine_load &Load, time_point Time) {
  std::uint32_t InFlight = Load.LocalInFlight;
  time_point Earliest = time_point::max();
  for (const local_load_sample &Sample : Load.Samples) {
    if (Sample.Time < Time || Sample.Time >= Earliest)
      continue;
    Earliest = Sample.Time;
    InFlight = Sample.InFlight;
  }
  return InFlight;
}

void noteDispatch(engine_load &Load, time_point Now) {
  sample(Load, Now);
  ++Load.LocalInFlight;
}

void noteFinish(engine_load &Load, nanoseconds Service, time_point Now) {
  assert(Load.LocalInFlight > 0 && "the dispatch was recorded");
  if (Load.LocalInFlight == 0)
    return;
  sample(Load, Now);
  --Load.LocalInFlight;
  const std::chrono::duration<double, std::milli> Milliseconds = Service;
  Load.ServiceMilliseconds +=
      NewSampleWeight * (Milliseconds.count() - Load.ServiceMilliseconds);
}

void noteReport(engine_load &Load, std::uint32_t Running, std::uint32_t Waiting,
                time_point Taken) {
  Load.Reported = Running + Waiting;
  Load.LocalAtReport = localLoadAt(Load, Taken);
}

std::uint32_t correctedLoad(const engine_load &Load) {
  const std::int64_t Others = static_cast<std::int64_t>(Load.Reported) -
                              static_cast<std::int64_t>(Load.LocalAtReport);
  return Load.LocalInFlight +
         static_cast<std::uint32_t>(std::max<std::int64_t>(Others, 0));
}

double expectedWaitMilliseconds(const engine_load &Load) {
  const std::uint32_t Requests = correctedLoad(Load);
  if (Requests < Load.BatchSize)
    return 0;
  const double Ahead = Requests - Load.BatchSize + 1;
  return Ahead * Load.ServiceMilliseconds / std::max(1U, Load.BatchSize);
}

} // namespace spindle
