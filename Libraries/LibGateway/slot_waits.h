#ifndef PARSLEYSPINDLE_LIBGATEWAY_SLOT_WAITS_H
#define PARSLEYSPINDLE_LIBGATEWAY_SLOT_WAITS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_controller_ports.h"
#include "LibGateway/adapter_loads.h"
#include "LibGateway/adapter_location.h"
#include "LibGateway/engine_orders.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/managed_engines.h"
#include "LibGateway/placement_decision.h"
#include "LibGateway/slot_queue_position.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace spindle {

/// Requests that need an adapter on an engine wait here until one has it. All
/// methods are thread-safe.
class slot_waits {
public:
  /// All arguments must outlive this object.
  slot_waits(const runtime_clock &Clock, fleet_table &Fleet,
             const adapter_controller_ports &Ports, managed_engines &Engines,
             engine_orders &Orders, adapter_loads &Loads);

  /// See adapter_controller::hold().
  std::optional<adapter_location> hold(const versioned_adapter &Wanted,
                                       const slot_request &SlotRequest,
                                       time_point Until);
  /// See adapter_controller::othersWaitForSlots().
  bool othersWait(const std::string &Service,
                  const adapter_name &Adapter) const;

private:
  /// The engines that a request names, as found in the fleet.
  struct named_engines {
    /// Those that this host controls and whose state is current.
    std::vector<managed_engine_pointer> Usable;
    bool AnyRegistered = false;
    bool AnyControlled = false;
    /// The state of some is being read.
    bool AnyResyncing = false;
  };

  slot_queue &queueFor(const slot_request &SlotRequest);
  named_engines findEngines(const slot_request &SlotRequest);
  std::vector<managed_engine_pointer>
  usableEngines(const slot_request &SlotRequest);
  placement_decision decide(std::span<const managed_engine_pointer> Usable,
                            const versioned_adapter &Wanted,
                            const slot_queue &Queue) const;
  std::optional<adapter_location>
  takeStep(std::span<const managed_engine_pointer> Usable,
           const versioned_adapter &Wanted, slot_queue_position &Position);

  const runtime_clock &Clock;
  fleet_table &Fleet;
  const adapter_controller_ports &Ports;
  managed_engines &Engines;
  engine_orders &Orders;
  adapter_loads &Loads;
  /// Keyed by service. Guarded by the engines' Mutex.
  std::map<std::string, slot_queue> Queues;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SLOT_WAITS_H
