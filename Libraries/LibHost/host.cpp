#include "LibHost/host.h"

#include "LibEngine/http_engine.h"
#include "LibHTTP/server_quiet.h"
#include "LibHost/component_settings.h"
#include "LibHost/membership_agent.h"
#include "LibHost/request_router.h"
#include "LibLog/log.h"
#include "LibPeer/host_link_server.h"
#include "LibPlatform/http_platform.h"
#include "LibRuntime/periodic_tasks.h"

#include <atomic>
#include <optional>

namespace spindle {

namespace {

constexpr milliseconds MembershipInterval{250};
constexpr milliseconds WatchTimeout{30'000};
constexpr milliseconds WatchRetryDelay{1'000};
constexpr milliseconds GossipInterval{1'000};
constexpr milliseconds LimiterInterval{100};
constexpr milliseconds OrderSweepInterval{1'000};
constexpr milliseconds ReportInterval{400};
constexpr milliseconds LoadInterval{100};
constexpr milliseconds PinSyncInterval{500};
constexpr milliseconds SuspectShareInterval{1'000};
constexpr milliseconds SuspectPullInterval{5'000};
constexpr milliseconds DrainPollInterval{100};
// A drain waits until no request has run for this long.
constexpr milliseconds QuietBeforeClose{300};

} // namespace

struct host::state {
  state(const runtime_clock &Clock, fiber_runtime &Runtime,
        const host_settings &Settings, std::uint64_t Incarnation);
  ~state();

  residency_ports residencyPorts();
  host_link_handlers linkHandlers();
  void connectComponents();
  void applySnapshot(const snapshot_pointer &Snapshot);
  void applyView(const membership_agent::view_pointer &View);
  void updateUpstreams();
  void startTasks();
  void startConfigurationTasks();
  void startServing();
  bool ready();
  void runDrain();
  void handOver();

  const runtime_clock &Clock;
  fiber_runtime &Runtime;
  const host_settings Settings;
  const std::uint64_t Incarnation;
  const host_link::Sender Self;
  metrics Metrics;
  http_client Client;
  platform_port Platform;
  host_link_port Link;
  configuration_follower Configuration;
  rate_limiter Limiter;
  dispatch_queue Queue;
  engine_table Upstreams;
  residency_agent Residency;
  upstream_health Health;
  suspect_registry Suspects;
  order_executor Orders;
  in_flight_requests InFlight;
  load_fairness LoadFairness;
  request_services Services;
  std::optional<host_link_server> LinkServer;
  std::optional<membership_agent> Membership;
  std::optional<http_server> MetricsServer;
  std::optional<http_server> CallerServer;
  std::atomic<bool> Serving{false};
  std::atomic<bool> HadShare{false};
  std::atomic<bool> Draining{false};
  std::atomic<bool> Drained{false};
  periodic_tasks Tasks;
};

host::state::state(const runtime_clock &Clock, fiber_runtime &Runtime,
                   const host_settings &HostSettings, std::uint64_t Incarnation)
    : Clock(Clock), Runtime(Runtime), Settings(HostSettings),
      Incarnation(Incarnation), Self(makeSender(Settings, Incarnation)),
      Client(Settings.Limits.IdleConnectionsPerUpstream),
      Platform(makeHttpPlatform(Client, platformSettings(Settings))),
      Link(makeGrpcHostLink()),
      Configuration(Clock, Platform, Link, Self, followerSettings(Settings)),
      Limiter(Clock, Link, Self, &Metrics, limiterSettings(Settings)),
      Queue(Clock, &Metrics, {}),
      Upstreams(Clock, zone_id::ofName(Settings.Zone), Incarnation),
      Residency(Clock, residencyPorts(), Self, Upstreams, &Metrics, {}),
      Health(Clock, &Metrics),
      Suspects(Clock, &Metrics, {Link, Platform, Self}),
      Orders(Clock, Platform, Incarnation, Settings.Name, orderSettings()),
      Services{Clock,        Metrics,
               Client,       Configuration,
               Limiter,      Queue,
               Residency,    Upstreams,
               Health,       Suspects,
               Orders,       InFlight,
               LoadFairness, Settings.Timeouts.Connect},
      Tasks(Runtime) {
  LinkServer.emplace(Runtime, Settings.Listen.HostLink, linkHandlers());
  Membership.emplace(
      Clock, Platform,
      membershipSettings(Settings, LinkServer->address(), Incarnation));
  connectComponents();
  startServing();
  startTasks();
}

host::state::~state() {
  Tasks.stop();
  CallerServer.reset();
  MetricsServer.reset();
  LinkServer.reset();
}

residency_ports host::state::residencyPorts() {
  residency_ports Ports;
  Ports.Engines = makeHttpEngine(Client);
  Ports.Hosts = Link;
  Ports.Budget.TryReserve = [this](time_point Now) {
    return Limiter.tryReserveLoad(Now);
  };
  Ports.Budget.Settle = [this] { Limiter.settleLoad(); };
  Ports.OnReport = [this](upstream_id Engine, std::uint64_t EngineStart) {
    Health.noteIncarnation(Engine, EngineStart);
  };
  Ports.Spawn = [this](std::function<void()> Work) {
    Runtime.spawn(std::move(Work));
  };
  return Ports;
}

host_link_handlers host::state::linkHandlers() {
  host_link_handlers Handlers;
  Handlers.Borrow = [this](const host_link::BorrowRequest &Request) {
    return Limiter.handleBorrow(Request);
  };
  Handlers.Repay = [this](const host_link::RepayRequest &Request) {
    return Limiter.handleRepay(Request);
  };
  Handlers.Pin = [this](const host_link::PinRequest &Request) {
    return Residency.handlePin(Request);
  };
  Handlers.SyncPins = [this](const host_link::SyncPinsRequest &Request) {
    return Residency.handleSyncPins(Request);
  };
  Handlers.Residency = [this](const host_link::ResidencyRequest &Request) {
    return Residency.handleResidency(Request);
  };
  Handlers.Announce = [this](const host_link::AnnounceRequest &Request) {
    return Configuration.handleAnnounce(Request);
  };
  Handlers.FetchPart = [this](const host_link::FetchPartRequest &Request) {
    return Configuration.handleFetchPart(Request);
  };
  Handlers.ShareSuspects =
      [this](const host_link::ShareSuspectsRequest &Request) {
        for (const host_link::Suspect &Suspect : Request.suspects())
          for (const std::uint64_t Lost : Suspect.upstreams())
            Health.noteLost(upstream_id{Lost});
        return Suspects.handleShareSuspects(Request);
      };
  return Handlers;
}

void host::state::connectComponents() {
  Configuration.onChange(
      [this](const snapshot_pointer &Snapshot) { applySnapshot(Snapshot); });
  Membership->onChange(
      [this](const membership_agent::view_pointer &View) { applyView(View); });
}

void host::state::applySnapshot(const snapshot_pointer &Snapshot) {
  const policy_declaration &Policy = Snapshot->policy();
  Limiter.setLoadBudget(Policy.WeightStoreLoadsPerSecond,
                        Policy.WeightStoreLoadsInFlight);
  Limiter.applyConfiguration(*Snapshot);
  Queue.applyConfiguration(*Snapshot);
  Residency.applyConfiguration(Snapshot);
  Health.applyConfiguration(*Snapshot);
  Suspects.applyConfiguration(*Snapshot);
  Membership->applyConfiguration(Snapshot);
  InFlight.cancelWithdrawn(*Snapshot);
  // Only now do all components use this version, so it may be confirmed as
  // applied.
  Membership->setAppliedVersion(Snapshot->version());
}

void host::state::applyView(const membership_agent::view_pointer &View) {
  Limiter.applyView(*View);
  Configuration.applyView(*View);
  Residency.applyView(View);
  Suspects.applyView(View);
}

void host::state::updateUpstreams() {
  const snapshot_pointer Snapshot = Configuration.current();
  if (!Snapshot)
    return;
  engine_load_summary Load;
  for (const upstream_declaration &Upstream : Snapshot->upstreams()) {
    const upstream_id Id = upstream_id::ofName(Upstream.Name);
    Upstreams.setHealth(Id, Health.weightOf(Id));
    if (Upstream.Kind != upstream_kind::Engine)
      continue;
    const std::uint32_t Requests = Upstreams.load(Id);
    const std::uint32_t Running = std::min(Requests, Upstream.BatchSize);
    Load.BatchSlots += Upstream.BatchSize;
    Load.Running += Running;
    Load.Waiting += Requests - Running;
  }
  Queue.noteEngineLoad(Load, std::max(1U, Membership->view()->FleetHosts));
}

void host::state::startTasks() {
  Tasks.repeat("membership", MembershipInterval,
               [this] { Membership->tick(); });
  Tasks.repeatVarying("machine watch", [this] {
    return Membership->watchMachines(WatchTimeout) ? milliseconds(0)
                                                   : WatchRetryDelay;
  });
  startConfigurationTasks();
  Tasks.repeat("limiter", LimiterInterval, [this] { Limiter.maintain(); });
  Tasks.repeat("orders", OrderSweepInterval, [this] { Orders.sweep(); });
  Tasks.repeat("reports", ReportInterval, [this] {
    Residency.pollReports();
    updateUpstreams();
  });
  Tasks.repeat("loads", LoadInterval, [this] { Residency.runLoads(); });
  Tasks.repeat("pins", PinSyncInterval, [this] { Residency.syncPins(); });
  Tasks.repeat("suspect sharing", SuspectShareInterval,
               [this] { Suspects.shareOnce(); });
  Tasks.repeat("suspect reading", SuspectPullInterval,
               [this] { Suspects.pullOnce(); });
}

void host::state::startConfigurationTasks() {
  Tasks.repeatVarying("configuration poll", [this] {
    Configuration.pollOnce();
    return Configuration.pollInterval();
  });
  Tasks.repeatVarying("configuration watch", [this] {
    const bool Watched =
        Configuration.isRelay() && Configuration.watchOnce(WatchTimeout);
    return Watched ? milliseconds(0) : WatchRetryDelay;
  });
  Tasks.repeat("gossip", GossipInterval,
               [this] { Configuration.gossipOnce(); });
}

void host::state::startServing() {
  const http_handler Serve = [this](http_exchange &Exchange) {
    routeRequest(Services, Exchange, [this] { return ready(); });
  };
  CallerServer.emplace(Runtime, Settings.Listen.Callers, serverLimits(Settings),
                       Serve, writeErrorResponse);
  const http_handler ServeMetrics = [this](http_exchange &Exchange) {
    if (pathOf(Exchange.request().Target) != "/metrics")
      throw spindle_error(result_code::NoRoute, "only /metrics is served here");
    Exchange.respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}},
                     Metrics.toText());
  };
  MetricsServer.emplace(Runtime, Settings.Listen.Metrics, http_server_limits{},
                        ServeMetrics, writeErrorResponse);
  Serving.store(true);
}

bool host::state::ready() {
  if (!Serving.load() || Draining.load() || !Configuration.current())
    return false;
  // A newly started host is not ready until it holds its share. If it cannot
  // get one because the platform is unreachable, it still serves with tokens
  // borrowed from other hosts.
  if (Limiter.holdsShare() || !Membership->view()->PlatformReachable)
    HadShare.store(true);
  return HadShare.load();
}

void host::state::runDrain() {
  logEvent(log_event::DrainStarted, {});
  const time_point Deadline = Clock.now() + Settings.Timeouts.Drain;
  Membership->startDrain();
  Limiter.startDrain();
  Residency.startDrain();
  CallerServer->startDrain();
  sleepFor(Settings.Timeouts.DrainDelay);
  waitUntilQuiet(*CallerServer, Clock, QuietBeforeClose, Deadline);
  CallerServer->refuseNew();
  waitUntilQuiet(*CallerServer, Clock, QuietBeforeClose, Deadline);
  if (CallerServer->runningExchanges() > 0)
    logEvent(log_event::DrainLimitReached, {});
  handOver();
  logEvent(log_event::DrainFinished, {});
  Drained.store(true);
}

/// Releases the engines and shares held by this host. Since the platform may be
/// down, it waits no longer than the lease takes to expire, after which other
/// hosts take them over anyway.
void host::state::handOver() {
  const time_point Deadline =
      Clock.now() + Settings.Lease.Duration + Settings.Lease.Margin;
  while (Clock.now() < Deadline &&
         !(Membership->enginesReleased() && Orders.unwrittenOutcomes() == 0))
    sleepFor(DrainPollInterval);
  Membership->finishDrain();
  while (Clock.now() < Deadline && !Membership->drained())
    sleepFor(DrainPollInterval);
}

host::host(const runtime_clock &Clock, fiber_runtime &Runtime,
           const host_settings &Settings, std::uint64_t Incarnation)
    : State(std::make_unique<state>(Clock, Runtime, Settings, Incarnation)) {}

host::~host() = default;

host_addresses host::addresses() const {
  return {State->CallerServer->address(), State->LinkServer->address(),
          State->MetricsServer->address()};
}

void host::startDrain() {
  if (State->Draining.exchange(true))
    return;
  State->Runtime.spawn([this] { State->runDrain(); });
}

bool host::drained() const { return State->Drained.load(); }

bool host::stopRequested() const {
  return State->Membership->drainRequested() || State->Membership->replaced();
}

} // namespace spindle
