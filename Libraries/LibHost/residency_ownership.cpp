#include "LibHost/residency_agent_state.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

result_code resultOf(pin_verdict Verdict) {
  switch (Verdict) {
  case pin_verdict::LoadFailed:
    return result_code::AdapterLoadFailed;
  case pin_verdict::NotOwner:
    return result_code::NotOwner;
  default:
    return result_code::AdapterNotLoaded;
  }
}

void residency_agent::state::notifyWaiters(
    const std::vector<pin_resolution> &Resolved) {
  std::vector<std::pair<std::function<void(pin_resolution)>, pin_resolution>>
      Calls;
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    for (const pin_resolution &Resolution : Resolved) {
      const auto Waiter = Waiters.find(Resolution.Ticket);
      if (Waiter == Waiters.end())
        continue;
      Calls.emplace_back(std::move(Waiter->second), Resolution);
      Waiters.erase(Waiter);
    }
  }
  for (const auto &[Deliver, Resolution] : Calls)
    Deliver(Resolution);
}

void residency_agent::state::updateOwnedEngines(const host_view &View) {
  std::vector<pin_resolution> Resolved;
  {
    const snapshot_pointer Declared = configuration();
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    Owner.ValidUntil = View.OwnershipValidUntil;
    for (const auto &[Id, Owned] : View.Owners) {
      if (Owned.Host != selfId())
        continue;
      engine_slots &Engine = Owner.Engines[Id];
      Engine.Engine = Id;
      const upstream_declaration *Upstream =
          Declared ? Declared->findUpstream(Id) : nullptr;
      Engine.HonoursFencing = Upstream != nullptr && Upstream->HonoursFencing;
      if (Engine.Fence >= Owned.Fence)
        continue;
      takeOver(Engine, Owned.Fence, Clock.now());
      logEvent(log_event::EngineTakenOver,
               {{"engine", std::to_string(Id.Value)},
                {"fence", std::to_string(Owned.Fence)}});
    }
    std::vector<upstream_id> Lost;
    for (const auto &[Id, Engine] : Owner.Engines) {
      const auto Owned = View.Owners.find(Id);
      if (Owned == View.Owners.end() || Owned->second.Host != selfId())
        Lost.push_back(Id);
    }
    for (const upstream_id Id : Lost) {
      const std::vector<pin_resolution> Ended = dropEngine(Owner, Id);
      Resolved.insert(Resolved.end(), Ended.begin(), Ended.end());
      logEvent(log_event::EngineGivenUp,
               {{"engine", std::to_string(Id.Value)}});
    }
    for (auto &[Id, Engine] : Owner.Engines)
      for (const auto &[Host, LastGone] : View.GoneIncarnations)
        releaseHolderPins(Engine, {Host, LastGone});
  }
  notifyWaiters(Resolved);
}

host_link::PinReply
residency_agent::state::handlePin(const host_link::PinRequest &Request) {
  host_link::PinReply Reply;
  Reply.set_result_code(static_cast<int>(result_code::NotOwner));
  waiting_pin Waiting;
  Waiting.Placement = {{Request.engine()}, {Request.adapter()}};
  Waiting.Holder = {{Request.sender().host()}, Request.sender().incarnation()};
  Waiting.Sequence = Request.nonce();
  Waiting.Weight = Request.waiting_weight();
  Waiting.Since = Clock.now();
  Waiting.Deadline = Waiting.Since + milliseconds(Request.wait_ms());
  completion<pin_resolution> Completion;
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    Names[Waiting.Placement.Adapter] = Request.adapter_name();
    const pin_verdict Verdict = requestPin(Owner, Waiting, Waiting.Since);
    if (Verdict != pin_verdict::Waiting) {
      Reply.set_pinned(Verdict == pin_verdict::Pinned);
      Reply.set_result_code(static_cast<int>(resultOf(Verdict)));
      const auto Engine = Owner.Engines.find(Waiting.Placement.Engine);
      Reply.set_fence(Engine == Owner.Engines.end() ? 0 : Engine->second.Fence);
      return Reply;
    }
    Waiters[Waiting.Ticket] = Completion.deliverer();
  }
  runLoads();
  return waitForPin(Waiting, Completion, milliseconds(Request.wait_ms()));
}

