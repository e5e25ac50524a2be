#include "LibHost/engine_table.h"

#include <algorithm>
#include <map>
#include <mutex>

namespace spindle {

/// The cost of leaving this host's zone, apart from the network, so that among
/// equally good engines one in this zone is chosen.
static constexpr double OtherZoneMilliseconds = 3;
static constexpr double OtherRegionMilliseconds = 60;

struct engine_table::state {
  state(const runtime_clock &Clock, zone_id OwnZone, std::uint64_t Seed)
      : Clock(Clock), OwnZone(OwnZone), Random(Seed) {}

  const runtime_clock &Clock;
  zone_id OwnZone;
  mutable std::mutex Mutex;
  std::mt19937_64 Random;
  routing_policy Policy = routing_policy::Residency;
  routing_table Table;
  std::vector<time_point> ReportTimes;
  std::map<engine_index, std::vector<adapter_id>> SitesOfEngine;

  routed_engine *find(upstream_id Upstream) {
    const auto Found = Table.Index.find(Upstream);
    return Found == Table.Index.end() ? nullptr : &Table.Engines[Found->second];
  }
  engine_index add(const upstream_declaration &Upstream, double Distance);
  void addModels(const configuration_snapshot &Configuration);
  void setLoadRate(const configuration_snapshot &Configuration);
  void replaceSites(engine_index Engine, const engine_status &Status);
};

engine_table::engine_table(const runtime_clock &Clock, zone_id OwnZone,
                           std::uint64_t Seed)
    : State(std::make_unique<state>(Clock, OwnZone, Seed)) {}

engine_table::~engine_table() = default;

static double distance(const configuration_snapshot &Configuration,
                       zone_id OwnZone, std::string_view Zone) {
  if (zone_id::ofName(Zone) == OwnZone)
    return 0;
  std::string_view OwnRegion;
  std::string_view Region;
  for (const zone_declaration &Declared : Configuration.zones()) {
    if (zone_id::ofName(Declared.Name) == OwnZone)
      OwnRegion = Declared.Region;
    if (Declared.Name == Zone)
      Region = Declared.Region;
  }
  return Region == OwnRegion ? OtherZoneMilliseconds : OtherRegionMilliseconds;
}

engine_index engine_table::state::add(const upstream_declaration &Upstream,
                                      double Distance) {
  const upstream_id Id = upstream_id::ofName(Upstream.Name);
  const auto [Found, IsNew] = Table.Index.try_emplace(
      Id, static_cast<engine_index>(Table.Engines.size()));
  if (IsNew) {
    Table.Engines.emplace_back();
    ReportTimes.emplace_back();
  }
  routed_engine &Engine = Table.Engines[Found->second];
  Engine.Id = Id;
  Engine.Load.BatchSize = Upstream.BatchSize;
  Engine.DistanceMilliseconds = Distance;
  return Found->second;
}

void engine_table::state::addModels(
    const configuration_snapshot &Configuration) {
  std::unordered_map<std::string, model_engines> Models;
  std::unordered_map<std::string, std::vector<std::uint32_t>> Slots;
  for (const upstream_declaration &Upstream : Configuration.upstreams()) {
    const engine_index Engine =
        add(Upstream, distance(Configuration, OwnZone, Upstream.Zone));
    if (Upstream.Kind != upstream_kind::Engine)
      continue;
    Models[Upstream.Model].Engines.push_back(Engine);
    Slots[Upstream.Model].push_back(Upstream.Slots);
  }
  for (auto &[Name, Model] : Models) {
    const auto Old = Table.Models.find(Name);
    if (Old != Table.Models.end() && Old->second.Engines == Model.Engines)
      Model.Preferred = std::move(Old->second.Preferred);
    else
      rankEngines(Table, Model, Slots[Name]);
  }
  Table.Models = std::move(Models);
}

void engine_table::state::setLoadRate(
    const configuration_snapshot &Configuration) {
  double Slots = 0;
  for (const upstream_declaration &Upstream : Configuration.upstreams())
    if (Upstream.Kind == upstream_kind::Engine)
      Slots += Upstream.Slots;
  const double Rate = Configuration.policy().WeightStoreLoadsPerSecond;
  if (Rate <= 0)
    return;
  Table.LoadsPerSecond = Rate;
  Table.TurnoverSeconds = Slots / Rate;
}

void engine_table::applyConfiguration(
    const configuration_snapshot &Configuration) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  State->Policy = parseRoutingPolicy(Configuration.policy().Routing)
                      .value_or(routing_policy::Residency);
  State->addModels(Configuration);
  State->setLoadRate(Configuration);
}

void engine_table::applyView(const host_view &View) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  for (routed_engine &Engine : State->Table.Engines)
    Engine.Draining = std::ranges::find(View.DrainingUpstreams, Engine.Id) !=
                      View.DrainingUpstreams.end();
}

