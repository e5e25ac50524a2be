#include "LibGateway/gateway_host.h"

#include "LibCore/result_code.h"
#include "LibGateway/forward_request.h"
#include "LibGateway/gateway_services.h"
#include "LibGateway/load_rate_limiter.h"
#include "LibGateway/registration_applier.h"
#include "LibHTTP/error_response.h"
#include "LibHTTP/server_quiet.h"
#include "LibLog/log.h"
#include "LibPeer/host_link_server.h"
#include "LibPlatform/platform_version.h"
#include "LibRuntime/periodic_tasks.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <span>

namespace spindle {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;
constexpr milliseconds MembershipInterval{150};
constexpr milliseconds ExchangeInterval{250};
constexpr milliseconds VersionPollInterval{200};
constexpr milliseconds UpstreamPollInterval{500};
constexpr milliseconds RegistrationCheckInterval{200};
constexpr milliseconds ModelLoadInterval{300};
// The leaders of all zones share the load rate of the weight store; most
// deployments have at most this many zones.
constexpr double AssumedLeaderCount = 4;
constexpr milliseconds DrainPollInterval{50};
// Metrics and readiness share the descriptors that callers leave.
constexpr std::size_t MaxOperatorConnections = 64;
// A drain ends only after no request has run for this long.
constexpr milliseconds QuietPeriod{200};
// The part of the drain limit that is reserved for the exit of the process.
constexpr milliseconds ExitReserve{700};
// Requests that have no answer yet get their last one so long before the end:
// longer than a wait for an answer of a leader that is dead.
constexpr milliseconds AnswerReserve{250};
constexpr milliseconds LeaveRetryInterval{300};
// The share of an engine's prompt cache that a host counts as its own: it knows
// only the prompts it sent itself, but the other hosts of the zone use the same
// engine.
constexpr double OwnCacheShare = 0.5;

host_link::Sender makeSender(const gateway_settings &Settings,
                             std::uint64_t Incarnation) {
  host_link::Sender Sender;
  Sender.set_protocol(HostLinkProtocol);
  Sender.set_host(host_id::ofName(Settings.Name).Value);
  Sender.set_zone(zone_id::ofName(Settings.Zone).Value);
  Sender.set_incarnation(Incarnation);
  return Sender;
}

} // namespace

struct gateway_host::state {
  state(const runtime_clock &Clock, fiber_runtime &Runtime, http_client &Client,
        gateway_settings Settings, gateway_ports Ports,
        std::uint64_t Incarnation);
  ~state();

  adapter_controller_ports makeControllerPorts();
  host_link_handlers makeLinkHandlers();
  std::optional<engine_capacity> capacityOf(std::string_view Service) const;
  std::string leastDeployedModel(std::string_view Service) const;
  void applyConfiguration();
  void applyReleases();
  void applyEvacuations();
  bool hasEvacuations() const;
  std::vector<object_mirror *> polledMirrors();
  void startTasks();
  void startServing();
  bool isReady() const;
  void serveReady(http_exchange &Exchange) const;
  void leave(time_point Until);
  void logRunning(log_event Event) const;
  void runDrain();

  const runtime_clock &Clock;
  fiber_runtime &Runtime;
  const gateway_settings Settings;
  const gateway_ports Ports;
  const host_link::Sender Self;
  spindle::metrics Metrics;
  host_link_port Link;
  object_mirror Configurations;
  object_mirror Upstreams;
  object_mirror ReleaseObjects;
  object_mirror Members;
  object_mirror Evacuations;
  active_configuration Configuration;
  fleet_table Fleet;
  customer_quota Quota;
  release_table Releases;
  service_retry_budgets RetryBudgets;
  request_costs Costs;
  service_retry_paces RetryPaces;
  waiting_requests Waits;
  request_stages Stages;
  drain_deadline Drain;
  load_rate_limiter ModelLoads;
  zone_coordinator Coordinator;
  adapter_controller Controller;
  work_placer Placer;
  adapter_holds Holds;
  gateway_services Services;
  registration_applier Registrations;
  std::mutex ApplyMutex;
  std::atomic<bool> IsDraining{false};
  std::atomic<bool> HasLeft{false};
  std::atomic<bool> Drained{false};
  std::optional<host_link_server> LinkServer;
  std::optional<http_server> MetricsServer;
  std::optional<http_server> ReadyServer;
  std::optional<http_server> CallerServer;
  periodic_tasks Tasks;
};

