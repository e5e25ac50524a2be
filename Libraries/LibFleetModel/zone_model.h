#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_ZONE_MODEL_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_ZONE_MODEL_H

#include "LibFleetModel/model_settings.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/placement_decision.h"

#include <functional>
#include <list>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace spindle {

/// Schedules work on the virtual clock.
using model_timer =
    std::function<void(time_point At, std::function<void()> Work)>;

/// The weight store: adapters that are fetched at the same time beyond a
/// number slow each other.
struct weight_store_model {
  std::uint32_t Fetching = 0;
  std::uint64_t Fetches = 0;
  std::uint64_t CopiesLoaded = 0;
};

/// The leader of a zone and the adapters in the zone's engines. It decides as
/// adapter_controller does; orders always succeed. Not thread-safe.
class zone_model {
public:
  zone_model(const model_fleet &Fleet, const runtime_clock &Clock,
             weight_store_model &Store, model_timer Timer);

  void addEngine(upstream_id Engine);
  /// Removes an engine's adapters, as it is gone or has restarted.
  void clearEngine(upstream_id Engine);
  /// Tries to hold the adapter that a request waits for. Returns the engine
  /// that holds it, if any. \p Ticket is the request's place in the queue, 0
  /// if it has none.
  /// \throws spindle_error if its turn would come too late.
  std::optional<upstream_id> tryHold(const adapter_name &Adapter,
                                     const slot_request &Request,
                                     std::uint64_t &Ticket);
  /// Removes a request from the queue, if it has a place there.
  void leave(const adapter_name &Adapter, std::uint64_t &Ticket);
  void setInUse(std::span<const adapter_use> Uses);
  std::vector<available_slots> availableSlots() const;
  /// The adapters that an engine has loaded.
  std::vector<versioned_adapter> loadedAt(upstream_id Engine) const;

private:
  struct zone_engine {
    adapter_slots Slots;
    /// The newest copy last.
    std::list<adapter_name> Copies;
    /// Counts restarts: loads from before one end without effect.
    std::uint64_t Incarnation = 0;
  };

  void startLoad(upstream_id Engine, const adapter_name &Adapter);
  void startUnload(upstream_id Engine, const adapter_name &Adapter);
  milliseconds loadTime(zone_engine &Engine, const adapter_name &Adapter,
                        bool &IsFetch);

  const model_fleet &Fleet;
  const runtime_clock &Clock;
  weight_store_model &Store;
  const model_timer Timer;
  std::map<upstream_id, zone_engine> Engines;
  slot_queue Queue;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_ZONE_MODEL_H
