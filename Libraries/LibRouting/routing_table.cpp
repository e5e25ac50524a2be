#include "LibRouting/routing_table.h"

#include <algorithm>
#include <cmath>

namespace spindle {

/// Mixes the bits of a hash (one step of SplitMix64).
static std::uint64_t mix(std::uint64_t Value) {
  Value += 0x9e3779b97f4a7c15;
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111eb;
  return Value ^ (Value >> 31);
}

/// The weighted rendezvous score: -weight / ln(u), u uniform in (0, 1).
static double rendezvousScore(std::uint64_t Bucket, upstream_id Engine,
                              std::uint32_t Weight) {
  const std::uint64_t Hash = mix(Engine.Value ^ mix(Bucket));
  const double Uniform = (static_cast<double>(Hash >> 11) + 0.5) * 0x1.0p-53;
  return -static_cast<double>(Weight) / std::log(Uniform);
}

void rankEngines(const routing_table &Table, model_engines &Model,
                 std::span<const std::uint32_t> Slots) {
  Model.Preferred.assign(model_engines::Buckets, {});
  for (std::size_t Bucket = 0; Bucket < model_engines::Buckets; ++Bucket) {
    std::array<engine_index, model_engines::Ranks> &Best =
        Model.Preferred[Bucket];
    std::array<double, model_engines::Ranks> Scores{};
    Best.fill(NoEngine);
    for (std::size_t Place = 0; Place < Model.Engines.size(); ++Place) {
      engine_index Engine = Model.Engines[Place];
      double Score =
          rendezvousScore(Bucket, Table.Engines[Engine].Id, Slots[Place]);
      for (std::size_t Rank = 0; Rank < Best.size(); ++Rank) {
        if (Best[Rank] != NoEngine && Score <= Scores[Rank])
          continue;
        std::swap(Best[Rank], Engine);
        std::swap(Scores[Rank], Score);
        if (Engine == NoEngine)
          break;
      }
    }
  }
}

std::span<const engine_index> preferredEngines(const model_engines &Model,
                                               adapter_id Adapter) {
  if (Model.Preferred.empty())
    return {};
  const std::size_t Bucket = mix(Adapter.Value) % model_engines::Buckets;
  return Model.Preferred[Bucket];
}

void setSite(routing_table &Table, adapter_id Adapter, engine_index Engine,
             adapter_presence Presence) {
  std::vector<adapter_site> &Sites = Table.Sites[Adapter];
  const auto Found = std::ranges::find(Sites, Engine, &adapter_site::Engine);
  if (Found == Sites.end())
    Sites.push_back({Engine, Presence});
  else
    Found->Presence = Presence;
}

void eraseSite(routing_table &Table, adapter_id Adapter, engine_index Engine) {
  const auto Found = Table.Sites.find(Adapter);
  if (Found == Table.Sites.end())
    return;
  std::erase_if(Found->second, [Engine](const adapter_site &Site) {
    return Site.Engine == Engine;
  });
  if (Found->second.empty())
    Table.Sites.erase(Found);
}

std::span<const adapter_site> sitesOf(const routing_table &Table,
                                      adapter_id Adapter) {
  const auto Found = Table.Sites.find(Adapter);
  if (Found == Table.Sites.end())
    return {};
  return Found->second;
}

std::optional<adapter_presence> presenceAt(const routing_table &Table,
                                           adapter_id Adapter,
                                           engine_index Engine) {
  const std::span<const adapter_site> Sites = sitesOf(Table, Adapter);
  const auto Found = std::ranges::find(Sites, Engine, &adapter_site::Engine);
  if (Found == Sites.end())
    return std::nullopt;
  return Found->Presence;
}

} // namespace spindle
