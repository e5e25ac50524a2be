#include "LibFleetModel/run_statistics.h"

#include "LibLoad/percentile.h"

#include <algorithm>
#include <cmath>

namespace spindle {

// A dispatch without a wait takes less than this.
static constexpr double ShortStallMilliseconds = 15;

static double toMilliseconds(nanoseconds Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

static double shareOf(double Part, double Whole) {
  return Whole > 0 ? Part / Whole : 0;
}

run_statistics::run_statistics(const model_settings &Settings, time_point Begin,
                               double Seconds)
    : Settings(Settings), Begin(Begin), Kinds(Settings.Kinds.size()),
      FirstEvents(Settings.Kinds.size()) {
  const std::size_t Count = static_cast<std::size_t>(std::ceil(Seconds)) + 1;
  OwedBySecond.resize(Count);
  EarnedBySecond.resize(Count);
  for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind)
    Kinds[Kind].Name = Settings.Kinds[Kind].Name;
}

std::size_t run_statistics::secondOf(time_point Time) const {
  return static_cast<std::size_t>(
      std::chrono::duration<double>(Time - Begin).count());
}

void run_statistics::noteArrival(std::size_t Kind, time_point Now) {
  const double Worth = Settings.Kinds[Kind].Worth;
  ++Kinds[Kind].Requests;
  Kinds[Kind].WorthOwed += Worth;
  OwedBySecond[secondOf(Now)] += Worth;
}

void run_statistics::noteDispatch(nanoseconds Stall, bool OtherZone) {
  Stalls.push_back(toMilliseconds(Stall));
  ++Dispatched;
  ToOtherZone += OtherZone ? 1 : 0;
}

void run_statistics::noteFirstEvent(std::size_t Kind, nanoseconds Latency) {
  FirstEvents[Kind].push_back(toMilliseconds(Latency));
}

void run_statistics::noteEnd(std::size_t Kind, request_end End,
                             time_point Arrival) {
  kind_result &Result = Kinds[Kind];
  double Worth = 0;
  switch (End) {
  case request_end::InTime:
    ++Result.InTime;
    Worth = Settings.Kinds[Kind].Worth;
    break;
  case request_end::Late:
    ++Result.Late;
    Worth = Settings.Kinds[Kind].LateWorth;
    break;
  case request_end::Refused:
    ++Result.Refused;
    break;
  case request_end::Failed:
    ++Result.Failed;
    break;
  }
  Result.WorthEarned += Worth;
  EarnedBySecond[secondOf(Arrival)] += Worth;
}

model_result run_statistics::summarize(std::int64_t TokensPrefilled) const {
  model_result Result;
  Result.Kinds = Kinds;
  double Owed = 0;
  double Earned = 0;
  for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind) {
    kind_result &Shown = Result.Kinds[Kind];
    Shown.FirstEventP50Milliseconds = percentile(FirstEvents[Kind], 0.5);
    Shown.FirstEventP99Milliseconds = percentile(FirstEvents[Kind], 0.99);
    Owed += Shown.WorthOwed;
    Earned += Shown.WorthEarned;
  }
  Result.WorthShare = shareOf(Earned, Owed);
  for (std::size_t Second = 0; Second < OwedBySecond.size(); ++Second)
    Result.WorthBySecond.push_back(
        OwedBySecond[Second] > 0 ? EarnedBySecond[Second] / OwedBySecond[Second]
                                 : 1);
  Result.Stalled = static_cast<std::uint64_t>(
      std::count_if(Stalls.begin(), Stalls.end(), [](double Stall) {
        return Stall > ShortStallMilliseconds;
      }));
  Result.StallP99Milliseconds = percentile(Stalls, 0.99);
  Result.TokensPrefilled = TokensPrefilled;
  Result.PrefilledAgainShare = shareOf(static_cast<double>(PrefilledAgain),
                                       static_cast<double>(TokensPrefilled));
  Result.OtherZoneShare = shareOf(static_cast<double>(ToOtherZone),
                                  static_cast<double>(Dispatched));
  return Result;
}

} // namespace spindle
