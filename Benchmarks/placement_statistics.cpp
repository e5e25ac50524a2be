#include "placement_statistics.h"

#include "LibLoad/percentile.h"

#include <algorithm>
#include <numeric>

namespace spindle {

void noteRefused(placement_statistics &Statistics, nanoseconds Waited) {
  const double Seconds = std::chrono::duration<double>(Waited).count();
  ++Statistics.Refused;
  ++Statistics.StalledRequests;
  Statistics.Stalls.push_back(Seconds);
  Statistics.Waits.push_back(Seconds);
}

placement_result summarize(const placement_statistics &Statistics,
                           const placement_load &Load) {
  const std::vector<double> &Stalls = Statistics.Stalls;
  placement_result Result;
  Result.Requests = Stalls.size();
  Result.Refused = Statistics.Refused;
  Result.Loads = Statistics.Loads;
  const double Requests =
      static_cast<double>(std::max<std::size_t>(1, Stalls.size()));
  Result.StalledShare =
      static_cast<double>(Statistics.StalledRequests) / Requests;
  Result.StallTotal = std::accumulate(Stalls.begin(), Stalls.end(), 0.0);
  Result.StallPerRequest = Result.StallTotal / Requests;
  Result.StallP99 = percentile(Stalls, 0.99);
  Result.WaitP50 = percentile(Statistics.Waits, 0.5);
  Result.WaitP99 = percentile(Statistics.Waits, 0.99);
  Result.TokensPerStep = Statistics.BusySeconds > 0
                             ? Statistics.BatchSeconds / Statistics.BusySeconds
                             : 0;
  Result.TokensPerSecond = Statistics.BatchSeconds * 1'000 /
                           Load.StepMilliseconds /
                           std::chrono::duration<double>(Load.Measured).count();
  Result.CrossZoneShare = static_cast<double>(Statistics.CrossZone) / Requests;
  return Result;
}

} // namespace spindle
