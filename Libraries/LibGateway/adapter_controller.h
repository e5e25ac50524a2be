#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_slots.h"
#include "LibGateway/engine_order_port.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/placement_decision.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include <boost/fiber/mutex.hpp>

namespace spindle {

/// The interfaces of an adapter_controller to the rest of the host.
struct adapter_controller_ports {
  engine_order_port Orders;
  std::function<void(std::function<void()>)> Spawn;
  /// Returns the fencing token for orders to the zone's engines; none if this
  /// host is not the zone's leader.
  std::function<std::optional<std::uint64_t>(std::string_view Zone)>
      FencingToken;
  /// Called when an engine has received a higher fencing token than
  /// \p FencingToken.
  std::function<void(std::uint64_t FencingToken)> OnFenced;
  /// Returns the newest announced version of an adapter, 0 if there is none.
  std::function<std::uint64_t(const adapter_name &)> NewestVersion;
  /// Returns the number of adapter slots of an engine of the service.
  std::function<std::size_t(std::string_view Service)> Capacity;
  /// Returns the base model that an engine of the service without a model
  /// should load; empty for a service without models.
  std::function<std::string(std::string_view Service)> ModelForEmptyEngine;
  /// Returns whether the rate limit of the weight store permits loading a base
  /// model now; if so, counts the load.
  std::function<bool()> TryAcquireModelLoad;
  /// The name by which this host identifies itself to engines.
  std::string Holder;
};

/// An adapter and the engine on which it is loaded.
struct adapter_location {
  upstream_id Engine;
  versioned_adapter Adapter;
};

/// What it takes to serve requests for an adapter on one engine.
struct adapter_outlook {
  slot_outlook Slots;
  /// Whether the engine probably has a copy of the adapter in its memory.
  bool LikelyHasCopy = false;
};

/// Loads and unloads adapters on the engines of a zone while this host is the
/// zone's leader. All methods are thread-safe.
class adapter_controller {
public:
  /// \p Clock and \p Fleet must outlive the controller.
  adapter_controller(const runtime_clock &Clock, fleet_table &Fleet,
                     adapter_controller_ports Ports);
  ~adapter_controller();
  adapter_controller(const adapter_controller &) = delete;
  adapter_controller &operator=(const adapter_controller &) = delete;

  /// Ensures that one of the engines has the adapter at \p Wanted's version or
  /// a newer one, and keeps it loaded for HoldTerm. Waits until \p Until for a
  /// slot and the load; returns none on timeout. Blocks the fiber.
  /// Precondition: all engines belong to the same zone and service.
  /// \throws spindle_error NotOwner, NoUpstream, or AdapterNotLoaded if no
  /// engine will have it before the request expires.
  std::optional<adapter_location> hold(const versioned_adapter &Wanted,
                                       const slot_request &SlotRequest,
                                       time_point Until);
  /// Returns what it takes to serve requests for \p Wanted on each of the
  /// engines, in their order. An engine whose state is not known, or which
  /// answers no orders, is unavailable for a further adapter.
  std::vector<adapter_outlook>
  outlooks(std::span<const upstream_pointer> Entries,
           const versioned_adapter &Wanted);
  /// Whether adapters other than \p Adapter wait for a slot of the service's
  /// engines.
  bool othersWaitForSlots(const std::string &Service,
                          const adapter_name &Adapter) const;
  /// Keeps the adapter loaded on the engine for HoldTerm if it is, and returns
  /// its version; also while the engine answers no orders.
  std::optional<std::uint64_t> holdLoaded(upstream_id Engine,
                                          const versioned_adapter &Wanted);
  /// Returns the number of adapters that each engine under this host's control
  /// could load now.
  std::vector<available_slots> listAvailableSlots() const;
  /// Records that the engine refused a request because the adapter is not
  /// loaded.
  void noteMissing(upstream_id Engine, const adapter_name &Name);
  /// Replaces the set of adapters that have requests in flight on any host.
  void setInUse(std::span<const adapter_use> Uses);
  /// Loads a base model on the zone's engines that have none.
  void loadModels();
  /// Loads the newest announced version of adapters where engines have an older
  /// one.
  void upgradeAdapters();

private:
  struct managed_engine;
  using engine_pointer = std::shared_ptr<managed_engine>;
  class queue_position;

  std::vector<engine_pointer> usableEngines(const slot_request &SlotRequest);
  std::optional<adapter_location>
  tryHold(std::span<const engine_pointer> Engines,
          const versioned_adapter &Wanted, queue_position &Position);
  engine_pointer engineFor(const upstream_pointer &Entry);
  void startLoad(const engine_pointer &Engine,
                 const versioned_adapter &Adapter);
  void startUnload(const engine_pointer &Engine,
                   const versioned_adapter &Victim);
  order_outcome order(managed_engine &Engine, order_action Action,
                      const versioned_adapter &Adapter, bool IsRepeat);
  void runLoad(managed_engine &Engine, const versioned_adapter &Adapter);
  void runModelLoad(managed_engine &Engine, const std::string &Model);
  void runUnload(managed_engine &Engine, const versioned_adapter &Victim);
  void waitUntilLoaded(managed_engine &Engine,
                       const versioned_adapter &Adapter);
  bool resync(managed_engine &Engine);
  void startResync(const engine_pointer &Engine);
  bool isUnresponsive(const managed_engine &Engine) const;
  bool isOverCapacity(const managed_engine &Engine) const;
  void applyOrderOutcome(managed_engine &Engine, order_action Action,
                         order_outcome Outcome, bool IsRepeat);
  milliseconds expectedLoadTime() const;
  void recordLoadTime(nanoseconds Took);

  const runtime_clock &Clock;
  fleet_table &Fleet;
  const adapter_controller_ports Ports;
  mutable std::mutex Mutex;
  std::map<upstream_id, engine_pointer> Engines;
  /// Keyed by service.
  std::map<std::string, slot_queue> Queues;
  double AverageLoadMilliseconds = 240;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_H