gateway_host::state::state(const runtime_clock &Clock, fiber_runtime &Runtime,
                           http_client &Client, gateway_settings HostSettings,
                           gateway_ports HostPorts, std::uint64_t Incarnation)
    : Clock(Clock), Runtime(Runtime), Settings(std::move(HostSettings)),
      Ports(std::move(HostPorts)), Self(makeSender(Settings, Incarnation)),
      Link(makeGrpcHostLink()),
      Configurations(Clock, Ports.Platform, Ports.Codec.ConfigurationKind,
                     makeMirrorSettings(Settings.ChangeDelay, {})),
      Upstreams(Clock, Ports.Platform, Ports.Codec.UpstreamKind,
                makeMirrorSettings(Settings.ChangeDelay, UpstreamPollInterval)),
      ReleaseObjects(
          Clock, Ports.Platform, Ports.Codec.ReleaseKind,
          makeMirrorSettings(Settings.ChangeDelay, VersionPollInterval)),
      Members(Clock, Ports.Platform, "spindlemembers",
              makeMirrorSettings(Settings.ChangeDelay, VersionPollInterval)),
      Evacuations(
          Clock, Ports.Platform, Ports.Codec.EvacuationKind,
          makeMirrorSettings(Settings.EvacuationDelay, VersionPollInterval)),
      Fleet(Clock, Settings.Zone), Quota(Clock),
      RetryBudgets(Clock, Settings.RetryLimits), Costs(Clock),
      RetryPaces(Clock), Waits(Clock),
      Coordinator(
          {Settings.Name, Settings.Zone, Settings.HostLink, Incarnation, Self},
          {Clock, Ports.Platform, Link, Fleet, Quota, Members, polledMirrors(),
           [this](std::span<const adapter_use> Uses) {
             Controller.setInUse(Uses);
           },
           [this] { return Controller.listAvailableSlots(); }}),
      Controller(Clock, Fleet, makeControllerPorts()),
      Placer(Clock, Fleet, Controller, Settings.Zone,
             [this](std::string_view Service) { return capacityOf(Service); }),
      Holds(Clock, Fleet, Coordinator, Controller, Placer, Link, Self),
      Services{Clock,         Ports.Codec,
               Metrics,       Client,
               Configuration, Configurations,
               Fleet,         Quota,
               Coordinator,   Holds,
               Releases,      RetryBudgets,
               Costs,         {Settings.PlacementMinEngines},
               RetryPaces,    Waits,
               Stages,        Drain},
      Registrations(Clock, Upstreams, Ports.Codec, Fleet), Tasks(Runtime) {
  Configurations.onChange([this] { applyConfiguration(); });
  Upstreams.onChange([this] { Registrations.apply(); });
  ReleaseObjects.onChange([this] { applyReleases(); });
  Evacuations.onChange([this] { applyEvacuations(); });
  LinkServer.emplace(Runtime, Settings.HostLink, makeLinkHandlers());
  startServing();
  startTasks();
}

gateway_host::state::~state() {
  Tasks.stop();
  CallerServer.reset();
  ReadyServer.reset();
  MetricsServer.reset();
  LinkServer.reset();
}

adapter_controller_ports gateway_host::state::makeControllerPorts() {
  adapter_controller_ports Result;
  Result.Orders = Ports.Orders;
  Result.Spawn = [this](std::function<void()> Work) {
    Runtime.spawn(std::move(Work), "order");
  };
  Result.FencingToken = [this](std::string_view Zone) {
    return Coordinator.fencingToken(Zone);
  };
  Result.OnFenced = [this](std::uint64_t FencingToken) {
    Coordinator.markFenced(FencingToken);
  };
  Result.NewestVersion = [this](const adapter_name &Name) {
    return Releases.newestVersion(Name);
  };
  Result.Capacity = [this](std::string_view Service) -> std::size_t {
    const std::optional<engine_capacity> Engine = capacityOf(Service);
    return Engine ? adapterSlotCount(*Engine) : 0;
  };
  Result.ModelForEmptyEngine = [this](std::string_view Service) {
    return leastDeployedModel(Service);
  };
  Result.TryAcquireModelLoad = [this] {
    return ModelLoads.tryAcquire(Clock.now());
  };
  Result.Holder = Settings.Name;
  return Result;
}

