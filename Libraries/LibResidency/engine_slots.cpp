#include "LibResidency/engine_slots.h"

#include <algorithm>
#include <cassert>

namespace spindle {

static bool contains(std::span<const adapter_id> Adapters, adapter_id Adapter) {
  return std::ranges::find(Adapters, Adapter) != Adapters.end();
}

static void setPin(engine_slots &Engine, adapter_id Adapter,
                   const pin_holder &Holder, std::uint64_t Sequence) {
  std::vector<held_pin> &Pins = Engine.Pins[Adapter];
  for (held_pin &Pin : Pins) {
    if (Pin.Holder != Holder)
      continue;
    Pin.Sequence = std::max(Pin.Sequence, Sequence);
    return;
  }
  Pins.push_back({Holder, Sequence});
}

template <typename predicate>
static void erasePins(engine_slots &Engine, const predicate &Matches) {
  for (auto Entry = Engine.Pins.begin(); Entry != Engine.Pins.end();) {
    std::erase_if(Entry->second, [&](const held_pin &Pin) {
      return Matches(Entry->first, Pin);
    });
    Entry = Entry->second.empty() ? Engine.Pins.erase(Entry) : std::next(Entry);
  }
}

void takeOver(engine_slots &Engine, std::uint64_t Fence, time_point Now) {
  Engine.Fence = Fence;
  Engine.OwnedSince = Now;
  Engine.HasReport = false;
  Engine.Occupied.clear();
  Engine.PendingOrders.clear();
  for (auto &[Holder, Status] : Engine.Holders)
    Status.Synced = false;
}

/// Returns whether a sync of \p Holder since the takeover is at least as new as
/// \p Sequence.
static bool isOutdated(const engine_slots &Engine, const pin_holder &Holder,
                       std::uint64_t Sequence) {
  const auto Status = Engine.Holders.find(Holder);
  return Status != Engine.Holders.end() && Status->second.Synced &&
         Sequence <= Status->second.Sequence;
}

static bool holdsPin(const engine_slots &Engine, adapter_id Adapter,
                     const pin_holder &Holder) {
  const auto Pins = Engine.Pins.find(Adapter);
  return Pins != Engine.Pins.end() &&
         std::ranges::find(Pins->second, Holder, &held_pin::Holder) !=
             Pins->second.end();
}

pin_outcome pinAdapter(engine_slots &Engine, adapter_id Adapter,
                       const pin_holder &Holder, std::uint64_t Sequence,
                       time_point Now) {
  // A sync also lists the pins that its sender has requested but not yet got.
  if (isOutdated(Engine, Holder, Sequence) &&
      !holdsPin(Engine, Adapter, Holder))
    return pin_outcome::Stale;
  engine_slot *Slot = findSlot(Engine, Adapter);
  if (Slot == nullptr || !isServing(*Slot) || !isFenced(Engine))
    return pin_outcome::NotLoaded;
  Slot->LastUsed = Now;
  Engine.Holders[Holder].LastHeard = Now;
  setPin(Engine, Adapter, Holder, Sequence);
  return pin_outcome::Pinned;
}

/// Releases the pins of former incarnations of a holder's host that have sent
/// nothing for longer than SupersededTimeout.
static void releaseSuperseded(engine_slots &Engine, const pin_holder &Holder,
                              time_point Now) {
  std::vector<pin_holder> Terminated;
  for (const auto &[Candidate, Status] : Engine.Holders)
    if (Candidate.Host == Holder.Host && Candidate != Holder &&
        Now - Status.LastHeard > SupersededTimeout)
      Terminated.push_back(Candidate);
  for (const pin_holder &Former : Terminated) {
    releaseHolderPins(Engine, Former);
    Engine.Holders.erase(Former);
  }
}

std::vector<adapter_id> syncPins(engine_slots &Engine, const pin_holder &Holder,
                                 std::uint64_t Sequence,
                                 std::span<const adapter_id> Pins,
                                 time_point Now) {
  if (isOutdated(Engine, Holder, Sequence))
    return {};
  Engine.Holders[Holder] = {true, Sequence, Now};
  releaseSuperseded(Engine, Holder, Now);
  erasePins(Engine, [&](adapter_id Adapter, const held_pin &Pin) {
    return Pin.Holder == Holder && Pin.Sequence < Sequence &&
           !contains(Pins, Adapter);
  });
  std::vector<adapter_id> Refused;
  for (const adapter_id Adapter : Pins) {
    setPin(Engine, Adapter, Holder, Sequence);
    engine_slot *Slot = findSlot(Engine, Adapter);
    if (Slot == nullptr || !isServing(*Slot))
      Refused.push_back(Adapter);
    else
      Slot->LastUsed = Now;
  }
  return Refused;
}

void releaseHolderPins(engine_slots &Engine, const pin_holder &Terminated) {
  erasePins(Engine, [&Terminated](adapter_id, const held_pin &Pin) {
    return Pin.Holder == Terminated;
  });
}

/// Returns whether an order on the slot has not completed yet.
static bool hasPendingOrder(const engine_slot &Slot) {
  return Slot.State == slot_state::Loading ||
         Slot.State == slot_state::Unloading;
}

/// Returns whether a report made at \p Taken reflects the slot's last change.
static bool reportCovers(const engine_slots &Engine, const engine_slot &Slot,
                         time_point Taken) {
  if (hasPendingOrder(Slot))
    return false;
  return Taken > Engine.LastOrderEnd && Taken > Slot.Since;
}

/// Erases slots whose adapters a report does not list, and adds those it lists.
static void mergeReport(engine_slots &Engine, const slot_report &Report,
                        time_point Now) {
  std::erase_if(Engine.Occupied, [&](const engine_slot &Slot) {
    return reportCovers(Engine, Slot, Report.Taken) &&
           !contains(Report.Loaded, Slot.Adapter) &&
           !contains(Report.Loading, Slot.Adapter);
  });
  if (Report.Taken <= Engine.LastOrderEnd)
    return;
  for (const adapter_id Adapter : Report.Loaded) {
    engine_slot *Slot = findSlot(Engine, Adapter);
    if (Slot == nullptr)
      Engine.Occupied.push_back({Adapter, slot_state::Loaded, Now, Now, false});
    else if (reportCovers(Engine, *Slot, Report.Taken))
      Slot->State = slot_state::Loaded;
  }
  for (const adapter_id Adapter : Report.Loading)
    if (findSlot(Engine, Adapter) == nullptr)
      Engine.Occupied.push_back(
          {Adapter, slot_state::Unknown, Now, Now, false});
}

void applyReport(engine_slots &Engine, const slot_report &Report,
                 time_point Now) {
  if (Report.Taken < Engine.LastReport)
    return;
  Engine.LastReport = Report.Taken;
  const bool Restarted = Report.Incarnation != Engine.Incarnation;
  if (Restarted || !Engine.HasReport)
    std::erase_if(Engine.Occupied, [](const engine_slot &Slot) {
      return !hasPendingOrder(Slot);
    });
  if (Restarted)
    Engine.FenceSeen = 0;
  Engine.Slots = Report.Slots;
  Engine.Incarnation = Report.Incarnation;
  Engine.FenceSeen = std::max(Engine.FenceSeen, Report.Fence);
  // Only reports made under the current ownership are sure to reflect the last
  // orders of the former owner.
  Engine.HasReport = Engine.HasReport || Report.Taken > Engine.OwnedSince;
  mergeReport(Engine, Report, Now);
}

bool isFenced(const engine_slots &Engine) {
  return !Engine.HonoursFencing || Engine.FenceSeen >= Engine.Fence;
}

bool pinsAreComplete(const engine_slots &Engine,
                     std::span<const pin_holder> Peers, milliseconds SettleTime,
                     time_point Now) {
  if (!Engine.HasReport || Now - Engine.OwnedSince < SettleTime)
    return false;
  return std::ranges::all_of(Peers, [&Engine](const pin_holder &Peer) {
    const auto Status = Engine.Holders.find(Peer);
    return Status != Engine.Holders.end() && Status->second.Synced;
  });
}

bool isPinned(const engine_slots &Engine, adapter_id Adapter) {
  return Engine.Pins.contains(Adapter);
}

engine_slot *findSlot(engine_slots &Engine, adapter_id Adapter) {
  const auto Found =
      std::ranges::find(Engine.Occupied, Adapter, &engine_slot::Adapter);
  return Found == Engine.Occupied.end() ? nullptr : &*Found;
}

const engine_slot *findSlot(const engine_slots &Engine, adapter_id Adapter) {
  const auto Found =
      std::ranges::find(Engine.Occupied, Adapter, &engine_slot::Adapter);
  return Found == Engine.Occupied.end() ? nullptr : &*Found;
}

bool isServing(const engine_slot &Slot) {
  return Slot.State == slot_state::Loaded && !Slot.Draining;
}

std::uint32_t freeSlotCount(const engine_slots &Engine) {
  const std::uint32_t Used = static_cast<std::uint32_t>(Engine.Occupied.size());
  return Used >= Engine.Slots ? 0 : Engine.Slots - Used;
}

void beginUnload(engine_slots &Engine, adapter_id Adapter, time_point Now) {
  assert(!isPinned(Engine, Adapter) && "a pinned adapter is never evicted");
  engine_slot *Slot = findSlot(Engine, Adapter);
  assert(Slot != nullptr && "the adapter has a slot");
  Slot->State = slot_state::Unloading;
  Slot->Since = Now;
}

void beginLoad(engine_slots &Engine, adapter_id Adapter, time_point Now) {
  assert(freeSlotCount(Engine) > 0 && "a load needs a free slot");
  Engine.Occupied.push_back({Adapter, slot_state::Loading, Now, Now, false});
}

static void eraseSlot(engine_slots &Engine, adapter_id Adapter) {
  std::erase_if(Engine.Occupied, [Adapter](const engine_slot &Slot) {
    return Slot.Adapter == Adapter;
  });
}

void endLoad(engine_slots &Engine, adapter_id Adapter, order_result Result,
             time_point Now) {
  Engine.LastOrderEnd = Now;
  engine_slot *Slot = findSlot(Engine, Adapter);
  if (Slot == nullptr || Slot->State != slot_state::Loading)
    return;
  if (Result == order_result::Refused)
    return eraseSlot(Engine, Adapter);
  Slot->State =
      Result == order_result::Done ? slot_state::Loaded : slot_state::Unknown;
  Slot->Since = Now;
}

void endUnload(engine_slots &Engine, adapter_id Adapter, order_result Result,
               time_point Now) {
  Engine.LastOrderEnd = Now;
  engine_slot *Slot = findSlot(Engine, Adapter);
  if (Slot == nullptr || Slot->State != slot_state::Unloading)
    return;
  if (Result == order_result::Done)
    return eraseSlot(Engine, Adapter);
  Slot->State = Result == order_result::Refused ? slot_state::Loaded
                                                : slot_state::Unknown;
  Slot->Since = Now;
}

} // namespace spindle