std::optional<route_choice>
engine_table::chooseEngine(std::string_view Model, adapter_id Adapter,
                           std::uint64_t PrefixHash, tokens Prompt,
                           std::span<const upstream_id> Avoid) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  const route_query Query{Model,        Adapter, PrefixHash,
                          Prompt.Count, Avoid,   State->Clock.now()};
  return spindle::chooseEngine(State->Table, State->Policy, Query,
                               State->Random);
}

std::optional<upstream_id> engine_table::chooseService(
    std::span<const upstream_declaration *const> Upstreams,
    std::span<const upstream_id> Avoid) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  std::vector<engine_index> Candidates;
  for (const upstream_declaration *Upstream : Upstreams) {
    const auto Found =
        State->Table.Index.find(upstream_id::ofName(Upstream->Name));
    if (Found != State->Table.Index.end())
      Candidates.push_back(Found->second);
  }
  route_query Query;
  Query.Avoid = Avoid;
  const std::optional<engine_index> Chosen =
      spindle::chooseService(State->Table, Candidates, Query, State->Random);
  if (!Chosen)
    return std::nullopt;
  return State->Table.Engines[*Chosen].Id;
}

void engine_table::noteDispatch(upstream_id Upstream) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  if (routed_engine *Engine = State->find(Upstream))
    spindle::noteDispatch(Engine->Load, State->Clock.now());
}

void engine_table::noteFinish(upstream_id Upstream, nanoseconds Service) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  if (routed_engine *Engine = State->find(Upstream))
    spindle::noteFinish(Engine->Load, Service, State->Clock.now());
}

void engine_table::notePrefix(upstream_id Engine, std::uint64_t PrefixHash,
                              bool Stored) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  const auto Found = State->Table.Index.find(Engine);
  if (Found == State->Table.Index.end())
    return;
  if (Stored)
    spindle::notePrefix(State->Table.Prefixes, PrefixHash, Found->second,
                        State->Clock.now());
  else
    erasePrefix(State->Table.Prefixes, PrefixHash, Found->second);
}

void engine_table::setHealth(upstream_id Upstream, double Health) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  if (routed_engine *Engine = State->find(Upstream))
    Engine->Health = std::clamp(Health, 0.0, 1.0);
}

void engine_table::state::replaceSites(engine_index Engine,
                                       const engine_status &Status) {
  std::vector<adapter_id> &Sites = SitesOfEngine[Engine];
  for (const adapter_id Adapter : Sites)
    eraseSite(Table, Adapter, Engine);
  Sites.clear();
  for (const adapter_id Adapter : Status.Loading)
    setSite(Table, Adapter, Engine, adapter_presence::Loading);
  for (const adapter_id Adapter : Status.Loaded)
    setSite(Table, Adapter, Engine, adapter_presence::Resident);
  Sites.insert(Sites.end(), Status.Loading.begin(), Status.Loading.end());
  Sites.insert(Sites.end(), Status.Loaded.begin(), Status.Loaded.end());
}

void engine_table::noteEngineStatus(const engine_status &Status) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  const auto Found = State->Table.Index.find(Status.Engine);
  if (Found == State->Table.Index.end() ||
      Status.ReportedAt < State->ReportTimes[Found->second])
    return;
  State->ReportTimes[Found->second] = Status.ReportedAt;
  routed_engine &Engine = State->Table.Engines[Found->second];
  noteReport(Engine.Load, Status.Running, Status.Waiting, Status.ReportedAt);
  Engine.EvictableSlots = Status.EvictableSlots;
  Engine.LoadWaitMilliseconds = Status.LoadWaitMilliseconds;
  Engine.VictimUsesPerSecond = Status.VictimUsesPerSecond;
  State->replaceSites(Found->second, Status);
}

void engine_table::noteLoadRequested(upstream_id Engine, adapter_id Adapter) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  const auto Found = State->Table.Index.find(Engine);
  if (Found == State->Table.Index.end() ||
      presenceAt(State->Table, Adapter, Found->second))
    return;
  setSite(State->Table, Adapter, Found->second, adapter_presence::Requested);
}

void engine_table::noteLoadResult(upstream_id Engine, adapter_id Adapter,
                                  bool Loaded) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  const auto Found = State->Table.Index.find(Engine);
  if (Found == State->Table.Index.end())
    return;
  if (!Loaded) {
    if (presenceAt(State->Table, Adapter, Found->second) ==
        adapter_presence::Requested)
      eraseSite(State->Table, Adapter, Found->second);
    return;
  }
  setSite(State->Table, Adapter, Found->second, adapter_presence::Resident);
  std::vector<adapter_id> &Sites = State->SitesOfEngine[Found->second];
  if (std::ranges::find(Sites, Adapter) == Sites.end())
    Sites.push_back(Adapter);
}

std::uint32_t engine_table::load(upstream_id Upstream) const {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  const routed_engine *Engine = State->find(Upstream);
  return Engine == nullptr ? 0 : correctedLoad(Engine->Load);
}

std::uint32_t engine_table::localInFlight(upstream_id Upstream) const {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  const routed_engine *Engine = State->find(Upstream);
  return Engine == nullptr ? 0 : Engine->Load.LocalInFlight;
}

} // namespace spindle
