#include "LibResidency/residency_owner.h"

#include <algorithm>
#include <set>

namespace spindle {

/// A load that could be ordered. Its priority is the sum of the weights of the
/// requests that wait for it.
struct load_candidate {
  placement Placement;
  double Priority = 0;
};

/// Returns the summed weight of the waiting requests. The weight of a request
/// grows while it waits, so that rarely requested adapters are also loaded
/// within bounded time.
static double loadPriority(const residency_owner &Owner,
                           const load_demand &Demand, time_point Now) {
  double Sum = 0;
  for (const waiting_pin &Waiting : Demand.Waiting) {
    const std::chrono::duration<double> Waited = Now - Waiting.Since;
    const std::chrono::duration<double> Step = Owner.Settings.AgingInterval;
    Sum += Waiting.Weight * (1 + Waited / Step);
  }
  return Sum;
}

static bool mayLoad(const residency_owner &Owner, const placement &Placement,
                    const load_demand &Demand, time_point Now) {
  if (Demand.Waiting.empty() || Now < Demand.Failures.RetryAt)
    return false;
  const auto Engine = Owner.Engines.find(Placement.Engine);
  if (Engine == Owner.Engines.end() || !Engine->second.HasReport)
    return false;
  return findSlot(Engine->second, Placement.Adapter) == nullptr &&
         !Engine->second.PendingOrders.contains(Placement.Adapter);
}

static std::vector<load_candidate> rankLoads(const residency_owner &Owner,
                                             time_point Now) {
  std::vector<load_candidate> Candidates;
  for (const auto &[Placement, Demand] : Owner.Demands)
    if (mayLoad(Owner, Placement, Demand, Now))
      Candidates.push_back({Placement, loadPriority(Owner, Demand, Now)});
  std::ranges::stable_sort(
      Candidates, [](const load_candidate &Left, const load_candidate &Right) {
        return Left.Priority > Right.Priority;
      });
  return Candidates;
}

static bool isEvictable(const residency_owner &Owner,
                        const engine_slots &Engine, const engine_slot &Slot,
                        time_point Now) {
  return Slot.State == slot_state::Loaded &&
         Now - Slot.Since >= Owner.Settings.MinResidencyTime &&
         !isPinned(Engine, Slot.Adapter);
}

/// Returns the cost of evicting the slot's adapter; the adapter with the lowest
/// cost is evicted.
static double evictionCost(const residency_owner &Owner,
                           const engine_slot &Slot, time_point Now) {
  if (Owner.Settings.Victims == victim_policy::Value)
    return demandOf(Owner.Uses, Slot.Adapter, Now);
  return std::chrono::duration<double>(Slot.LastUsed.time_since_epoch())
      .count();
}

static const engine_slot *chooseVictim(const residency_owner &Owner,
                                       const engine_slots &Engine,
                                       time_point Now) {
  const engine_slot *Victim = nullptr;
  double LowestCost = 0;
  for (const engine_slot &Slot : Engine.Occupied) {
    if (!isEvictable(Owner, Engine, Slot, Now))
      continue;
    if (Slot.Draining)
      return &Slot;
    const double Cost = evictionCost(Owner, Slot, Now);
    if (Victim != nullptr && Cost >= LowestCost)
      continue;
    Victim = &Slot;
    LowestCost = Cost;
  }
  return Victim;
}

/// Returns whether a slot of \p Engine is free or can be freed now.
static bool hasAvailableSlot(const residency_owner &Owner,
                             const engine_slots &Engine,
                             std::span<const pin_holder> Peers,
                             time_point Now) {
  if (!Engine.HasReport)
    return false;
  if (freeSlotCount(Engine) > 0)
    return true;
  return pinsAreComplete(Engine, Peers, Owner.Settings.SettleTime, Now) &&
         chooseVictim(Owner, Engine, Now) != nullptr;
}

/// Precondition: hasAvailableSlot().
static residency_order planOrder(residency_owner &Owner, engine_slots &Engine,
                                 adapter_id Adapter, time_point Now) {
  residency_order Order{Engine.Engine, Adapter, std::nullopt, Engine.Fence,
                        false};
  Engine.PendingOrders.insert(Adapter);
  if (freeSlotCount(Engine) > 0) {
    beginLoad(Engine, Adapter, Now);
    return Order;
  }
  Order.Victim = chooseVictim(Owner, Engine, Now)->Adapter;
  beginUnload(Engine, *Order.Victim, Now);
  return Order;
}

/// Starts draining the adapter with the lowest eviction cost, unless a slot of
/// the engine is already draining or not Loaded.
static void drainCheapestAdapter(const residency_owner &Owner,
                                 engine_slots &Engine, time_point Now) {
  engine_slot *Cheapest = nullptr;
  for (engine_slot &Slot : Engine.Occupied) {
    if (Slot.Draining || Slot.State != slot_state::Loaded)
      return;
    if (Cheapest == nullptr ||
        evictionCost(Owner, Slot, Now) < evictionCost(Owner, *Cheapest, Now))
      Cheapest = &Slot;
  }
  if (Cheapest != nullptr)
    Cheapest->Draining = true;
}

static bool hasWaitedLong(const residency_owner &Owner,
                          const load_demand &Demand, time_point Now) {
  return std::ranges::any_of(
      Demand.Waiting, [&Owner, Now](const waiting_pin &Waiting) {
        return Now - Waiting.Since >= Owner.Settings.DrainAfter;
      });
}

/// Stops draining on engines where no request waits for a load any more.
static void stopUnneededDrains(residency_owner &Owner, time_point Now) {
  std::set<upstream_id> Awaited;
  for (const load_candidate &Candidate : rankLoads(Owner, Now))
    Awaited.insert(Candidate.Placement.Engine);
  for (auto &[Id, Engine] : Owner.Engines)
    if (!Awaited.contains(Id))
      for (engine_slot &Slot : Engine.Occupied)
        Slot.Draining = false;
}

/// Erases failures whose next attempt has been due for longer than the maximum
/// retry delay, so that the next failure counts as the first.
static void eraseOldFailures(residency_owner &Owner, time_point Now) {
  std::erase_if(Owner.Demands, [&Owner, Now](const auto &Entry) {
    const load_demand &Demand = Entry.second;
    return Demand.Waiting.empty() &&
           Now > Demand.Failures.RetryAt + Owner.Settings.MaxRetryDelay;
  });
}

std::vector<residency_order> planFenceUpdates(residency_owner &Owner,
                                              time_point Now) {
  std::vector<residency_order> Orders;
  if (Now >= Owner.ValidUntil)
    return Orders;
  for (auto &[Id, Engine] : Owner.Engines) {
    if (!Engine.HasReport || isFenced(Engine))
      continue;
    const auto Loaded = std::ranges::find_if(Engine.Occupied, isServing);
    if (Loaded == Engine.Occupied.end() ||
        !Engine.PendingOrders.insert(Loaded->Adapter).second)
      continue;
    Orders.push_back({Id, Loaded->Adapter, std::nullopt, Engine.Fence, true});
  }
  return Orders;
}

std::vector<residency_order> planOrders(residency_owner &Owner,
                                        std::span<const pin_holder> Peers,
                                        std::size_t Loads, time_point Now) {
  std::vector<residency_order> Orders;
  if (Now >= Owner.ValidUntil)
    return Orders;
  eraseOldFailures(Owner, Now);
  stopUnneededDrains(Owner, Now);
  for (const load_candidate &Candidate : rankLoads(Owner, Now)) {
    const placement &Placement = Candidate.Placement;
    engine_slots &Engine = Owner.Engines.at(Placement.Engine);
    const bool HasSlot = hasAvailableSlot(Owner, Engine, Peers, Now);
    if (HasSlot && Orders.size() < Loads)
      Orders.push_back(planOrder(Owner, Engine, Placement.Adapter, Now));
    if (!HasSlot && hasWaitedLong(Owner, Owner.Demands.at(Placement), Now))
      drainCheapestAdapter(Owner, Engine, Now);
  }
  return Orders;
}

bool isLoadDue(const residency_owner &Owner, std::span<const pin_holder> Peers,
               time_point Now) {
  return Now < Owner.ValidUntil &&
         std::ranges::any_of(
             rankLoads(Owner, Now), [&](const load_candidate &Candidate) {
               return hasAvailableSlot(
                   Owner, Owner.Engines.at(Candidate.Placement.Engine), Peers,
                   Now);
             });
}

slot_availability slotAvailability(const residency_owner &Owner,
                                   const engine_slots &Engine,
                                   std::span<const pin_holder> Peers,
                                   time_point Now) {
  slot_availability Availability;
  Availability.Evictable = freeSlotCount(Engine);
  if (!pinsAreComplete(Engine, Peers, Owner.Settings.SettleTime, Now))
    return Availability;
  if (const engine_slot *Victim = chooseVictim(Owner, Engine, Now);
      Victim != nullptr && Availability.Evictable == 0)
    Availability.VictimUsesPerSecond =
        demandPerSecond(Owner.Uses, Victim->Adapter, Now);
  for (const engine_slot &Slot : Engine.Occupied)
    if (isEvictable(Owner, Engine, Slot, Now))
      ++Availability.Evictable;
  return Availability;
}

} // namespace spindle