host_link::PinReply
residency_agent::state::waitForPin(const waiting_pin &Waiting,
                                   completion<pin_resolution> &Completion,
                                   milliseconds Limit) {
  host_link::PinReply Reply;
  Reply.set_result_code(static_cast<int>(result_code::AdapterNotLoaded));
  if (!Completion.waitFor(Limit)) {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    if (Waiters.erase(Waiting.Ticket) != 0) {
      cancelWaitingPin(Owner, Waiting);
      Reply.set_expected_wait_ms(static_cast<std::int64_t>(
          expectedLoadWait(Owner.LoadWait, Clock.now())));
      return Reply;
    }
  }
  const pin_resolution Resolution = Completion.wait();
  Reply.set_pinned(Resolution.Verdict == pin_verdict::Pinned);
  Reply.set_fence(Resolution.Fence);
  Reply.set_result_code(static_cast<int>(resultOf(Resolution.Verdict)));
  return Reply;
}

host_link::SyncPinsReply residency_agent::state::handleSyncPins(
    const host_link::SyncPinsRequest &Request) {
  host_link::SyncPinsReply Reply;
  const pin_holder Holder{{Request.sender().host()},
                          Request.sender().incarnation()};
  std::map<upstream_id, std::vector<adapter_id>> Pinned;
  for (const host_link::PinnedAdapter &Pin : Request.pins())
    Pinned[{Pin.engine()}].push_back({Pin.adapter()});
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(OwnerMutex);
  for (const host_link::SyncedEngine &Synced : Request.engines()) {
    const fenced_engine Engine{{Synced.engine()}, Synced.fence()};
    const std::optional<std::vector<adapter_id>> RefusedPins = applySync(
        Owner, Engine, Holder, Request.sequence(), Pinned[Engine.Engine], Now);
    if (!RefusedPins) {
      Reply.add_not_owned(Synced.engine());
      continue;
    }
    for (const adapter_id Adapter : *RefusedPins) {
      host_link::PinnedAdapter *Refused = Reply.add_refused();
      Refused->set_engine(Synced.engine());
      Refused->set_adapter(Adapter.Value);
    }
  }
  for (const host_link::PinnedAdapter &Pin : Request.pins())
    if (Pin.count() > 0)
      noteDemand(Owner.Uses, {Pin.adapter()}, Pin.count(), Now);
  return Reply;
}

host_link::ResidencyReply residency_agent::state::handleResidency(
    const host_link::ResidencyRequest &Request) {
  host_link::ResidencyReply Reply;
  const std::shared_ptr<const host_view> Current = view();
  const std::vector<pin_holder> Holders = holders(*Current);
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(OwnerMutex);
  for (const auto &[Id, Engine] : Owner.Engines) {
    const bool Wanted = Request.engines().empty() ||
                        std::ranges::find(Request.engines(), Id.Value) !=
                            Request.engines().end();
    if (!Wanted || !Engine.HasReport)
      continue;
    host_link::EngineResidency *Entry = Reply.add_engines();
    Entry->set_engine(Id.Value);
    Entry->set_fence(Engine.Fence);
    Entry->set_slots(Engine.Slots);
    for (const engine_slot &Slot : Engine.Occupied) {
      if (isServing(Slot))
        Entry->add_loaded(Slot.Adapter.Value);
      if (Slot.State == slot_state::Loading)
        Entry->add_loading(Slot.Adapter.Value);
    }
    const reported_load &Load = Loads[Id];
    Entry->set_running(Load.Running);
    Entry->set_waiting(Load.Waiting);
    Entry->set_report_age_ms(
        std::chrono::duration_cast<milliseconds>(Now - Load.ReportedAt)
            .count());
    const slot_availability Room =
        slotAvailability(Owner, Engine, Holders, Now);
    Entry->set_evictable(Room.Evictable);
    Entry->set_victim_uses_per_second(Room.VictimUsesPerSecond);
    Entry->set_load_wait_ms(
        static_cast<std::int64_t>(expectedLoadWait(Owner.LoadWait, Now)));
  }
  return Reply;
}

} // namespace spindle
