#include "LibRouting/route_choice.h"

#include <algorithm>

namespace spindle {

/// The most sites of one adapter that are compared; of more, as many
/// consecutive ones from a random start are taken.
static constexpr std::size_t MaxSitesCompared = 8;
/// How many randomly drawn upstreams of a service are compared.
static constexpr std::size_t MaxServicesCompared = 2;
/// Random draws for an eligible engine before all engines are searched.
static constexpr int MaxRandomDraws = 8;
/// Bounds the cost that a load imposes on others, so that an adapter whose
/// engine is overloaded gets a replica even when loads are scarce.
static constexpr double MaxContention = 8;
static constexpr double MinHealth = 0.01;

/// The best candidate so far.
struct best_engine {
  engine_index Engine = NoEngine;
  std::optional<adapter_presence> Presence;
  double Cost = 0;
};

static bool isEligible(const routed_engine &Engine, const route_query &Query) {
  return !Engine.Draining && Engine.Health >= MinHealth &&
         std::ranges::find(Query.Avoid, Engine.Id) == Query.Avoid.end();
}

/// The delay that one more load adds to all others waiting for loads. For loads
/// served one after another at a rate m with utilization r, the mean wait
/// W = r / (2 m (1 - r)) gives r. The delay that one more load adds is the
/// derivative of the total wait, x (x + 2) / (2 m) with x = 2 m W.
static double costToOthersMilliseconds(const routing_table &Table,
                                       double Load) {
  const double WaitSeconds =
      std::max(0.0, Load - Table.LoadMilliseconds) / 1'000;
  const double Contention =
      std::min(MaxContention, 2 * Table.LoadsPerSecond * WaitSeconds);
  return 1'000 * Contention * (Contention + 2) / (2 * Table.LoadsPerSecond);
}

/// The expected wait until the adapter is loaded.
static double loadMilliseconds(const routing_table &Table,
                               const routed_engine &Engine,
                               std::optional<adapter_presence> Presence) {
  if (Presence == adapter_presence::Resident)
    return 0;
  if (Presence == adapter_presence::Loading)
    return Table.LoadMilliseconds;
  const double Load =
      std::max(Engine.LoadWaitMilliseconds, Table.LoadMilliseconds);
  if (Presence == adapter_presence::Requested)
    return Load;
  // The evicted adapter will probably have to be loaded again.
  const double CostToOthers = costToOthersMilliseconds(Table, Load);
  const double ReloadCost =
      (Load + CostToOthers) *
      std::min(1.0, Engine.VictimUsesPerSecond * Table.TurnoverSeconds);
  const double SlotWait =
      Engine.EvictableSlots == 0 ? Engine.Load.ServiceMilliseconds : 0;
  return Load + CostToOthers + ReloadCost + SlotWait;
}

double expectedMilliseconds(const routing_table &Table, engine_index Engine,
                            std::optional<adapter_presence> Presence,
                            const route_query &Query) {
  const routed_engine &Candidate = Table.Engines[Engine];
  const bool Cached =
      hasPrefix(Table.Prefixes, Query.PrefixHash, Engine, Query.Now);
  const double Prefill = Cached ? 0
                                : static_cast<double>(Query.PromptTokens) *
                                      Table.PrefillMillisecondsPerToken;
  const double Wait = expectedWaitMilliseconds(Candidate.Load);
  const double Load = loadMilliseconds(Table, Candidate, Presence);
  // The waits for the batch and for the load overlap.
  return (std::max(Wait, Load) + Prefill) /
             std::max(Candidate.Health, MinHealth) +
         Candidate.DistanceMilliseconds;
}

/// Requests per batch slot. Added to the cost, it breaks ties in favour of the
/// less loaded engine.
static double relativeLoad(const routed_engine &Engine) {
  const double Requests = correctedLoad(Engine.Load);
  return Requests / std::max(1U, Engine.Load.BatchSize);
}

static void consider(const routing_table &Table, const route_query &Query,
                     engine_index Engine,
                     std::optional<adapter_presence> Presence,
                     best_engine &Best) {
  if (Engine == NoEngine || !isEligible(Table.Engines[Engine], Query))
    return;
  const double Cost = expectedMilliseconds(Table, Engine, Presence, Query) +
                      relativeLoad(Table.Engines[Engine]);
  if (Best.Engine == NoEngine || Cost < Best.Cost)
    Best = {Engine, Presence, Cost};
}

static engine_index drawEngine(std::span<const engine_index> Engines,
                               std::mt19937_64 &Random) {
  return Engines[Random() % Engines.size()];
}

static std::optional<engine_index>
searchAll(const routing_table &Table, std::span<const engine_index> Engines,
          const route_query &Query, std::mt19937_64 &Random) {
  const std::size_t Start = Random() % Engines.size();
  for (std::size_t Step = 0; Step < Engines.size(); ++Step) {
    const engine_index Engine = Engines[(Start + Step) % Engines.size()];
    if (isEligible(Table.Engines[Engine], Query))
      return Engine;
  }
  return std::nullopt;
}

static std::optional<engine_index>
chooseRandom(const routing_table &Table, std::span<const engine_index> Engines,
             const route_query &Query, std::mt19937_64 &Random) {
  for (int Draw = 0; Draw < MaxRandomDraws; ++Draw) {
    const engine_index Engine = drawEngine(Engines, Random);
    if (isEligible(Table.Engines[Engine], Query))
      return Engine;
  }
  return searchAll(Table, Engines, Query, Random);
}

static std::optional<engine_index>
chooseLeastLoaded(const routing_table &Table,
                  std::span<const engine_index> Engines,
                  const route_query &Query) {
  std::optional<engine_index> Best;
  double Least = 0;
  for (const engine_index Engine : Engines) {
    if (!isEligible(Table.Engines[Engine], Query))
      continue;
    const double RelativeLoad = relativeLoad(Table.Engines[Engine]);
    if (Best && RelativeLoad >= Least)
      continue;
    Best = Engine;
    Least = RelativeLoad;
  }
  return Best;
}

static std::optional<engine_index> chooseByHash(const routing_table &Table,
                                                const model_engines &Model,
                                                const route_query &Query,
                                                std::mt19937_64 &Random) {
  for (const engine_index Engine : preferredEngines(Model, Query.Adapter))
    if (Engine != NoEngine && isEligible(Table.Engines[Engine], Query))
      return Engine;
  return searchAll(Table, Model.Engines, Query, Random);
}

static void considerSites(const routing_table &Table, const route_query &Query,
                          std::span<const adapter_site> Sites,
                          std::mt19937_64 &Random, best_engine &Best) {
  const std::size_t Count = std::min(Sites.size(), MaxSitesCompared);
  const std::size_t Start =
      Sites.size() > MaxSitesCompared ? Random() % Sites.size() : 0;
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const adapter_site &Site = Sites[(Start + Step) % Sites.size()];
    consider(Table, Query, Site.Engine, Site.Presence, Best);
  }
}

