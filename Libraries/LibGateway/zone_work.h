#ifndef PARSLEYSPINDLE_LIBGATEWAY_ZONE_WORK_H
#define PARSLEYSPINDLE_LIBGATEWAY_ZONE_WORK_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/engine_placements.h"
#include "LibGateway/fleet_table.h"
#include "LibScheduling/prompt_queue.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>

namespace spindle {

/// The requests of a zone, as its leader has placed them on engines, and those
/// that wait for one. All fields are guarded by Mutex.
struct zone_work {
  mutable std::mutex Mutex;
  std::map<upstream_id, engine_placements> Engines;
  /// The last ticket of any engine.
  std::uint64_t LastTicket = 0;
  /// When engines that have left are dropped next.
  time_point NextDropAt;
  prompt_queue Queue;
};

/// Precondition of the functions below: Mutex is held.

/// Returns the placements on an engine, without those that have ended. An
/// engine that has started since begins with none.
/// \param CacheTokens the size of the engine's memory.
engine_placements &placementsOn(zone_work &Zone, const upstream_entry &Entry,
                                std::int64_t CacheTokens, time_point Now);
/// Returns null if nothing was placed on the engine.
engine_placements *findPlacements(zone_work &Zone, upstream_id Engine);
/// Drops the engines that have left the fleet, once every DropInterval.
void dropRemovedEngines(zone_work &Zone, const fleet_table &Fleet,
                        time_point Now);
/// The number of placed requests that have not ended.
std::size_t countPlacedRequests(const zone_work &Zone, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ZONE_WORK_H