host_link_handlers gateway_host::state::makeLinkHandlers() {
  host_link_handlers Handlers;
  Handlers.Sync = [this](const host_link::SyncRequest &Request) {
    return Coordinator.handleSync(Request);
  };
  Handlers.FetchChanges =
      [this](const host_link::FetchChangesRequest &Request) {
        return Coordinator.handleFetchChanges(Request);
      };
  Handlers.HoldAdapter = [this](const host_link::HoldAdapterRequest &Request) {
    return Holds.handleHold(Request);
  };
  return Handlers;
}

/// The capacity of the engines of a service; none if it has none.
std::optional<engine_capacity>
gateway_host::state::capacityOf(std::string_view Service) const {
  const configuration_pointer Current = Configuration.current();
  if (!Current)
    return std::nullopt;
  const auto Found = Current->Services.find(Service);
  if (Found == Current->Services.end())
    return std::nullopt;
  return Found->second.Engine;
}

/// The model of a service that is loaded on the fewest engines.
std::string
gateway_host::state::leastDeployedModel(std::string_view Service) const {
  const configuration_pointer Current = Configuration.current();
  if (!Current)
    return {};
  const auto Found = Current->Services.find(Service);
  if (Found == Current->Services.end() || !Found->second.Engine)
    return {};
  std::map<std::string, std::size_t> Engines;
  for (const base_model &Model : Found->second.Engine->Models)
    Engines[Model.Name] = 0;
  for (const upstream_pointer &Entry : Fleet.all())
    for (const std::string &Model : Entry->Models)
      ++Engines[Model];
  const auto LeastDeployed = std::min_element(
      Engines.begin(), Engines.end(), [](const auto &Left, const auto &Right) {
        return Left.second < Right.second;
      });
  return LeastDeployed == Engines.end() ? std::string() : LeastDeployed->first;
}

void gateway_host::state::applyConfiguration() {
  const std::optional<platform_object> Object =
      Configurations.find(Ports.Codec.ConfigurationName);
  if (!Object)
    return;
  const std::lock_guard<std::mutex> Lock(ApplyMutex);
  const configuration_pointer Current = Configuration.current();
  std::shared_ptr<gateway_configuration> Next;
  try {
    Next = std::make_shared<gateway_configuration>(
        Ports.Codec.ReadConfiguration(Object->Body));
  } catch (const spindle_error &Error) {
    logEvent(log_event::ConfigurationRefused, {{"reason", Error.what()}});
    return;
  }
  if (Current && Next->Version <= Current->Version)
    return;
  double LoadsPerSecond = 0;
  for (const auto &[Name, Service] : Next->Services)
    if (Service.Engine)
      LoadsPerSecond += Service.Engine->ModelLoadsPerSecond;
  ModelLoads.setRate(LoadsPerSecond / AssumedLeaderCount);
  for (const auto &[Name, Service] : Next->Services)
    Fleet.setWarmUpRate(Name, Service.WarmUpRequestsPerSecond);
  for (const auto &[Name, Service] : Next->Services)
    if (Service.Engine)
      Fleet.setCacheTokens(
          Name, static_cast<std::int64_t>(
                    static_cast<double>(Service.Engine->CacheTokens) *
                    OwnCacheShare));
  Quota.applyConfiguration(*Next);
  http_server_limits Limits;
  Limits.HeaderBytes = Next->Limits.HeaderBytes;
  Limits.HeaderTimeout = Next->Limits.HeaderTimeout;
  Limits.IdleTimeout = Next->Limits.IdleTimeout;
  if (CallerServer)
    CallerServer->setLimits(Limits);
  logEvent(log_event::ConfigurationApplied,
           {{"version", std::to_string(Next->Version)},
            {"revision", std::to_string(revisionOf(Object->Version))},
            {"routes", std::to_string(Next->Routes.size())}});
  Configuration.set(std::move(Next));
}

void gateway_host::state::applyReleases() {
  std::vector<adapter_release> All;
  for (const platform_object &Object : ReleaseObjects.objects())
    if (std::optional<adapter_release> Release =
            Ports.Codec.ReadRelease(Object.Body))
      All.push_back(std::move(*Release));
  Releases.apply(All);
  Controller.upgradeAdapters();
}

