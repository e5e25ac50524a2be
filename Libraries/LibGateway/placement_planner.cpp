#include "LibGateway/placement_planner.h"

#include "LibCore/retry_after_error.h"

#include <algorithm>
#include <span>

namespace spindle {

// How far below the best value that of an alternative engine may be.
static constexpr double MaxValueGap = 0.05;
// The same while all slots are in use: the request takes the first free one.
static constexpr double MaxValueGapWithoutSlot = 0.3;
// The highest factor that an engine's times are expected to have. Waits for
// requests that are not in the zone's records, as of hosts that could not reach
// the leader, seem to be slowness; they must not exclude an engine.
static constexpr double MaxTimeFactor = 2;
// A reading time is a sample of the engine's speed only if the prompt waited
// for at most the time divided by this.
static constexpr int MaxWaitDivisor = 10;

/// Sets how long reading and writing are expected to take on the engine during
/// the request.
static void applyFacts(engine_candidate &Candidate, const engine_facts &Facts,
                       const placement_query &Query, time_point Now) {
  const request_work Usual = workOn(Candidate, Query, placement_costs{});
  Candidate.ReadingFactor =
      std::min(MaxTimeFactor, expectedTimeFactor(Facts, Usual.Reading, Now));
  Candidate.WritingFactor =
      std::min(MaxTimeFactor, expectedTimeFactor(Facts, Usual.Writing, Now));
}

/// How long an engine of the usual speed would read the prompt; 0 if it waits
/// for others or the engine may have kept a part of it, so that its time is no
/// sample of the engine's speed.
static milliseconds usualReading(const engine_candidate &Engine,
                                 const placement_query &Query, time_point Now) {
  engine_candidate Usual = Engine;
  Usual.ReadingFactor = 1;
  const nanoseconds Reading = workOn(Usual, Query, placement_costs{}).Reading;
  if (Engine.CachedTokens > 0 ||
      readingBacklog(*Engine.Work, Now) * MaxWaitDivisor > Reading)
    return milliseconds(0);
  return std::chrono::duration_cast<milliseconds>(Reading);
}

/// Precondition: the zone's Mutex is held.
static engine_candidate candidateAt(zone_work &Zone, const zone_view &View,
                                    std::size_t Index,
                                    const work_request &Request,
                                    time_point Now) {
  const placeable_engine &Engine = View.Engines[Index];
  const engine_placements &Placed =
      placementsOn(Zone, *Engine.Entry, View.Size.CacheTokens, Now);
  engine_candidate Candidate;
  Candidate.Work = &Placed.Work;
  Candidate.Health = Engine.Health;
  Candidate.BatchSlots = Engine.Entry->Slots;
  Candidate.MemoryTokens = View.Size.CacheTokens;
  if (!View.Outlooks.empty()) {
    const adapter_outlook &Outlook = View.Outlooks[Index];
    Candidate.Adapter = Outlook.Slots.Readiness;
    Candidate.LikelyHasCopy = Outlook.LikelyHasCopy;
    Candidate.VictimUses = Outlook.Slots.VictimUses;
  }
  if (Candidate.Adapter == adapter_readiness::Ready)
    Candidate.CachedTokens = Placed.Prompts.cachedTokens(Request.Description);
  applyFacts(Candidate, Engine.Facts, Request.Query, Now);
  return Candidate;
}

/// Throws if no engine is expected to have room while the first event is of
/// use. Load pattern: the engines' memory is full of long outputs; the request
/// is of more use in another zone, or later.
static void refuseIfNoRoom(std::span<const engine_candidate> Engines,
                           const placement_query &Query, time_point Now) {
  std::optional<nanoseconds> Soonest;
  for (const engine_candidate &Engine : Engines) {
    const std::optional<nanoseconds> Wait = timeUntilRoom(Engine, Query, Now);
    if (Wait && (!Soonest || *Wait < *Soonest))
      Soonest = Wait;
  }
  if (!Soonest)
    throw spindle_error(result_code::AdapterNotLoaded,
                        "no engine has the memory for the request");
  if (*Soonest > Query.Useful)
    throw retry_after_error(
        result_code::AdapterNotLoaded,
        "no engine will have room for the request while that is of use",
        std::chrono::ceil<milliseconds>(*Soonest));
}

/// Completes the request's query with what the view and the time add to it.
static placement_query queryFor(const work_request &Request,
                                const zone_view &View, time_point Now) {
  placement_query Query = Request.Query;
  Query.Remaining = Request.Slot.OnTimeUntil - Now;
  Query.Useful = Request.Slot.UsefulUntil - Now;
  Query.AdapterUses = sumUses(View);
  Query.AdapterCopies = countCopies(View);
  return Query;
}

/// Makes a plan of the engines whose values are close to the best.
/// Precondition: \p Ranked is not empty.
static placement_plan planFor(const zone_view &View,
                              std::span<const engine_candidate> Candidates,
                              std::span<const engine_choice> Ranked,
                              const placement_query &Query, time_point Now) {
  placement_plan Plan;
  Plan.Best = Ranked.front();
  Plan.EngineCount = Candidates.size();
  const engine_candidate &Best = Candidates[Plan.Best.Index];
  Plan.IsAdapterReady = Best.Adapter == adapter_readiness::Ready;
  Plan.UsualReading = usualReading(Best, Query, Now);
  const double Gap = Best.Adapter == adapter_readiness::NoSlot
                         ? MaxValueGapWithoutSlot
                         : MaxValueGap;
  for (const engine_choice &Choice : Ranked)
    if (Choice.Value >= Plan.Best.Value - Gap)
      Plan.Engines.push_back(
          {View.Engines[Choice.Index].Entry->Id, Candidates[Choice.Index]});
  return Plan;
}

std::optional<placement_plan>
planPlacement(zone_work &Zone, const fleet_table &Fleet, const zone_view &View,
              const work_request &Request, time_point Now) {
  const placement_query Query = queryFor(Request, View, Now);
  const std::lock_guard<std::mutex> Lock(Zone.Mutex);
  dropRemovedEngines(Zone, Fleet, Now);
  std::vector<engine_candidate> Candidates;
  Candidates.reserve(View.Engines.size());
  for (std::size_t Index = 0; Index < View.Engines.size(); ++Index)
    Candidates.push_back(candidateAt(Zone, View, Index, Request, Now));
  const std::vector<engine_choice> Ranked =
      rankEngines(Candidates, Query, placement_costs{}, Now);
  if (!Ranked.empty())
    return planFor(View, Candidates, Ranked, Query, Now);
  refuseIfNoRoom(Candidates, Query, Now);
  return std::nullopt;
}

} // namespace spindle
