#include "LibResidency/residency_owner.h"

#include <algorithm>

namespace spindle {

static bool isLoadSuspended(const residency_owner &Owner,
                            const load_failures &Failures, time_point Now) {
  return Failures.Attempts >= Owner.Settings.MaxLoadAttempts &&
         Now < Failures.RetryAt;
}

bool maySendOrders(const residency_owner &Owner, upstream_id Engine,
                   std::uint64_t Fence, time_point Now) {
  const auto Found = Owner.Engines.find(Engine);
  return Now < Owner.ValidUntil && Found != Owner.Engines.end() &&
         Found->second.Fence == Fence;
}

pin_verdict requestPin(residency_owner &Owner, waiting_pin &Request,
                       time_point Now) {
  const auto Engine = Owner.Engines.find(Request.Placement.Engine);
  if (Engine == Owner.Engines.end())
    return pin_verdict::NotOwner;
  noteDemand(Owner.Uses, Request.Placement.Adapter, 1, Now);
  const pin_outcome Outcome =
      pinAdapter(Engine->second, Request.Placement.Adapter, Request.Holder,
                 Request.Sequence, Now);
  if (Outcome == pin_outcome::Pinned)
    return pin_verdict::Pinned;
  if (Outcome == pin_outcome::Stale)
    return pin_verdict::Stale;
  if (Now >= Owner.ValidUntil)
    return pin_verdict::NotOwner;
  load_demand &Demand = Owner.Demands[Request.Placement];
  if (isLoadSuspended(Owner, Demand.Failures, Now))
    return pin_verdict::LoadFailed;
  Request.Ticket = ++Owner.LastTicket;
  Demand.Waiting.push_back(Request);
  return pin_verdict::Waiting;
}

std::optional<std::vector<adapter_id>>
applySync(residency_owner &Owner, const fenced_engine &Engine,
          const pin_holder &Holder, std::uint64_t Sequence,
          std::span<const adapter_id> Pins, time_point Now) {
  const auto Found = Owner.Engines.find(Engine.Engine);
  if (Found == Owner.Engines.end() || Found->second.Fence != Engine.Fence)
    return std::nullopt;
  return syncPins(Found->second, Holder, Sequence, Pins, Now);
}

/// Erases a demand without waiting requests, unless it records failures.
static void eraseIdleDemand(residency_owner &Owner, placement Placement) {
  const auto Found = Owner.Demands.find(Placement);
  if (Found != Owner.Demands.end() && Found->second.Waiting.empty() &&
      Found->second.Failures.Attempts == 0)
    Owner.Demands.erase(Found);
}

void cancelWaitingPin(residency_owner &Owner, const waiting_pin &Request) {
  const auto Found = Owner.Demands.find(Request.Placement);
  if (Found == Owner.Demands.end())
    return;
  std::erase_if(Found->second.Waiting, [&Request](const waiting_pin &Waiting) {
    return Waiting.Ticket == Request.Ticket;
  });
  eraseIdleDemand(Owner, Request.Placement);
}

static std::vector<pin_resolution>
resolveAll(load_demand &Demand, pin_verdict Verdict, std::uint64_t Fence) {
  std::vector<pin_resolution> Resolved;
  for (const waiting_pin &Waiting : Demand.Waiting)
    Resolved.push_back({Waiting.Ticket, Verdict, Fence});
  Demand.Waiting.clear();
  return Resolved;
}

/// Resolves all requests that wait for an adapter that is now loaded.
static std::vector<pin_resolution> pinWaiting(const residency_owner &Owner,
                                              engine_slots &Engine,
                                              load_demand &Demand,
                                              time_point Now) {
  if (Now >= Owner.ValidUntil)
    return resolveAll(Demand, pin_verdict::NotOwner, Engine.Fence);
  std::vector<pin_resolution> Resolved;
  for (const waiting_pin &Waiting : Demand.Waiting) {
    const pin_outcome Outcome =
        pinAdapter(Engine, Waiting.Placement.Adapter, Waiting.Holder,
                   Waiting.Sequence, Now);
    const pin_verdict Verdict = Outcome == pin_outcome::Pinned
                                    ? pin_verdict::Pinned
                                    : pin_verdict::Stale;
    Resolved.push_back({Waiting.Ticket, Verdict, Engine.Fence});
  }
  Demand.Waiting.clear();
  Demand.Failures = {};
  return Resolved;
}

/// Returns the engine of an order, or null if the ownership has changed since
/// the order was planned.
static engine_slots *findOrderedEngine(residency_owner &Owner,
                                       const residency_order &Order) {
  const auto Engine = Owner.Engines.find(Order.Engine);
  if (Engine == Owner.Engines.end() || Engine->second.Fence != Order.Fence)
    return nullptr;
  return &Engine->second;
}

static void noteFenceSeen(engine_slots &Engine, std::uint64_t Fence) {
  Engine.FenceSeen = std::max(Engine.FenceSeen, Fence);
}

void endFenceUpdate(residency_owner &Owner, const residency_order &Order,
                    order_result Result) {
  engine_slots *Engine = findOrderedEngine(Owner, Order);
  if (Engine == nullptr)
    return;
  Engine->PendingOrders.erase(Order.Adapter);
  if (Result == order_result::Done)
    noteFenceSeen(*Engine, Order.Fence);
}

bool endVictimUnload(residency_owner &Owner, const residency_order &Order,
                     order_result Result, time_point Now) {
  engine_slots *Engine = findOrderedEngine(Owner, Order);
  if (Engine == nullptr)
    return false;
  Engine->PendingOrders.erase(Order.Adapter);
  endUnload(*Engine, *Order.Victim, Result, Now);
  if (Result != order_result::Done || Now >= Owner.ValidUntil ||
      freeSlotCount(*Engine) == 0 ||
      findSlot(*Engine, Order.Adapter) != nullptr)
    return false;
  beginLoad(*Engine, Order.Adapter, Now);
  Engine->PendingOrders.insert(Order.Adapter);
  return true;
}

static std::vector<pin_resolution> noteLoadFailure(residency_owner &Owner,
                                                   const residency_order &Order,
                                                   time_point Now) {
  load_demand &Demand = Owner.Demands[{Order.Engine, Order.Adapter}];
  const std::uint32_t Doublings = std::min(Demand.Failures.Attempts, 16U);
  const milliseconds Delay = std::min<milliseconds>(
      Owner.Settings.InitialRetryDelay * (1LL << Doublings),
      Owner.Settings.MaxRetryDelay);
  ++Demand.Failures.Attempts;
  Demand.Failures.RetryAt = Now + Delay;
  if (!isLoadSuspended(Owner, Demand.Failures, Now))
    return {};
  return resolveAll(Demand, pin_verdict::LoadFailed, Order.Fence);
}

std::vector<pin_resolution> endOrder(residency_owner &Owner,
                                     const residency_order &Order,
                                     order_result Result, time_point Now) {
  engine_slots *Engine = findOrderedEngine(Owner, Order);
  if (Engine == nullptr)
    return {};
  Engine->PendingOrders.erase(Order.Adapter);
  endLoad(*Engine, Order.Adapter, Result, Now);
  if (Result != order_result::Done)
    return noteLoadFailure(Owner, Order, Now);
  noteFenceSeen(*Engine, Order.Fence);
  const auto Demand = Owner.Demands.find({Order.Engine, Order.Adapter});
  if (Demand == Owner.Demands.end())
    return {};
  for (const waiting_pin &Waiting : Demand->second.Waiting)
    noteLoadWait(Owner.LoadWait, Now - Waiting.Since, Now);
  std::vector<pin_resolution> Resolved =
      pinWaiting(Owner, *Engine, Demand->second, Now);
  eraseIdleDemand(Owner, Demand->first);
  return Resolved;
}

std::vector<pin_resolution> resolveLoaded(residency_owner &Owner,
                                          upstream_id Engine, time_point Now) {
  std::vector<pin_resolution> Resolved;
  const auto Found = Owner.Engines.find(Engine);
  if (Found == Owner.Engines.end() || !isFenced(Found->second))
    return Resolved;
  auto Demand = Owner.Demands.lower_bound({Engine, adapter_id{}});
  while (Demand != Owner.Demands.end() && Demand->first.Engine == Engine) {
    const placement Placement = Demand->first;
    load_demand &Waiting = Demand->second;
    ++Demand;
    const engine_slot *Slot = findSlot(Found->second, Placement.Adapter);
    if (Slot == nullptr || !isServing(*Slot))
      continue;
    const std::vector<pin_resolution> Pinned =
        pinWaiting(Owner, Found->second, Waiting, Now);
    Resolved.insert(Resolved.end(), Pinned.begin(), Pinned.end());
    eraseIdleDemand(Owner, Placement);
  }
  return Resolved;
}

std::vector<pin_resolution> dropEngine(residency_owner &Owner,
                                       upstream_id Engine) {
  std::vector<pin_resolution> Resolved;
  auto Demand = Owner.Demands.lower_bound({Engine, adapter_id{}});
  while (Demand != Owner.Demands.end() && Demand->first.Engine == Engine) {
    const std::vector<pin_resolution> Ended =
        resolveAll(Demand->second, pin_verdict::NotOwner, 0);
    Resolved.insert(Resolved.end(), Ended.begin(), Ended.end());
    Demand = Owner.Demands.erase(Demand);
  }
  Owner.Engines.erase(Engine);
  return Resolved;
}

} // namespace spindle
