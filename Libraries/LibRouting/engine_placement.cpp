#include "LibRouting/engine_placement.h"

#include <algorithm>
#include <cmath>

namespace spindle {

// Typical error of a time estimate, as a fraction of the objective.
static constexpr double EstimateErrorRatio = 0.15;
// The part of an engine's memory that requests may occupy, as estimates of the
// output have errors.
static constexpr double UsableMemoryRatio = 0.9;
// A copy of an adapter serves the requests of about this part of the decayed
// number of uses before it is evicted.
static constexpr double ReuseRatio = 0.5;

using milliseconds_double = std::chrono::duration<double, std::milli>;

static nanoseconds fromMilliseconds(double Time) {
  return std::chrono::duration_cast<nanoseconds>(milliseconds_double(Time));
}

static double toMilliseconds(nanoseconds Time) {
  return milliseconds_double(Time).count();
}

request_work workOn(const engine_candidate &Engine,
                    const placement_query &Query,
                    const placement_costs &Costs) {
  const std::int64_t Unread =
      std::max<std::int64_t>(1, Query.PromptTokens - Engine.CachedTokens);
  request_work Work;
  Work.Reading =
      fromMilliseconds(static_cast<double>(Unread) * Engine.ReadingFactor /
                       Costs.ReadTokensPerMillisecond);
  Work.Writing =
      fromMilliseconds(static_cast<double>(Query.OutputTokens) *
                       Engine.WritingFactor * Costs.MillisecondsPerOutputToken);
  Work.MemoryTokens = Query.PromptTokens + Query.HighOutputTokens;
  Work.GapObjective = Query.GapObjective;
  return Work;
}

bool hasRoom(const engine_candidate &Engine, const placement_query &Query) {
  const placed_work &Work = *Engine.Work;
  if (Work.Requests.size() >= std::max(1U, Engine.BatchSlots))
    return false;
  if (Engine.MemoryTokens <= 0)
    return true;
  const std::int64_t Needed = Query.PromptTokens + Query.HighOutputTokens;
  const double Usable =
      static_cast<double>(Engine.MemoryTokens) * UsableMemoryRatio;
  // An engine without requests takes any that its memory can hold.
  if (Work.Requests.empty())
    return Needed <= Engine.MemoryTokens;
  return static_cast<double>(memoryInUse(Work) + Needed) <= Usable;
}

std::optional<nanoseconds> timeUntilRoom(const engine_candidate &Engine,
                                         const placement_query &Query,
                                         time_point Now) {
  placed_work Rest = *Engine.Work;
  std::sort(Rest.Requests.begin(), Rest.Requests.end(),
            [](const placed_request &Left, const placed_request &Right) {
              return Left.EndsAt > Right.EndsAt;
            });
  engine_candidate Later = Engine;
  Later.Work = &Rest;
  time_point RoomAt = Now;
  while (!hasRoom(Later, Query)) {
    if (Rest.Requests.empty())
      return std::nullopt;
    RoomAt = std::max(RoomAt, Rest.Requests.back().EndsAt);
    Rest.Requests.pop_back();
  }
  return RoomAt - Now;
}

double ownPauseRisk(const engine_candidate &Engine, const request_work &Work,
                    time_point Now) {
  if (Work.GapObjective <= nanoseconds(0))
    return 0;
  const double Gap = toMilliseconds(Work.GapObjective);
  const std::chrono::duration<double> Writing = Work.Writing;
  // The expected number of pauses that are too long: each prompt counts as in
  // pauseRisk().
  const double Expected =
      squaredReadingRate(*Engine.Work, Now) * Writing.count() / (Gap * Gap);
  return 1 - std::exp(-Expected);
}

double harmToOthers(const engine_candidate &Engine, const request_work &Work,
                    time_point Now) {
  const nanoseconds Backlog = readingBacklog(*Engine.Work, Now);
  const time_point ReadFrom = Now + Backlog;
  double Harm = 0;
  for (const placed_request &Request : Engine.Work->Requests) {
    if (Request.EndsAt <= ReadFrom)
      continue;
    // What is read at a stretch while the stream is written.
    const nanoseconds Before =
        std::max(nanoseconds(0),
                 nanoseconds(ReadFrom - std::max(Now, Request.ReadUntil)));
    Harm += pauseRisk(Before + Work.Reading, Request.Work.GapObjective) -
            pauseRisk(Before, Request.Work.GapObjective);
  }
  return Harm;
}

static nanoseconds loadingTime(const engine_candidate &Engine,
                               const placement_costs &Costs) {
  const nanoseconds Load =
      Engine.LikelyHasCopy ? Costs.CopyLoadTime : Costs.FetchTime;
  switch (Engine.Adapter) {
  case adapter_readiness::Ready:
    return nanoseconds(0);
  case adapter_readiness::Loading:
    return Load / 2;
  case adapter_readiness::Loadable:
    return Load;
  case adapter_readiness::NeedsEviction:
    return Load + Costs.CopyLoadTime;
  case adapter_readiness::NoSlot:
  case adapter_readiness::Unavailable:
    return Load + Costs.SlotWait;
  }
  return Load;
}

/// The cost of a load, divided among the requests that the copy will serve, and
/// of the eviction that it needs.
static double loadCost(const engine_candidate &Engine,
                       const placement_query &Query,
                       const placement_costs &Costs) {
  if (Engine.Adapter == adapter_readiness::Ready ||
      Engine.Adapter == adapter_readiness::Loading)
    return 0;
  const double Reuse =
      1 + ReuseRatio * Query.AdapterUses / (1.0 + Query.AdapterCopies);
  const double Load = Engine.LikelyHasCopy ? Costs.CopyLoad : Costs.Fetch;
  // The evicted adapter is probably fetched again if it is still asked for.
  const double Eviction = Engine.Adapter == adapter_readiness::Loadable
                              ? 0
                              : 1 - std::exp(-Engine.VictimUses);
  return Load / Reuse + Costs.CopyLoad * Eviction;
}

/// The probability that the first event comes within \p Limit: a logistic
/// function of the time that is left, as estimates have errors.
static double probabilityWithin(nanoseconds Limit, nanoseconds FirstEvent,
                                const placement_query &Query) {
  const double Error =
      std::max(1.0, toMilliseconds(Query.Objective) * EstimateErrorRatio);
  return 1 / (1 + std::exp(toMilliseconds(FirstEvent - Limit) / Error));
}

static engine_choice evaluate(const engine_candidate &Engine, std::size_t Index,
                              const placement_query &Query,
                              const placement_costs &Costs, time_point Now) {
  engine_choice Choice;
  Choice.Index = Index;
  Choice.Work = workOn(Engine, Query, Costs);
  Choice.Loading = loadingTime(Engine, Costs);
  Choice.FirstEvent =
      std::max(Choice.Loading, readingBacklog(*Engine.Work, Now)) +
      Choice.Work.Reading;
  const double InTime =
      probabilityWithin(Query.Remaining, Choice.FirstEvent, Query) *
      (1 - ownPauseRisk(Engine, Choice.Work, Now));
  const double Served =
      probabilityWithin(Query.Useful, Choice.FirstEvent, Query);
  const double Worth =
      Served * (Costs.LateWorth + (1 - Costs.LateWorth) * InTime);
  const double Harm =
      (1 - Costs.LateWorth) * harmToOthers(Engine, Choice.Work, Now);
  const std::chrono::duration<double> Wait = Choice.FirstEvent;
  Choice.Value = Worth * Engine.Health - Harm - loadCost(Engine, Query, Costs) -
                 Wait.count() * Costs.WaitPerSecond;
  return Choice;
}

static bool isUsable(const engine_candidate &Engine) {
  return Engine.Health > 0 && Engine.Adapter != adapter_readiness::Unavailable;
}

std::vector<engine_choice>
rankEngines(std::span<const engine_candidate> Engines,
            const placement_query &Query, const placement_costs &Costs,
            time_point Now) {
  std::vector<engine_choice> Ranked;
  Ranked.reserve(Engines.size());
  for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
    if (!isUsable(Engines[Index]) || !hasRoom(Engines[Index], Query))
      continue;
    const engine_choice Choice =
        evaluate(Engines[Index], Index, Query, Costs, Now);
    // Values that are no numbers have no order.
    if (std::isfinite(Choice.Value))
      Ranked.push_back(Choice);
  }
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const engine_choice &Left, const engine_choice &Right) {
                     return Left.Value > Right.Value;
                   });
  return Ranked;
}

} // namespace spindle
