#include "LibGateway/adapter_slots.h"

#include <algorithm>
#include <cmath>

namespace spindle {

static constexpr std::chrono::duration<double> UseHalfLife{6.0};
// Requests that wait for a load poll again within this time.
static constexpr milliseconds HoldAfterLoad{300};

static double usesNow(const adapter_slot &Slot, time_point Now) {
  const std::chrono::duration<double> Elapsed = Now - Slot.LastUsed;
  return Slot.Uses * std::exp2(-Elapsed / UseHalfLife);
}

static void noteUse(adapter_slot &Slot, time_point Now) {
  Slot.Uses = usesNow(Slot, Now) + 1;
  Slot.LastUsed = Now;
}

static adapter_slot *find(adapter_slots &Engine, const adapter_name &Name) {
  for (adapter_slot &Slot : Engine.Slots)
    if (Slot.Adapter.Name == Name)
      return &Slot;
  return nullptr;
}

const adapter_slot *findAdapterSlot(const adapter_slots &Engine,
                                    const adapter_name &Name) {
  return find(const_cast<adapter_slots &>(Engine), Name);
}

static bool isBusy(const adapter_slot &Slot, time_point Now) {
  return Slot.State != adapter_slot_state::Loaded || Slot.HeldUntil > Now ||
         Slot.InUse;
}

/// Returns the least used adapter that is neither held nor in use.
static const adapter_slot *chooseVictim(const adapter_slots &Engine,
                                        time_point Now) {
  const adapter_slot *Victim = nullptr;
  for (const adapter_slot &Slot : Engine.Slots) {
    if (isBusy(Slot, Now))
      continue;
    if (!Victim || usesNow(Slot, Now) < usesNow(*Victim, Now))
      Victim = &Slot;
  }
  return Victim;
}

static hold_plan planPresent(adapter_slot &Slot,
                             const versioned_adapter &Wanted, time_point Now) {
  if (Slot.State != adapter_slot_state::Loaded)
    return {hold_action::Wait, std::nullopt};
  if (Slot.Adapter.Version < Wanted.Version)
    return {hold_action::Load, std::nullopt};
  noteUse(Slot, Now);
  Slot.HeldUntil = std::max(Slot.HeldUntil, Now + HoldTerm);
  return {hold_action::Held, std::nullopt};
}

static std::size_t countInState(const adapter_slots &Engine,
                                adapter_slot_state State) {
  return static_cast<std::size_t>(std::count_if(
      Engine.Slots.begin(), Engine.Slots.end(),
      [State](const adapter_slot &Slot) { return Slot.State == State; }));
}

hold_plan planHold(adapter_slots &Engine, const versioned_adapter &Wanted,
                   time_point Now) {
  if (adapter_slot *const Slot = find(Engine, Wanted.Name))
    return planPresent(*Slot, Wanted, Now);
  if (countInState(Engine, adapter_slot_state::Loading) >= MaxConcurrentLoads)
    return {};
  if (Engine.Slots.size() < Engine.Capacity)
    return {hold_action::Load, std::nullopt};
  // The slot that is being freed suffices for the adapter with priority.
  if (countInState(Engine, adapter_slot_state::Unloading) > 0)
    return {};
  if (const adapter_slot *const Victim = chooseVictim(Engine, Now))
    return {hold_action::Unload, Victim->Adapter, usesNow(*Victim, Now)};
  return {};
}

static slot_outlook outlookOfPresent(const adapter_slot &Slot,
                                     const versioned_adapter &Wanted,
                                     time_point Now) {
  slot_outlook Outlook;
  Outlook.Uses = usesNow(Slot, Now);
  if (Slot.State == adapter_slot_state::Unloading)
    return Outlook;
  const bool IsReady = Slot.State == adapter_slot_state::Loaded &&
                       Slot.Adapter.Version >= Wanted.Version;
  Outlook.Readiness =
      IsReady ? adapter_readiness::Ready : adapter_readiness::Loading;
  return Outlook;
}

slot_outlook outlookFor(const adapter_slots &Engine,
                        const versioned_adapter &Wanted, time_point Now) {
  if (const adapter_slot *const Slot = findAdapterSlot(Engine, Wanted.Name))
    return outlookOfPresent(*Slot, Wanted, Now);
  slot_outlook Outlook;
  if (countInState(Engine, adapter_slot_state::Loading) >= MaxConcurrentLoads)
    return Outlook;
  if (Engine.Slots.size() < Engine.Capacity) {
    Outlook.Readiness = adapter_readiness::Loadable;
    return Outlook;
  }
  const adapter_slot *const Victim = chooseVictim(Engine, Now);
  if (!Victim || countInState(Engine, adapter_slot_state::Unloading) > 0)
    return Outlook;
  Outlook.Readiness = adapter_readiness::NeedsEviction;
  Outlook.VictimUses = usesNow(*Victim, Now);
  return Outlook;
}

void noteLoading(adapter_slots &Engine, const versioned_adapter &Adapter,
                 time_point Now) {
  adapter_slot *Slot = find(Engine, Adapter.Name);
  if (!Slot) {
    Engine.Slots.push_back({});
    Slot = &Engine.Slots.back();
    Slot->LastUsed = Now;
    Slot->Uses = 1;
  }
  if (Slot->State == adapter_slot_state::Loaded)
    Slot->PreviousVersion = Slot->Adapter.Version;
  Slot->Adapter = Adapter;
  Slot->State = adapter_slot_state::Loading;
  Slot->OrderPending = true;
}

void noteLoaded(adapter_slots &Engine, const versioned_adapter &Adapter,
                time_point Now) {
  adapter_slot *const Slot = find(Engine, Adapter.Name);
  if (!Slot)
    return;
  Slot->Adapter = Adapter;
  Slot->State = adapter_slot_state::Loaded;
  Slot->OrderPending = false;
  Slot->PreviousVersion.reset();
  Slot->HeldUntil = std::max(Slot->HeldUntil, Now + HoldAfterLoad);
}

void noteUnloading(adapter_slots &Engine, const adapter_name &Name) {
  adapter_slot *const Slot = find(Engine, Name);
  if (!Slot)
    return;
  Slot->State = adapter_slot_state::Unloading;
  Slot->OrderPending = true;
}

void setInUse(adapter_slots &Engine, const std::set<adapter_name> &Names) {
  for (adapter_slot &Slot : Engine.Slots)
    Slot.InUse = Names.contains(Slot.Adapter.Name);
}

void noteUnloaded(adapter_slots &Engine, const adapter_name &Name) {
  std::erase_if(Engine.Slots, [&Name](const adapter_slot &Slot) {
    return Slot.Adapter.Name == Name;
  });
}

void noteLoadFailed(adapter_slots &Engine, const adapter_name &Name) {
  adapter_slot *const Slot = find(Engine, Name);
  if (!Slot)
    return;
  if (!Slot->PreviousVersion) {
    noteUnloaded(Engine, Name);
    return;
  }
  Slot->Adapter.Version = *Slot->PreviousVersion;
  Slot->PreviousVersion.reset();
  Slot->State = adapter_slot_state::Loaded;
  Slot->OrderPending = false;
}

void noteOutcomeUnknown(adapter_slots &Engine, const adapter_name &Name) {
  if (adapter_slot *const Slot = find(Engine, Name))
    Slot->OrderPending = false;
}

std::size_t availableSlots(const adapter_slots &Engine, time_point Now) {
  const std::size_t Busy = static_cast<std::size_t>(std::count_if(
      Engine.Slots.begin(), Engine.Slots.end(),
      [Now](const adapter_slot &Slot) { return isBusy(Slot, Now); }));
  return Engine.Capacity > Busy ? Engine.Capacity - Busy : 0;
}

static bool contains(const std::vector<versioned_adapter> &Adapters,
                     const adapter_name &Name) {
  return std::any_of(Adapters.begin(), Adapters.end(),
                     [&Name](const versioned_adapter &Adapter) {
                       return Adapter.Name == Name;
                     });
}

static void applyReported(adapter_slots &Engine,
                          const versioned_adapter &Adapter,
                          adapter_slot_state State, time_point Now) {
  adapter_slot *Slot = find(Engine, Adapter.Name);
  if (Slot && Slot->OrderPending)
    return;
  if (!Slot) {
    Engine.Slots.push_back({});
    Slot = &Engine.Slots.back();
    Slot->LastUsed = Now;
  }
  Slot->Adapter = Adapter;
  Slot->State = State;
}

void reconcile(adapter_slots &Engine,
               const std::vector<versioned_adapter> &Loaded,
               const std::vector<versioned_adapter> &Loading, time_point Now) {
  std::erase_if(Engine.Slots, [&](const adapter_slot &Slot) {
    return !Slot.OrderPending && !contains(Loaded, Slot.Adapter.Name) &&
           !contains(Loading, Slot.Adapter.Name);
  });
  for (const versioned_adapter &Adapter : Loading)
    applyReported(Engine, Adapter, adapter_slot_state::Loading, Now);
  for (const versioned_adapter &Adapter : Loaded)
    if (!contains(Loading, Adapter.Name))
      applyReported(Engine, Adapter, adapter_slot_state::Loaded, Now);
}

} // namespace spindle