void gateway_host::state::applyEvacuations() {
  std::set<std::string, std::less<>> Zones;
  std::string Names;
  for (const platform_object &Object : Evacuations.objects()) {
    Names += (Names.empty() ? "" : " ") + Object.Name;
    Zones.insert(Object.Name);
  }
  logEvent(log_event::ZonesEvacuated,
           {{"zones", Names},
            {"revision", std::to_string(revisionOf(Evacuations.cursor()))}});
  Metrics.gauge("spindle_evacuated_zones", {},
                static_cast<double>(Zones.size()));
  Fleet.setEvacuatedZones(std::move(Zones));
}

bool gateway_host::state::hasEvacuations() const {
  return Settings.EvacuationDelay > milliseconds(0);
}

/// The mirrors of the kinds that occur on this platform.
std::vector<object_mirror *> gateway_host::state::polledMirrors() {
  std::vector<object_mirror *> Mirrors = {&Configurations, &Upstreams,
                                          &ReleaseObjects, &Members};
  if (hasEvacuations())
    Mirrors.push_back(&Evacuations);
  return Mirrors;
}

void gateway_host::state::startTasks() {
  for (object_mirror *const Mirror : polledMirrors()) {
    Mirror->setRelayPredicate(
        [this] { return Coordinator.isLeaderResponding(); });
    Tasks.repeatVarying("mirror of " + Mirror->kind(),
                        [Mirror] { return Mirror->poll(); });
  }
  Tasks.repeat("membership", MembershipInterval,
               [this] { Coordinator.maintainMembership(); });
  Tasks.repeat("exchange", ExchangeInterval, [this] {
    for (const available_slots &Room : Controller.listAvailableSlots())
      Fleet.noteAvailableSlots(Room);
    Coordinator.exchange(Settings.Seeds);
    std::vector<host_location> Hosts = Coordinator.hostLocations();
    Metrics.gauge("spindle_failed_fibers", {},
                  static_cast<double>(failedFibers()));
    Metrics.gauge("spindle_placed_requests", {},
                  static_cast<double>(Placer.placedRequests()));
    Metrics.gauge("spindle_waiting_prompts", {},
                  static_cast<double>(Placer.waitingRequests()));
    Metrics.gauge("spindle_accept_pauses", {},
                  static_cast<double>(CallerServer->acceptPauses()));
    Metrics.gauge("spindle_limited_upstreams", {},
                  static_cast<double>(Fleet.limitedUpstreams()));
    Metrics.gauge("spindle_slowed_engines", {},
                  static_cast<double>(Fleet.slowedEngines()));
    RetryBudgets.setHosts(std::max<std::size_t>(1, Hosts.size()));
    Fleet.setHosts(std::move(Hosts), Settings.Name);
  });
  Tasks.repeat("withheld changes", ExchangeInterval,
               [this] { Coordinator.fetchWithheldChanges(Settings.Seeds); });
  Tasks.repeat("models", ModelLoadInterval,
               [this] { Controller.loadModels(); });
  Tasks.repeat("registrations", RegistrationCheckInterval,
               [this] { Registrations.applyIfKept(); });
}

bool gateway_host::state::isReady() const {
  return !IsDraining.load() && Configuration.current() &&
         Upstreams.isInitialized() &&
         (!hasEvacuations() || Evacuations.isInitialized());
}

void gateway_host::state::serveReady(http_exchange &Exchange) const {
  const bool Ready = isReady();
  Exchange.respond({Ready ? HttpOk : HttpUnavailable, {}},
                   Ready ? "ready\n" : "not ready\n");
}

