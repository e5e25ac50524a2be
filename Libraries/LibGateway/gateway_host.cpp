#include "LibGateway/gateway_host.h"

#include "LibCore/result_code.h"
#include "LibGateway/forward_request.h"
#include "LibGateway/gateway_services.h"
#include "LibGateway/load_pace.h"
#include "LibHTTP/server_quiet.h"
#include "LibLog/log.h"
#include "LibPeer/host_link_server.h"
#include "LibRuntime/periodic_tasks.h"

#include <algorithm>
#include <atomic>
#include <optional>
#include <span>

namespace spindle {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;
constexpr milliseconds MembershipPause{150};
constexpr milliseconds ExchangePause{250};
constexpr milliseconds VersionPause{200};
constexpr milliseconds UpstreamPause{500};
constexpr milliseconds ModelPause{300};
// The leads of zones share the weight store's rate; in most deployments there
// are no more zones than this.
constexpr double LeadsThatLoad = 4;
constexpr milliseconds DrainStep{50};
// A drain ends only after no request has run for so long.
constexpr milliseconds QuietBeforeClose{200};
// What is left of the drain's limit for the end of the process itself.
constexpr milliseconds LeaveTime{700};
constexpr milliseconds LeavePause{300};
// Registrations that lapsed while the platform was away are back within two
// seconds of its return.
constexpr milliseconds RegistrationsReturn{2'200};
// A host remembers the prompts that it sent itself; other hosts of the zone
// send there as well.
constexpr double OwnPartOfCache = 0.5;

host_link::Sender makeSender(const gateway_settings &Settings,
                             std::uint64_t Incarnation) {
  host_link::Sender Sender;
  Sender.set_protocol(HostLinkProtocol);
  Sender.set_host(host_id::ofName(Settings.Name).Value);
  Sender.set_zone(zone_id::ofName(Settings.Zone).Value);
  Sender.set_incarnation(Incarnation);
  return Sender;
}

/// A registration as it was read; null if it names no usable upstream.
struct read_upstream {
  std::uint64_t Revision = 0;
  upstream_pointer Entry;
};

mirror_settings pacedBy(milliseconds Pause) {
  mirror_settings Settings;
  Settings.PauseAfterChange = Pause;
  return Settings;
}

} // namespace

struct gateway_host::state {
  state(const runtime_clock &Clock, fiber_runtime &Runtime, http_client &Client,
        gateway_settings Settings, gateway_ports Ports,
        std::uint64_t Incarnation);
  ~state();

