#include "LibGateway/place_decision.h"

#include <algorithm>
#include <tuple>

namespace spindle {

static std::optional<place_decision>
findHeld(std::span<const place_engine> Engines, const versioned_adapter &Wanted,
         time_point Now) {
  for (std::size_t Index = 0; Index < Engines.size(); ++Index)
    if (planHold(*Engines[Index].Places, Wanted, Now).Action ==
        hold_action::Held)
      return place_decision{place_step::Held, Index, std::nullopt};
  return std::nullopt;
}

/// Finds an engine that loads the adapter, or has an older version of it.
static std::optional<place_decision>
findUnderWay(std::span<const place_engine> Engines,
             const versioned_adapter &Wanted) {
  for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
    const adapter_place *const Place =
        findPlace(*Engines[Index].Places, Wanted.Name);
    if (!Place || Place->State == place_state::Unloading)
      continue;
    if (Place->State == place_state::Loading)
      return place_decision{place_step::UnderWay, Index, std::nullopt};
    if (Engines[Index].Answers)
      return place_decision{place_step::Load, Index, std::nullopt};
  }
  return std::nullopt;
}

static place_decision findPlaceFor(std::span<const place_engine> Engines,
                                   const versioned_adapter &Wanted,
                                   const place_queue &Queue, time_point Now) {
  place_decision Best;
  std::tuple<bool, bool, double> BestRank;
  for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
    const place_engine &Engine = Engines[Index];
    const hold_plan Plan = planHold(*Engine.Places, Wanted, Now);
    const bool NeedsRoom = Plan.Action == hold_action::Unload;
    if ((Plan.Action != hold_action::Load && !NeedsRoom) || !Engine.Answers ||
        !goesFirst(Queue, Wanted.Name, Engine.Id, Now))
      continue;
    const std::tuple<bool, bool, double> Rank{NeedsRoom, !Engine.HadBefore,
                                              Plan.VictimUses};
    if (Best.Step != place_step::Queue && BestRank <= Rank)
      continue;
    Best = {NeedsRoom ? place_step::Unload : place_step::Load, Index,
            Plan.Victim};
    BestRank = Rank;
  }
  return Best;
}

place_decision decidePlace(std::span<const place_engine> Engines,
                           const versioned_adapter &Wanted,
                           const place_queue &Queue, time_point Now) {
  if (const std::optional<place_decision> Held = findHeld(Engines, Wanted, Now))
    return *Held;
  if (std::none_of(Engines.begin(), Engines.end(),
                   [](const place_engine &Engine) { return Engine.Answers; }))
    return {place_step::Silent, 0, std::nullopt};
  if (const std::optional<place_decision> UnderWay =
          findUnderWay(Engines, Wanted))
    return *UnderWay;
  return findPlaceFor(Engines, Wanted, Queue, Now);
}

} // namespace spindle
