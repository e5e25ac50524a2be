#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_controller_ports.h"
#include "LibGateway/adapter_loads.h"
#include "LibGateway/adapter_location.h"
#include "LibGateway/adapter_outlook.h"
#include "LibGateway/engine_orders.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/managed_engines.h"
#include "LibGateway/model_loads.h"
#include "LibGateway/placement_decision.h"
#include "LibGateway/slot_waits.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace spindle {

/// Loads and unloads adapters on the engines of a zone while this host is the
/// zone's leader. All methods are thread-safe.
class adapter_controller {
public:
  /// \p Clock and \p Fleet must outlive the controller.
  adapter_controller(const runtime_clock &Clock, fleet_table &Fleet,
                     adapter_controller_ports Ports);
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
  const runtime_clock &Clock;
  fleet_table &Fleet;
  const adapter_controller_ports Ports;
  managed_engines Engines;
  engine_orders Orders;
  adapter_loads Loads;
  model_loads ModelLoads;
  slot_waits Waits;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_H