void gateway_host::state::startServing() {
  const http_handler ServeMetrics = [this](http_exchange &Exchange) {
    if (pathOf(Exchange.request().Target) != "/metrics")
      throw spindle_error(result_code::NoRoute,
                          "this address serves only /metrics");
    Waits.report(Metrics);
    Exchange.respond({HttpOk, {{"Content-Type", "text/plain; version=0.0.4"}}},
                     Metrics.toText());
  };
  http_server_limits OperatorLimits;
  OperatorLimits.Connections = MaxOperatorConnections;
  MetricsServer.emplace(Runtime, Settings.Metrics, OperatorLimits, ServeMetrics,
                        writeErrorResponse);
  ReadyServer.emplace(
      Runtime, Settings.Ready, OperatorLimits,
      [this](http_exchange &Exchange) { serveReady(Exchange); },
      writeErrorResponse);
  const http_handler Serve = [this](http_exchange &Exchange) {
    forwardRequest(Services, Exchange);
  };
  const http_error_writer HandleError = [this](http_exchange &Exchange,
                                               const std::exception &Error) {
    const spindle_error *const Known =
        dynamic_cast<const spindle_error *>(&Error);
    Metrics.count("spindle_refused_total",
                  {{"code", Known ? std::string(describe(Known->code()).Name)
                                  : "Internal"}});
    logEvent(log_event::RequestRefused,
             {{"path", std::string(pathOf(Exchange.request().Target))},
              {"reason", Error.what()}});
    // Callers may have less than a second left.
    const http_response Response =
        errorResponse(Error, retry_after_form::Fractions);
    Exchange.respond(Response.Head, Response.Body);
  };
  CallerServer.emplace(Runtime, Settings.Callers, http_server_limits{}, Serve,
                       HandleError);
}

/// Gives up the zone's leadership and this host's registration. A leader
/// without a successor stays leader until shortly before \p Until, so that the
/// zone's engines still get their orders.
void gateway_host::state::leave(time_point Until) {
  while (!Coordinator.leave(Clock.now() >= Until - LeaveRetryInterval) &&
         Clock.now() < Until)
    sleepFor(LeaveRetryInterval);
  HasLeft.store(true);
}

/// Logs \p Event with the number of requests that run, by their stage.
void gateway_host::state::logRunning(log_event Event) const {
  const auto Count = [this](request_stage Stage) {
    return std::to_string(Stages.count(Stage));
  };
  logEvent(Event,
           {{"reading_body", Count(request_stage::ReadingBody)},
            {"choosing", Count(request_stage::Choosing)},
            {"waiting_for_engine", Count(request_stage::WaitingForEngine)},
            {"waiting_for_response", Count(request_stage::WaitingForResponse)},
            {"streaming", Count(request_stage::Streaming)}});
}

void gateway_host::state::runDrain() {
  logEvent(log_event::DrainStarted, {});
  const time_point Start = Clock.now();
  const time_point Until = Start + Settings.DrainTimeout - ExitReserve;
  const time_point AnswersDue = Until - AnswerReserve;
  Drain.set(AnswersDue);
  Runtime.spawn([this, Until] { leave(Until); }, "leave");
  CallerServer->startDrain();
  sleepFor(std::min<nanoseconds>(Settings.DrainDelay, AnswersDue - Start));
  // A later request on a keep-alive connection might not finish in time.
  CallerServer->refuseNew();
  waitUntilQuiet(*CallerServer, Clock, QuietPeriod, AnswersDue);
  if (CallerServer->runningExchanges() > 0) {
    logRunning(log_event::DrainAnswersDue);
    CallerServer->endUnanswered();
    waitUntilQuiet(*CallerServer, Clock, QuietPeriod, Until);
  }
  if (CallerServer->runningExchanges() > 0)
    logRunning(log_event::DrainLimitReached);
  while (!HasLeft.load() && Clock.now() < Until + LeaveRetryInterval)
    sleepFor(DrainPollInterval);
  logEvent(log_event::DrainFinished, {});
  Drained.store(true);
}

gateway_host::gateway_host(const runtime_clock &Clock, fiber_runtime &Runtime,
                           http_client &Client, gateway_settings Settings,
                           gateway_ports Ports, std::uint64_t Incarnation)
    : State(std::make_unique<state>(Clock, Runtime, Client, std::move(Settings),
                                    std::move(Ports), Incarnation)) {}

gateway_host::~gateway_host() = default;

endpoint gateway_host::callers() const {
  return State->CallerServer->address();
}
endpoint gateway_host::ready() const { return State->ReadyServer->address(); }
endpoint gateway_host::metrics() const {
  return State->MetricsServer->address();
}
endpoint gateway_host::hostLink() const { return State->LinkServer->address(); }

void gateway_host::startDrain() {
  if (State->IsDraining.exchange(true))
    return;
  State->Runtime.spawn([this] { State->runDrain(); }, "drain");
}

bool gateway_host::drained() const { return State->Drained.load(); }

} // namespace spindle
