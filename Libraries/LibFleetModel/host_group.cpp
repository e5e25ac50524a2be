#include "LibFleetModel/host_group.h"

#include "LibFleetModel/request_source.h"

namespace spindle {

std::string zoneName(std::size_t Zone) { return "z" + std::to_string(Zone); }

void host_group::add(std::size_t Zone, const upstream_ranking &Rank,
                     std::int64_t CacheTokens) {
  Members.push_back(
      {Zone, std::make_unique<fleet_table>(Clock, zoneName(Zone), Rank)});
  Members.back().Table->setCacheTokens(ServiceName, CacheTokens);
}

void host_group::exchangeLoads() {
  // The present exchange, the one before it, and one more.
  static constexpr std::size_t MostKept = 3;
  group_loads Present;
  for (const member &Member : Members)
    Present.push_back(Member.Table->localLoads());
  RecentLoads.push_back(std::move(Present));
  if (RecentLoads.size() > MostKept)
    RecentLoads.pop_front();
  const std::size_t Newest = RecentLoads.size() - 1;
  const group_loads &Last = RecentLoads[Newest > 0 ? Newest - 1 : 0];
  const group_loads &BeforeLast = RecentLoads.front();
  for (std::size_t Host = 0; Host < Members.size(); ++Host) {
    host_loads Elsewhere;
    for (std::size_t Other = 0; Other < Members.size(); ++Other) {
      if (Other == Host)
        continue;
      const bool SameZone = zoneOf(Other) == zoneOf(Host);
      const host_loads &Loads = (SameZone ? Last : BeforeLast)[Other];
      Elsewhere.insert(Elsewhere.end(), Loads.begin(), Loads.end());
    }
    tableOf(Host).setRemoteLoads(Elsewhere);
  }
}

void host_group::exchangeSlots(
    std::span<const std::unique_ptr<zone_model>> Zones) {
  std::vector<adapter_use> Uses;
  for (const member &Member : Members) {
    const std::vector<adapter_use> Own = Member.Table->adaptersInUse();
    Uses.insert(Uses.end(), Own.begin(), Own.end());
  }
  for (const std::unique_ptr<zone_model> &Zone : Zones) {
    Zone->setInUse(Uses);
    for (const available_slots &Slots : Zone->availableSlots())
      for (const member &Member : Members)
        Member.Table->noteAvailableSlots(Slots);
  }
}

void host_group::applyEngines(
    const engine_group &Engines,
    std::span<const std::unique_ptr<zone_model>> Zones,
    std::uint32_t BatchSlots) {
  std::vector<upstream_pointer> Entries;
  for (const engine_group::member &Engine : Engines.all()) {
    if (Engine.Removed)
      continue;
    const std::shared_ptr<upstream_entry> Entry =
        std::make_shared<upstream_entry>();
    Entry->Name = Engine.Name;
    Entry->Id = Engine.Id;
    Entry->Service = ServiceName;
    Entry->Zone = zoneName(Engine.Zone);
    Entry->Slots = BatchSlots;
    Entry->Models = {ModelName};
    Entry->StartedAt = static_cast<std::int64_t>(Engine.Incarnation);
    Entry->Adapters = Zones[Engine.Zone]->loadedAt(Engine.Id);
    Entries.push_back(Entry);
  }
  for (const member &Member : Members)
    Member.Table->applyUpstreams(Entries);
}

} // namespace spindle
