#include "LibGateway/adapter_loads.h"

#include "LibRuntime/fiber_runtime.h"

namespace spindle {

static constexpr milliseconds RefusalBackoff{60};
// An adapter that the engine probably still has in memory is loaded within this
// time.
static constexpr milliseconds CachedLoadDelay{25};

adapter_loads::adapter_loads(const runtime_clock &Clock, fleet_table &Fleet,
                             const adapter_controller_ports &Ports,
                             managed_engines &Engines, engine_orders &Orders)
    : Clock(Clock), Fleet(Fleet), Ports(Ports), Engines(Engines),
      Orders(Orders) {}

void adapter_loads::startLoad(const managed_engine_pointer &Engine,
                              const versioned_adapter &Adapter) {
  noteLoading(Engine->Slots, Adapter, Clock.now());
  Ports.Spawn([this, Engine, Adapter] { runLoad(*Engine, Adapter); });
}

void adapter_loads::startUnload(const managed_engine_pointer &Engine,
                                const versioned_adapter &Victim) {
  noteUnloading(Engine->Slots, Victim.Name);
  Ports.Spawn([this, Engine, Victim] { runUnload(*Engine, Victim); });
}

void adapter_loads::runLoad(managed_engine &Engine,
                            const versioned_adapter &Adapter) {
  finishLoad(Engine, Adapter,
             Orders.send(Engine, order_action::Load, Adapter, false));
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  const adapter_slot *const Slot = findAdapterSlot(Engine.Slots, Adapter.Name);
  if (Slot && Slot->State == adapter_slot_state::Loaded)
    Fleet.noteAdapter(Engine.Entry->Id, Slot->Adapter, true);
}

/// Brings a load to its end after the first order for it had \p Outcome.
void adapter_loads::finishLoad(managed_engine &Engine,
                               const versioned_adapter &Adapter,
                               order_outcome Outcome) {
  switch (Outcome) {
  case order_outcome::Started:
  case order_outcome::Unknown:
    waitUntilLoaded(Engine, Adapter);
    return;
  case order_outcome::Done: {
    const std::lock_guard<std::mutex> Lock(Engines.Mutex);
    noteLoaded(Engine.Slots, Adapter, Clock.now());
    return;
  }
  case order_outcome::OrderCountMismatch:
  case order_outcome::Fenced:
  case order_outcome::WrongUpstream:
  case order_outcome::Refused: {
    // The adapter counts as loading during the back-off, so that it is not
    // ordered again.
    sleepFor(RefusalBackoff);
    const std::lock_guard<std::mutex> Lock(Engines.Mutex);
    noteLoadFailed(Engine.Slots, Adapter.Name);
    return;
  }
  }
}

/// Returns whether the engine has not had the adapter before, and records that
/// it has now.
bool adapter_loads::noteFirstLoad(managed_engine &Engine,
                                  const adapter_name &Name) {
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  return Engine.PreviouslyLoaded.insert(Name).second;
}

/// Waits until the engine confirms that the adapter is loaded, and records the
/// end of the load. The first repeat of the order is sent before the load is
/// expected to end, as otherwise the estimate of the load time could never
/// decrease.
void adapter_loads::waitUntilLoaded(managed_engine &Engine,
                                    const versioned_adapter &Adapter) {
  const time_point Start = Clock.now();
  const bool LikelyCached = !noteFirstLoad(Engine, Adapter.Name);
  sleepFor(LikelyCached ? CachedLoadDelay : LoadTime.average() * 4 / 5);
  const bool IsLoaded = repeatUntilLoaded(Engine, Adapter, Start, LikelyCached);
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  if (IsLoaded) {
    noteLoaded(Engine.Slots, Adapter, Clock.now());
    return;
  }
  Engine.OrderCountKnown = false;
  noteOutcomeUnknown(Engine.Slots, Adapter.Name);
}

/// Repeats the order until the engine confirms that the adapter is loaded;
/// returns whether it did.
bool adapter_loads::repeatUntilLoaded(managed_engine &Engine,
                                      const versioned_adapter &Adapter,
                                      time_point Start, bool LikelyCached) {
  bool IsRepresentative = !LikelyCached;
  while (Clock.now() - Start < OrderCompletionTimeout) {
    const order_outcome Outcome =
        Orders.send(Engine, order_action::Load, Adapter, true);
    if (Outcome == order_outcome::Done) {
      if (IsRepresentative)
        LoadTime.add(Clock.now() - Start);
      return true;
    }
    if (Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::WrongUpstream)
      return false;
    IsRepresentative = IsRepresentative && Outcome == order_outcome::Started;
    sleepFor(OrderPollInterval);
  }
  return false;
}

void adapter_loads::runUnload(managed_engine &Engine,
                              const versioned_adapter &Victim) {
  Fleet.noteAdapter(Engine.Entry->Id, Victim, false);
  const bool IsUnloaded = repeatUntilUnloaded(Engine, Victim);
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  if (IsUnloaded) {
    noteUnloaded(Engine.Slots, Victim.Name);
    return;
  }
  Engine.OrderCountKnown = false;
  Engine.UnloadPending = false;
  noteLoaded(Engine.Slots, Victim, Clock.now());
}

/// Repeats the order until the engine confirms that the adapter is unloaded;
/// returns whether it did.
bool adapter_loads::repeatUntilUnloaded(managed_engine &Engine,
                                        const versioned_adapter &Victim) {
  const time_point Start = Clock.now();
  bool IsRepeat = false;
  while (Clock.now() - Start < OrderCompletionTimeout) {
    const order_outcome Outcome =
        Orders.send(Engine, order_action::Unload, Victim, IsRepeat);
    IsRepeat = IsRepeat || Outcome == order_outcome::Started;
    if (Outcome == order_outcome::Done)
      return true;
    if (Outcome == order_outcome::Fenced ||
        Outcome == order_outcome::WrongUpstream ||
        Outcome == order_outcome::Refused)
      return false;
    sleepFor(OrderPollInterval);
  }
  return false;
}

} // namespace spindle
