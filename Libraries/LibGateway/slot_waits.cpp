#include "LibGateway/slot_waits.h"

#include "LibCore/result_code.h"
#include "LibRuntime/fiber_runtime.h"

namespace spindle {

static constexpr milliseconds HoldPollInterval{10};

slot_waits::slot_waits(const runtime_clock &Clock, fleet_table &Fleet,
                       const adapter_controller_ports &Ports,
                       managed_engines &Engines, engine_orders &Orders,
                       adapter_loads &Loads)
    : Clock(Clock), Fleet(Fleet), Ports(Ports), Engines(Engines),
      Orders(Orders), Loads(Loads) {}

/// Finds the engines that the request names. Requests the state of those for
/// which it is not current, and excludes them until they answer.
slot_waits::named_engines
slot_waits::findEngines(const slot_request &SlotRequest) {
  named_engines Found;
  for (const upstream_id Id : SlotRequest.Engines) {
    const upstream_pointer Entry = Fleet.find(Id);
    if (!Entry || Entry->Draining)
      continue;
    Found.AnyRegistered = true;
    if (!Ports.FencingToken(Entry->Zone))
      continue;
    Found.AnyControlled = true;
    const managed_engine_pointer Engine =
        engineFor(Engines, Entry, Clock.now());
    if (Engine->OrderCountKnown) {
      Found.Usable.push_back(Engine);
      continue;
    }
    if (isUnresponsive(*Engine, Clock.now()))
      continue;
    Orders.startResync(Engine);
    Found.AnyResyncing = true;
  }
  return Found;
}

/// Returns the engines that may be used now; none while their state is read.
std::vector<managed_engine_pointer>
slot_waits::usableEngines(const slot_request &SlotRequest) {
  named_engines Found = findEngines(SlotRequest);
  if (!Found.AnyRegistered)
    throw spindle_error(result_code::NoUpstream,
                        "every engine has left or is leaving");
  if (!Found.AnyControlled)
    throw spindle_error(result_code::NotOwner,
                        "this host is not the leader of the engine's zone");
  if (Found.Usable.empty() && !Found.AnyResyncing)
    throw spindle_error(result_code::AdapterNotLoaded,
                        "none of the engines reports its state");
  return std::move(Found.Usable);
}

/// Precondition: the engines' Mutex is held.
placement_decision
slot_waits::decide(std::span<const managed_engine_pointer> Usable,
                   const versioned_adapter &Wanted,
                   const slot_queue &Queue) const {
  std::vector<placement_candidate> Candidates;
  Candidates.reserve(Usable.size());
  for (const managed_engine_pointer &Engine : Usable)
    Candidates.push_back({Engine->Entry->Id, &Engine->Slots,
                          !isUnresponsive(*Engine, Clock.now()),
                          Engine->PreviouslyLoaded.contains(Wanted.Name)});
  return decidePlacement(Candidates, Wanted, Queue, Clock.now());
}

/// Takes the next step towards holding the adapter; see decidePlacement().
/// Returns its location if it is held. Precondition: the engines' Mutex is
/// held.
std::optional<adapter_location>
slot_waits::takeStep(std::span<const managed_engine_pointer> Usable,
                     const versioned_adapter &Wanted,
                     slot_queue_position &Position) {
  const placement_decision Decision = decide(Usable, Wanted, Position.queue());
  switch (Decision.Step) {
  case placement_step::Held: {
    const managed_engine &Engine = *Usable[Decision.Engine];
    return adapter_location{
        Engine.Entry->Id, findAdapterSlot(Engine.Slots, Wanted.Name)->Adapter};
  }
  case placement_step::LoadInProgress:
    Position.leave();
    break;
  case placement_step::Load:
    Position.noteGranted(Usable[Decision.Engine]->Entry->Id);
    Position.leave();
    Loads.startLoad(Usable[Decision.Engine], Wanted);
    break;
  case placement_step::Unload:
    Position.enter();
    Loads.startUnload(Usable[Decision.Engine], *Decision.Victim);
    break;
  case placement_step::Queue:
    Position.enter();
    break;
  case placement_step::Unresponsive:
    throw spindle_error(result_code::AdapterNotLoaded,
                        "none of the engines answers orders");
  }
  return std::nullopt;
}

/// Returns the queue of the service of the request's engines.
slot_queue &slot_waits::queueFor(const slot_request &SlotRequest) {
  const upstream_pointer First = Fleet.find(SlotRequest.Engines.front());
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  slot_queue &Queue = Queues[First ? First->Service : std::string()];
  Queue.SharesGrants = Queue.SharesGrants || SlotRequest.SharesGrants;
  return Queue;
}

std::optional<adapter_location>
slot_waits::hold(const versioned_adapter &Wanted,
                 const slot_request &SlotRequest, time_point Until) {
  if (SlotRequest.Engines.empty())
    throw spindle_error(result_code::NoUpstream, "the request names no engine");
  slot_queue_position Position(Clock, Engines.Mutex, queueFor(SlotRequest),
                               Wanted.Name, SlotRequest);
  while (true) {
    const std::vector<managed_engine_pointer> Usable =
        usableEngines(SlotRequest);
    if (!Usable.empty()) {
      const std::lock_guard<std::mutex> Lock(Engines.Mutex);
      if (std::optional<adapter_location> Held =
              takeStep(Usable, Wanted, Position))
        return Held;
    }
    if (Clock.now() >= Until)
      return std::nullopt;
    sleepFor(HoldPollInterval);
  }
}

bool slot_waits::othersWait(const std::string &Service,
                            const adapter_name &Adapter) const {
  const std::lock_guard<std::mutex> Lock(Engines.Mutex);
  const auto Found = Queues.find(Service);
  if (Found == Queues.end())
    return false;
  return Found->second.Waiting.size() >
         (Found->second.Waiting.contains(Adapter) ? 1U : 0U);
}

} // namespace spindle
