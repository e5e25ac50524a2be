#include "LibGateway/adapter_controller.h"

#include <map>
#include <set>

namespace spindle {

adapter_controller::adapter_controller(const runtime_clock &Clock,
                                       fleet_table &Fleet,
                                       adapter_controller_ports Ports)
    : Clock(Clock), Fleet(Fleet), Ports(std::move(Ports)),
      Orders(Clock, Fleet, this->Ports, Engines),
      Loads(Clock, Fleet, this->Ports, Engines, Orders),
      ModelLoads(Clock, Fleet, this->Ports, Engines, Orders),
      Waits(Clock, Fleet, this->Ports, Engines, Orders, Loads) {
  Engines.Capacity = this->Ports.Capacity;
}

std::optional<adapter_location>
adapter_controller::hold(const versioned_adapter &Wanted,
                         const slot_request &SlotRequest, time_point Until) {
  return Waits.hold(Wanted, SlotRequest, Until);
}

bool adapter_controller::othersWaitForSlots(const std::string &Service,
                                            const adapter_name &Adapter) const {
  return Waits.othersWait(Service, Adapter);
}

std::vector<adapter_outlook>
adapter_controller::outlooks(std::span<const upstream_pointer> Entries,
                             const versioned_adapter &Wanted) {
  std::vector<managed_engine_pointer> Managed;
  for (const upstream_pointer &Entry : Entries) {
    const managed_engine_pointer Engine =
        Managed.emplace_back(engineFor(Engines, Entry, Clock.now()));
    if (!Engine->OrderCountKnown && !isUnresponsive(*Engine, Clock.now()))
      Orders.startResync(Engine);
  }
  std::vector<adapter_outlook> Outlooks;
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  for (const managed_engine_pointer &Engine : Managed) {
    adapter_outlook &Outlook = Outlooks.emplace_back();
    Outlook.Slots = outlookFor(Engine->Slots, Wanted, Clock.now());
    Outlook.LikelyHasCopy = Engine->PreviouslyLoaded.contains(Wanted.Name);
    const bool TakesOrders =
        Engine->OrderCountKnown && !isUnresponsive(*Engine, Clock.now());
    if (!TakesOrders && Outlook.Slots.Readiness != adapter_readiness::Ready)
      Outlook.Slots.Readiness = adapter_readiness::Unavailable;
  }
  return Outlooks;
}

std::optional<std::uint64_t>
adapter_controller::holdLoaded(upstream_id Engine,
                               const versioned_adapter &Wanted) {
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  const managed_engine_pointer Found = findEngine(Engines, Engine);
  if (!Found)
    return std::nullopt;
  adapter_slots &Slots = Found->Slots;
  const slot_outlook Outlook = outlookFor(Slots, Wanted, Clock.now());
  if (Outlook.Readiness != adapter_readiness::Ready)
    return std::nullopt;
  planHold(Slots, Wanted, Clock.now());
  return findAdapterSlot(Slots, Wanted.Name)->Adapter.Version;
}

std::vector<available_slots> adapter_controller::listAvailableSlots() const {
  std::vector<available_slots> AvailableSlots;
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  for (const auto &[Id, Engine] : Engines.ById)
    if (Ports.FencingToken(Engine->Entry->Zone))
      AvailableSlots.push_back(
          {Id, availableSlots(Engine->Slots, Clock.now())});
  return AvailableSlots;
}

void adapter_controller::noteMissing(upstream_id Id, const adapter_name &Name) {
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  const managed_engine_pointer Engine = findEngine(Engines, Id);
  if (!Engine)
    return;
  // If the engine does have the adapter, it answers this load order
  // immediately.
  const adapter_slot *const Slot = findAdapterSlot(Engine->Slots, Name);
  if (Slot && Slot->State == adapter_slot_state::Loaded && !Slot->OrderPending)
    Loads.startLoad(Engine, Slot->Adapter);
}

void adapter_controller::setInUse(std::span<const adapter_use> Uses) {
  std::map<upstream_id, std::set<adapter_name>> ByEngine;
  for (const adapter_use &Use : Uses)
    ByEngine[Use.Engine].insert(Use.Adapter);
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  for (const auto &[Id, Engine] : Engines.ById)
    spindle::setInUse(Engine->Slots, ByEngine[Id]);
}

void adapter_controller::loadModels() { ModelLoads.startAll(); }

void adapter_controller::upgradeAdapters() {
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  for (const auto &[Id, Engine] : Engines.ById) {
    const upstream_pointer Entry = Fleet.find(Id);
    if (!Entry || Entry->Draining || !Ports.FencingToken(Entry->Zone) ||
        Entry->StartedAt != Engine->Entry->StartedAt)
      continue;
    const std::vector<adapter_slot> Slots = Engine->Slots.Slots;
    for (const adapter_slot &Slot : Slots) {
      const std::uint64_t Newest = Ports.NewestVersion(Slot.Adapter.Name);
      if (Slot.State == adapter_slot_state::Loaded &&
          Slot.Adapter.Version < Newest)
        Loads.startLoad(Engine, {Slot.Adapter.Name, Newest});
    }
  }
}

} // namespace spindle