static std::optional<engine_index> chooseByResidency(const routing_table &Table,
                                                     const model_engines &Model,
                                                     const route_query &Query,
                                                     std::mt19937_64 &Random) {
  best_engine Best;
  const std::span<const adapter_site> Sites = sitesOf(Table, Query.Adapter);
  considerSites(Table, Query, Sites, Random, Best);
  for (const engine_index Engine : preferredEngines(Model, Query.Adapter))
    consider(Table, Query, Engine, presenceAt(Table, Query.Adapter, Engine),
             Best);
  if (Best.Engine == NoEngine)
    return searchAll(Table, Model.Engines, Query, Random);
  return Best.Engine;
}

static std::optional<engine_index> choose(const routing_table &Table,
                                          const model_engines &Model,
                                          routing_policy Policy,
                                          const route_query &Query,
                                          std::mt19937_64 &Random) {
  switch (Policy) {
  case routing_policy::Random:
    return chooseRandom(Table, Model.Engines, Query, Random);
  case routing_policy::LeastLoaded:
    return chooseLeastLoaded(Table, Model.Engines, Query);
  case routing_policy::ConsistentHash:
    return chooseByHash(Table, Model, Query, Random);
  case routing_policy::Residency:
    break;
  }
  return chooseByResidency(Table, Model, Query, Random);
}

std::optional<route_choice> chooseEngine(const routing_table &Table,
                                         routing_policy Policy,
                                         const route_query &Query,
                                         std::mt19937_64 &Random) {
  const auto Model = Table.Models.find(std::string(Query.Model));
  if (Model == Table.Models.end() || Model->second.Engines.empty())
    return std::nullopt;
  const std::optional<engine_index> Engine =
      choose(Table, Model->second, Policy, Query, Random);
  if (!Engine)
    return std::nullopt;
  const std::optional<adapter_presence> Presence =
      presenceAt(Table, Query.Adapter, *Engine);
  return route_choice{Table.Engines[*Engine].Id,
                      Presence == adapter_presence::Resident,
                      expectedMilliseconds(Table, *Engine, Presence, Query)};
}

std::optional<engine_index>
chooseService(const routing_table &Table,
              std::span<const engine_index> Services, const route_query &Query,
              std::mt19937_64 &Random) {
  best_engine Best;
  if (Services.empty())
    return std::nullopt;
  for (std::size_t Draw = 0; Draw < MaxServicesCompared; ++Draw)
    consider(Table, Query, drawEngine(Services, Random),
             adapter_presence::Resident, Best);
  if (Best.Engine == NoEngine)
    return searchAll(Table, Services, Query, Random);
  return Best.Engine;
}

} // namespace spindle
