#include "LibHost/residency_agent.h"

#include "LibHost/residency_agent_state.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

residency_agent::residency_agent(const runtime_clock &Clock,
                                 residency_ports Ports,
                                 const host_link::Sender &Self,
                                 engine_table &Engines, metrics *Metrics,
                                 residency_agent_settings Settings)
    : State(std::make_shared<state>(Clock, std::move(Ports), Self, Engines,
                                    Metrics, Settings)) {}

residency_agent::~residency_agent() = default;

std::shared_ptr<const host_view> residency_agent::state::view() const {
  const std::lock_guard<std::mutex> Lock(ViewMutex);
  return View;
}

snapshot_pointer residency_agent::state::configuration() const {
  const std::lock_guard<std::mutex> Lock(ViewMutex);
  return Configuration;
}

std::vector<pin_holder>
residency_agent::state::holders(const host_view &View) const {
  std::vector<pin_holder> Holders{{selfId(), Self.incarnation()}};
  for (const peer_host &Peer : View.Peers)
    Holders.push_back({Peer.Id, Peer.Incarnation});
  // A host that is cut off from the platform may still use adapters.
  for (const lapsed_host &Lapsed : View.LapsedHosts)
    Holders.push_back({Lapsed.Id, Lapsed.Incarnation});
  return Holders;
}

bool residency_agent::state::beginPolling(std::uint64_t Id) {
  const std::lock_guard<std::mutex> Lock(ViewMutex);
  return PollsInProgress.insert(Id).second;
}

void residency_agent::state::endPolling(std::uint64_t Id) {
  const std::lock_guard<std::mutex> Lock(ViewMutex);
  PollsInProgress.erase(Id);
}

endpoint residency_agent::state::addressOf(upstream_id Engine) const {
  const snapshot_pointer Current = configuration();
  const upstream_declaration *Declared =
      Current ? Current->findUpstream(Engine) : nullptr;
  if (Declared == nullptr)
    throw spindle_error(result_code::NoUpstream, "the engine is not declared");
  return Declared->Address;
}

void residency_agent::state::count(std::string_view Name,
                                   const metric_labels &Labels) const {
  if (Metrics != nullptr)
    Metrics->count(Name, Labels);
}

void residency_agent::applyConfiguration(snapshot_pointer Configuration) {
  State->Engines.applyConfiguration(*Configuration);
  {
    const std::lock_guard<std::mutex> Lock(State->OwnerMutex);
    State->Owner.Settings.Victims = Configuration->policy().Residency == "lru"
                                        ? victim_policy::Lru
                                        : victim_policy::Value;
  }
  {
    const std::lock_guard<std::mutex> Lock(State->ViewMutex);
    State->Configuration = std::move(Configuration);
  }
  State->updateOwnedEngines(*State->view());
}

void residency_agent::applyView(std::shared_ptr<const host_view> View) {
  State->Engines.applyView(*View);
  {
    const std::lock_guard<std::mutex> Lock(State->ViewMutex);
    State->View = View;
  }
  State->updateOwnedEngines(*View);
}

void residency_agent::startDrain() {
  const std::lock_guard<std::mutex> Lock(State->ViewMutex);
  State->Draining = true;
}

host_link::PinReply
residency_agent::handlePin(const host_link::PinRequest &Request) {
  return State->handlePin(Request);
}

host_link::SyncPinsReply
residency_agent::handleSyncPins(const host_link::SyncPinsRequest &Request) {
  return State->handleSyncPins(Request);
}

host_link::ResidencyReply
residency_agent::handleResidency(const host_link::ResidencyRequest &Request) {
  return State->handleResidency(Request);
}

void residency_agent::runLoads() { State->runLoads(); }

void residency_agent::syncPins() {
  const std::shared_ptr<const host_view> View = State->view();
  std::map<host_id, std::vector<fenced_engine>> Wanted;
  {
    const std::lock_guard<std::mutex> Draining(State->ViewMutex);
    const std::lock_guard<std::mutex> Lock(State->PinMutex);
    dropUnusedPins(State->Pins,
                   State->Draining ? milliseconds(0)
                                   : State->Settings.PinRetention,
                   State->Clock.now());
    for (const auto &[Engine, Owner] : View->Owners)
      if (needsSync(State->Pins, {Engine, Owner.Fence}, State->Clock.now()))
        Wanted[Owner.Host].push_back({Engine, Owner.Fence});
  }
  const auto Self = Wanted.find(State->selfId());
  if (Self != Wanted.end())
    State->syncWith(Self->first, {}, Self->second);
  for (const peer_host &Peer : View->Peers) {
    const auto Engines = Wanted.find(Peer.Id);
    if (Engines == Wanted.end() || !State->beginPolling(~Peer.Id.Value))
      continue;
    State->Ports.Spawn([State = State, Peer, Engines = Engines->second] {
      State->syncWith(Peer.Id, Peer.Link, Engines);
      State->endPolling(~Peer.Id.Value);
    });
  }
}

/// How long to wait for an owner's reply to a sync.
static constexpr milliseconds SyncTimeout{1'000};

void residency_agent::state::syncWith(
    host_id Host, const endpoint &Link,
    const std::vector<fenced_engine> &Engines) {
  pin_sync Sync;
  {
    const std::lock_guard<std::mutex> Lock(PinMutex);
    Sync = composeSync(Pins, Engines);
  }
  host_link::SyncPinsRequest Request;
  *Request.mutable_sender() = Self;
  Request.set_sequence(Sync.Sequence);
  for (const fenced_engine &Engine : Sync.Engines) {
    host_link::SyncedEngine *Entry = Request.add_engines();
    Entry->set_engine(Engine.Engine.Value);
    Entry->set_fence(Engine.Fence);
  }
  for (const synced_pin &Pin : Sync.Pins) {
    host_link::PinnedAdapter *Entry = Request.add_pins();
    Entry->set_engine(Pin.Placement.Engine.Value);
    Entry->set_adapter(Pin.Placement.Adapter.Value);
    Entry->set_count(Pin.UsesSinceSync);
  }
  try {
    applySyncReply(Sync, Host == selfId() ? handleSyncPins(Request)
                                          : Ports.Hosts.SyncPins(Link, Request,
                                                                 SyncTimeout));
  } catch (const spindle_error &) {
    // The next pass retries: unacknowledged changes remain pending.
    count("spindle_pin_syncs_failed_total", {});
  }
}

void residency_agent::state::applySyncReply(
    const pin_sync &Sync, const host_link::SyncPinsReply &Reply) {
  const std::lock_guard<std::mutex> Lock(PinMutex);
  for (const fenced_engine &Engine : Sync.Engines)
    if (std::ranges::find(Reply.not_owned(), Engine.Engine.Value) ==
        Reply.not_owned().end())
      noteSyncAcknowledged(Pins, Sync, Engine, Clock.now());
  for (const host_link::PinnedAdapter &Pin : Reply.refused())
    notePinRecalled(Pins, {{Pin.engine()}, {Pin.adapter()}});
}

} // namespace spindle