  adapter_keeper_ports keeperPorts();
  host_link_handlers linkHandlers();
  std::string rarestModel(std::string_view Service) const;
  void applyConfiguration();
  void applyUpstreams();
  void applyReleases();
  void startTasks();
  void startServing();
  bool isReady() const;
  void serveReady(http_exchange &Exchange) const;
  void leave(time_point Until);
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
  configuration_cell Configuration;
  fleet_table Fleet;
  customer_quota Quota;
  release_table Releases;
  service_retry_budgets Repeats;
  load_rate_limiter ModelLoads;
  zone_hub Hub;
  adapter_keeper Keeper;
  adapter_holds Holds;
  gateway_services Services;
  /// Registrations that were read, by name, so that only those that changed
  /// are read again.
  std::map<std::string, read_upstream> ReadUpstreams;
  /// The upstreams that were taken over last, by name.
  std::map<std::string, upstream_pointer> LastUpstreams;
  std::mutex ApplyMutex;
  std::atomic<bool> Draining{false};
  std::atomic<bool> Left{false};
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
      Configurations(Clock, Ports.Platform, Ports.Wire.ConfigurationKind, {}),
      Upstreams(Clock, Ports.Platform, Ports.Wire.UpstreamKind,
                pacedBy(UpstreamPause)),
      ReleaseObjects(Clock, Ports.Platform, Ports.Wire.ReleaseKind,
                     pacedBy(VersionPause)),
      Members(Clock, Ports.Platform, "spindlemembers", pacedBy(VersionPause)),
      Fleet(Clock, Settings.Zone), Quota(Clock),
      Repeats(Clock, Settings.Repeats),
      Hub({Settings.Name, Settings.Zone, Settings.HostLink, Incarnation, Self},
          {Clock,
           Ports.Platform,
           Link,
           Fleet,
           Quota,
           Members,
           {&Configurations, &Upstreams, &ReleaseObjects, &Members},
           [this](std::span<const adapter_use> Uses) { Keeper.setInUse(Uses); },
           [this] { return Keeper.rooms(); }}),
      Keeper(Clock, Fleet, keeperPorts()),
      Holds(Clock, Fleet, Hub, Keeper, Link, Self),
      Services{Clock, Ports.Wire, Metrics, Client,   Configuration, Fleet,
               Quota, Hub,        Holds,   Releases, Repeats},
      Tasks(Runtime) {
  Configurations.onChange([this] { applyConfiguration(); });
  Upstreams.onChange([this] { applyUpstreams(); });
  ReleaseObjects.onChange([this] { applyReleases(); });
  LinkServer.emplace(Runtime, Settings.HostLink, linkHandlers());
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

adapter_keeper_ports gateway_host::state::keeperPorts() {
  adapter_keeper_ports Result;
  Result.Orders = Ports.Orders;
  Result.Spawn = [this](std::function<void()> Work) {
    Runtime.spawn(std::move(Work));
  };
  Result.Fence = [this](std::string_view Zone) { return Hub.fence(Zone); };
  Result.OnFenced = [this](std::uint64_t Fence) { Hub.noteFenced(Fence); };
  Result.NewestVersion = [this](const adapter_name &Name) {
    return Releases.newest(Name);
  };
  Result.Capacity = [this](std::string_view Service) -> std::size_t {
    const configuration_pointer Current = Configuration.current();
    if (!Current)
      return 0;
    const auto Found = Current->Services.find(Service);
    const bool IsEngine =
        Found != Current->Services.end() && Found->second.Engine;
    return IsEngine ? adapterPlaces(*Found->second.Engine) : 0;
  };
  Result.MissingModel = [this](std::string_view Service) {
    return rarestModel(Service);
  };
  Result.MayLoadModel = [this] { return ModelLoads.tryAcquire(Clock.now()); };
  Result.Holder = Settings.Name;
  return Result;
}

host_link_handlers gateway_host::state::linkHandlers() {
  host_link_handlers Handlers;
  Handlers.Sync = [this](const host_link::SyncRequest &Request) {
    return Hub.handleSync(Request);
  };
  Handlers.HoldAdapter = [this](const host_link::HoldAdapterRequest &Request) {
    return Holds.handleHold(Request);
  };
  return Handlers;
}

/// The model of a service that the fewest engines have.
std::string gateway_host::state::rarestModel(std::string_view Service) const {
  const configuration_pointer Current = Configuration.current();
  if (!Current)
    return {};
  const auto Found = Current->Services.find(Service);
  if (Found == Current->Services.end() || !Found->second.Engine)
    return {};
  std::map<std::string, std::size_t> Engines;
  for (const engine_model &Model : Found->second.Engine->Models)
    Engines[Model.Name] = 0;
  for (const upstream_pointer &Entry : Fleet.all())
    for (const std::string &Model : Entry->Models)
      ++Engines[Model];
  const auto Rarest = std::min_element(Engines.begin(), Engines.end(),
                                       [](const auto &Left, const auto &Right) {
                                         return Left.second < Right.second;
                                       });
  return Rarest == Engines.end() ? std::string() : Rarest->first;
}

void gateway_host::state::applyConfiguration() {
  const std::optional<platform_object> Object =
      Configurations.find(Ports.Wire.ConfigurationName);
  if (!Object)
    return;
  const std::lock_guard<std::mutex> Lock(ApplyMutex);
  const configuration_pointer Current = Configuration.current();
  std::shared_ptr<gateway_configuration> Next;
  try {
    Next = std::make_shared<gateway_configuration>(
        Ports.Wire.ReadConfiguration(Object->Body));
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
  ModelLoads.setRate(LoadsPerSecond / LeadsThatLoad);
  for (const auto &[Name, Service] : Next->Services)
    if (Service.Engine)
      Fleet.setCacheTokens(
          Name, static_cast<std::int64_t>(
                    static_cast<double>(Service.Engine->CacheTokens) *
                    OwnPartOfCache));
  Quota.applyConfiguration(*Next);
  http_server_limits Limits;
  Limits.HeaderBytes = Next->Limits.HeaderBytes;
  Limits.HeaderTimeout = Next->Limits.HeaderTimeout;
  Limits.IdleTimeout = Next->Limits.IdleTimeout;
  if (CallerServer)
    CallerServer->setLimits(Limits);
  logEvent(log_event::ConfigurationApplied,
           {{"version", std::to_string(Next->Version)},
            {"revision", std::to_string(Object->Version)},
            {"routes", std::to_string(Next->Routes.size())}});
  Configuration.set(std::move(Next));
}

/// Takes over the registered upstreams. One whose registration is missing just
/// after the platform was away stays until it had time to come back.
void gateway_host::state::applyUpstreams() {
  const std::lock_guard<std::mutex> Lock(ApplyMutex);
  std::map<std::string, upstream_pointer> Present;
  std::map<std::string, read_upstream> Read;
  for (const platform_object &Object : Upstreams.objects()) {
    const auto Known = ReadUpstreams.find(Object.Name);
    const bool IsSame = Known != ReadUpstreams.end() &&
                        Known->second.Revision == Object.Version;
    const upstream_pointer Entry =
        IsSame ? Known->second.Entry
               : Ports.Wire.ReadUpstream(Object.Name, Object.Body);
    Read[Object.Name] = {Object.Version, Entry};
    if (Entry)
      Present.emplace(Object.Name, Entry);
  }
  ReadUpstreams = std::move(Read);
  const time_point Since = Upstreams.reachableSince();
  const bool MayComeBack =
      !Upstreams.reachable() ||
      (Since != time_point() && Clock.now() - Since < RegistrationsReturn);
  if (MayComeBack)
    for (const auto &[Name, Entry] : LastUpstreams)
      if (!Entry->Leaving)
        Present.emplace(Name, Entry);
  LastUpstreams = Present;
  std::vector<upstream_pointer> Entries;
  Entries.reserve(Present.size());
  for (auto &[Name, Entry] : Present)
    Entries.push_back(std::move(Entry));
  Fleet.applyUpstreams(Entries);
}

void gateway_host::state::applyReleases() {
  std::vector<adapter_release> All;
  for (const platform_object &Object : ReleaseObjects.objects())
    if (std::optional<adapter_release> Release =
            Ports.Wire.ReadRelease(Object.Body))
      All.push_back(std::move(*Release));
  Releases.apply(All);
  Keeper.renewVersions();
}

void gateway_host::state::startTasks() {
  for (object_mirror *const Mirror :
       {&Configurations, &Upstreams, &ReleaseObjects, &Members}) {
    Mirror->onAskRelayed([this] { return Hub.hearsLead(); });
    Tasks.repeatVarying("mirror of " + Mirror->kind(),
                        [Mirror] { return Mirror->step(); });
  }
  Tasks.repeat("membership", MembershipPause, [this] { Hub.keepMembership(); });
  Tasks.repeat("exchange", ExchangePause, [this] {
    for (const available_slots &Room : Keeper.rooms())
      Fleet.noteAvailableSlots(Room);
    Hub.exchange(Settings.Seeds);
    Repeats.setHosts(Hub.fleetHosts());
  });
  Tasks.repeat("models", ModelPause, [this] { Keeper.loadModels(); });
  Tasks.repeat("registrations", UpstreamPause, [this] {
    if (Upstreams.reachableSince() != time_point())
      applyUpstreams();
  });
}

bool gateway_host::state::isReady() const {
  return !Draining.load() && Configuration.current() && Upstreams.known();
}

void gateway_host::state::serveReady(http_exchange &Exchange) const {
  const bool Ready = isReady();
  Exchange.respond({Ready ? HttpOk : HttpUnavailable, {}},
                   Ready ? "ready\n" : "not ready\n");
}

void gateway_host::state::startServing() {
  const http_handler ShowMetrics = [this](http_exchange &Exchange) {
    if (pathOf(Exchange.request().Target) != "/metrics")
      throw spindle_error(result_code::NoRoute, "only /metrics is served here");
    Exchange.respond({HttpOk, {{"Content-Type", "text/plain; version=0.0.4"}}},
                     Metrics.toText());
  };
  MetricsServer.emplace(Runtime, Settings.Metrics, http_server_limits{},
                        ShowMetrics, writeErrorResponse);
  ReadyServer.emplace(
      Runtime, Settings.Ready, http_server_limits{},
      [this](http_exchange &Exchange) { serveReady(Exchange); },
      writeErrorResponse);
  const http_handler Serve = [this](http_exchange &Exchange) {
    forwardRequest(Services, Exchange);
  };
  const http_error_writer Refuse = [this](http_exchange &Exchange,
                                          const std::exception &Error) {
    const spindle_error *const Known =
        dynamic_cast<const spindle_error *>(&Error);
    Metrics.count("spindle_refused_total",
                  {{"code", Known ? std::string(describe(Known->code()).Name)
                                  : "Internal"}});
    logEvent(log_event::RequestRefused,
             {{"path", std::string(pathOf(Exchange.request().Target))},
              {"reason", Error.what()}});
    writeErrorResponse(Exchange, Error);
  };
  CallerServer.emplace(Runtime, Settings.Callers, http_server_limits{}, Serve,
                       Refuse);
}

/// Gives back the lead and the registration. A lead that nobody can follow
/// stays until \p Until, so that the zone's engines get their orders.
void gateway_host::state::leave(time_point Until) {
  while (!Hub.leave(Clock.now() >= Until - LeavePause) && Clock.now() < Until)
    sleepFor(LeavePause);
  Left.store(true);
}

void gateway_host::state::runDrain() {
  logEvent(log_event::DrainStarted, {});
  const time_point Until = Clock.now() + Settings.DrainLimit - LeaveTime;
  Runtime.spawn([this, Until] { leave(Until); });
  CallerServer->startDrain();
  sleepFor(Settings.DrainDelay);
  // A request that came later on a kept connection might not end in time.
  CallerServer->closeIdle();
  waitUntilQuiet(*CallerServer, Clock, QuietBeforeClose, Until);
  if (CallerServer->runningExchanges() > 0)
    logEvent(log_event::DrainLimitReached, {});
  while (!Left.load() && Clock.now() < Until + LeavePause)
    sleepFor(DrainStep);
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
  if (State->Draining.exchange(true))
    return;
  State->Runtime.spawn([this] { State->runDrain(); });
}

bool gateway_host::drained() const { return State->Drained.load(); }

} // namespace spindle
