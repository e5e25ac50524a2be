#include "LibHost/residency_agent_state.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

void residency_agent::pollReports() {
  const std::shared_ptr<const host_view> View = State->view();
  const snapshot_pointer Configuration = State->configuration();
  if (!Configuration)
    return;
  std::map<host_id, std::vector<upstream_id>> Owned;
  for (const upstream_declaration &Upstream : Configuration->upstreams()) {
    if (Upstream.Kind != upstream_kind::Engine)
      continue;
    const upstream_id Engine = upstream_id::ofName(Upstream.Name);
    const auto Owner = View->Owners.find(Engine);
    if (Owner != View->Owners.end() && Owner->second.Host != State->selfId()) {
      Owned[Owner->second.Host].push_back(Engine);
      continue;
    }
    if (State->beginPolling(Engine.Value))
      State->Ports.Spawn([State = State, Engine] {
        State->pollEngine(Engine);
        State->endPolling(Engine.Value);
      });
  }
  State->pollOwners(*View, Owned);
}

void residency_agent::state::pollOwners(
    const host_view &View,
    const std::map<host_id, std::vector<upstream_id>> &Owned) {
  std::vector<poll_candidate> Candidates;
  std::map<host_id, const peer_host *> Peers;
  for (const peer_host &Peer : View.Peers) {
    if (Owned.count(Peer.Id) == 0)
      continue;
    Candidates.push_back({Peer.Id, Peer.Zone.Value == Self.zone()});
    Peers[Peer.Id] = &Peer;
  }
  std::vector<host_id> Chosen;
  {
    const std::lock_guard<std::mutex> Lock(ViewMutex);
    Chosen = choosePolls(Polls, Candidates, Clock.now());
  }
  for (const host_id Owner : Chosen) {
    if (!beginPolling(Owner.Value))
      continue;
    Ports.Spawn([State = shared_from_this(), Peer = *Peers.at(Owner),
                 Engines = Owned.at(Owner)] {
      State->pollOwner(Peer, Engines);
      State->endPolling(Peer.Id.Value);
    });
  }
}

void residency_agent::state::pollEngine(upstream_id Engine) {
  try {
    const endpoint Address = addressOf(Engine);
    applyEngineReport(Engine,
                      Ports.Engines.Report(Address, Settings.ReportTimeout));
    fetchCacheEvents(Engine, Address);
  } catch (const spindle_error &Error) {
    logEvent(log_event::EngineReportMissing, {{"reason", Error.what()}});
  }
}

void residency_agent::state::fetchCacheEvents(upstream_id Engine,
                                              const endpoint &Address) {
  std::uint64_t Last = 0;
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    Last = CacheSequences[Engine];
  }
  const std::vector<engine_cache_event> Events =
      Ports.Engines.CacheEvents(Address, Last, Settings.ReportTimeout);
  for (const engine_cache_event &Event : Events) {
    // Events that are missed leave wrong entries only until those expire.
    Engines.notePrefix(Engine, Event.PrefixHash, Event.Stored);
    Last = std::max(Last, Event.Sequence);
  }
  const std::lock_guard<std::mutex> Lock(OwnerMutex);
  CacheSequences[Engine] = Last;
}

static std::vector<adapter_id> idsOf(const std::vector<std::string> &Names) {
  std::vector<adapter_id> Ids;
  Ids.reserve(Names.size());
  for (const std::string &Name : Names)
    Ids.push_back(adapter_id::ofName(Name));
  return Ids;
}

void residency_agent::state::applyEngineReport(upstream_id Engine,
                                               const engine_report &Report) {
  if (Ports.OnReport)
    Ports.OnReport(Engine, Report.Incarnation);
  const time_point Now = Clock.now();
  engine_status Status;
  Status.Engine = Engine;
  Status.Loaded = idsOf(Report.Loaded);
  Status.Loading = idsOf(Report.Loading);
  Status.Running = Report.Running;
  Status.Waiting = Report.Waiting;
  Status.ReportedAt = Now - Report.Age;
  Status.EvictableSlots = 1;
  const std::vector<pin_holder> Holders = holders(*view());
  {
    const std::lock_guard<std::mutex> Lock(OwnerMutex);
    Status.LoadWaitMilliseconds = expectedLoadWait(Owner.LoadWait, Now);
    const auto Owned = Owner.Engines.find(Engine);
    if (Owned != Owner.Engines.end()) {
      engine_slots &Slots = Owned->second;
      if (Slots.Incarnation != Report.Incarnation)
        CacheSequences[Engine] = 0;
      if (Slots.HasReport && Slots.Incarnation != Report.Incarnation)
        logEvent(log_event::EngineRestarted,
                 {{"engine", std::to_string(Engine.Value)}});
      for (const std::string &Name : Report.Loaded)
        Names[adapter_id::ofName(Name)] = Name;
      applyReport(Slots,
                  {Report.Incarnation, Report.Slots, Report.Fence,
                   Status.Loaded, Status.Loading, Status.ReportedAt},
                  Now);
      Loads[Engine] = {Report.Running, Report.Waiting, Status.ReportedAt};
      const slot_availability Room =
          slotAvailability(Owner, Slots, Holders, Now);
      Status.EvictableSlots = Room.Evictable;
      Status.VictimUsesPerSecond = Room.VictimUsesPerSecond;
      // The owner knows of orders that the delayed report doesn't reflect yet.
      Status.Loaded.clear();
      Status.Loading.clear();
      for (const engine_slot &Slot : Slots.Occupied) {
        if (isServing(Slot))
          Status.Loaded.push_back(Slot.Adapter);
        if (Slot.State == slot_state::Loading)
          Status.Loading.push_back(Slot.Adapter);
      }
    }
  }
  Engines.noteEngineStatus(Status);
  resolveWaiting();
}

/// How long to wait for an owner's reply to a residency request.
static constexpr milliseconds ResidencyTimeout{1'000};

void residency_agent::state::pollOwner(const peer_host &Peer,
                                       const std::vector<upstream_id> &Owned) {
  host_link::ResidencyRequest Request;
  *Request.mutable_sender() = Self;
  for (const upstream_id Engine : Owned)
    Request.add_engines(Engine.Value);
  host_link::ResidencyReply Reply;
  try {
    Reply = Ports.Hosts.Residency(Peer.Link, Request, ResidencyTimeout);
  } catch (const spindle_error &) {
    // The last known status stays in use, corrected by this host's own requests
    // in flight.
    return;
  }
  const time_point Now = Clock.now();
  for (const host_link::EngineResidency &Entry : Reply.engines()) {
    engine_status Status;
    Status.Engine = {Entry.engine()};
    for (const std::uint64_t Adapter : Entry.loaded())
      Status.Loaded.push_back({Adapter});
    for (const std::uint64_t Adapter : Entry.loading())
      Status.Loading.push_back({Adapter});
    Status.Running = Entry.running();
    Status.Waiting = Entry.waiting();
    Status.ReportedAt = Now - milliseconds(Entry.report_age_ms());
    Status.EvictableSlots = Entry.evictable();
    Status.LoadWaitMilliseconds = static_cast<double>(Entry.load_wait_ms());
    Status.VictimUsesPerSecond = Entry.victim_uses_per_second();
    Engines.noteEngineStatus(Status);
  }
}

} // namespace spindle
