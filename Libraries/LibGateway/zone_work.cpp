#include "LibGateway/zone_work.h"

#include <algorithm>

namespace spindle {

static constexpr milliseconds DropInterval{1'000};
// The part of an engine's memory that holds the parts of earlier prompts.
static constexpr double CachedPartsShare = 0.7;

engine_placements &placementsOn(zone_work &Zone, const upstream_entry &Entry,
                                std::int64_t CacheTokens, time_point Now) {
  engine_placements &Engine = Zone.Engines[Entry.Id];
  if (Engine.StartedAt != Entry.StartedAt)
    Engine = engine_placements{};
  Engine.StartedAt = Entry.StartedAt;
  Engine.Prompts.setCapacity(static_cast<std::int64_t>(
      static_cast<double>(CacheTokens) * CachedPartsShare));
  dropEnded(Engine.Work, Now);
  return Engine;
}

engine_placements *findPlacements(zone_work &Zone, upstream_id Engine) {
  const auto Found = Zone.Engines.find(Engine);
  return Found == Zone.Engines.end() ? nullptr : &Found->second;
}

void dropRemovedEngines(zone_work &Zone, const fleet_table &Fleet,
                        time_point Now) {
  if (Now < Zone.NextDropAt)
    return;
  Zone.NextDropAt = Now + DropInterval;
  std::erase_if(Zone.Engines, [&Fleet](const auto &Entry) {
    return Fleet.find(Entry.first) == nullptr;
  });
}

std::size_t countPlacedRequests(const zone_work &Zone, time_point Now) {
  std::size_t Count = 0;
  for (const auto &[Id, Engine] : Zone.Engines)
    Count += static_cast<std::size_t>(std::count_if(
        Engine.Work.Requests.begin(), Engine.Work.Requests.end(),
        [Now](const placed_request &Each) { return Each.EndsAt > Now; }));
  return Count;
}

} // namespace spindle
