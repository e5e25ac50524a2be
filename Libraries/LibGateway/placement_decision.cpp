#include "LibGateway/placement_decision.h"

#include <algorithm>
#include <tuple>

namespace spindle {

static std::optional<placement_decision>
findHeld(std::span<const placement_candidate> Engines,
         const versioned_adapter &Wanted, time_point Now) {
  for (std::size_t Index = 0; Index < Engines.size(); ++Index)
    if (planHold(*Engines[Index].Slots, Wanted, Now).Action ==
        hold_action::Held)
      return placement_decision{placement_step::Held, Index, std::nullopt};
  return std::nullopt;
}

/// Finds an engine that is loading the adapter or has an older version of it.
static std::optional<placement_decision>
findLoadInProgress(std::span<const placement_candidate> Engines,
                   const versioned_adapter &Wanted) {
  for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
    const adapter_slot *const Slot =
        findAdapterSlot(*Engines[Index].Slots, Wanted.Name);
    if (!Slot || Slot->State == adapter_slot_state::Unloading)
      continue;
    if (Slot->State == adapter_slot_state::Loading)
      return placement_decision{placement_step::LoadInProgress, Index,
                                std::nullopt};
    if (Engines[Index].IsResponsive)
      return placement_decision{placement_step::Load, Index, std::nullopt};
  }
  return std::nullopt;
}

static placement_decision
choosePlacement(std::span<const placement_candidate> Engines,
                const versioned_adapter &Wanted, const slot_queue &Queue,
                time_point Now) {
  placement_decision Best;
  std::tuple<bool, bool, double> BestRank;
  for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
    const placement_candidate &Engine = Engines[Index];
    const hold_plan Plan = planHold(*Engine.Slots, Wanted, Now);
    const bool NeedsUnload = Plan.Action == hold_action::Unload;
    if ((Plan.Action != hold_action::Load && !NeedsUnload) ||
        !Engine.IsResponsive ||
        !hasPriority(Queue, Wanted.Name, Engine.Id, Now))
      continue;
    const std::tuple<bool, bool, double> Rank{
        NeedsUnload, !Engine.LikelyHasCopy, Plan.VictimUses};
    if (Best.Step != placement_step::Queue && BestRank <= Rank)
      continue;
    Best = {NeedsUnload ? placement_step::Unload : placement_step::Load, Index,
            Plan.Victim};
    BestRank = Rank;
  }
  return Best;
}

placement_decision decidePlacement(std::span<const placement_candidate> Engines,
                                   const versioned_adapter &Wanted,
                                   const slot_queue &Queue, time_point Now) {
  if (const std::optional<placement_decision> Held =
          findHeld(Engines, Wanted, Now))
    return *Held;
  if (std::none_of(Engines.begin(), Engines.end(),
                   [](const placement_candidate &Engine) {
                     return Engine.IsResponsive;
                   }))
    return {placement_step::Unresponsive, 0, std::nullopt};
  if (const std::optional<placement_decision> LoadInProgress =
          findLoadInProgress(Engines, Wanted))
    return *LoadInProgress;
  return choosePlacement(Engines, Wanted, Queue, Now);
}

} // namespace spindle
