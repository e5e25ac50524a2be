#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_LOADS_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_LOADS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_controller_ports.h"
#include "LibGateway/engine_orders.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/load_time_estimate.h"
#include "LibGateway/managed_engines.h"

namespace spindle {

/// Carries out loads and unloads of adapters: repeats each order until the
/// engine confirms it, and records the result in the engine's slots and in the
/// fleet table.
class adapter_loads {
public:
  /// All arguments must outlive this object.
  adapter_loads(const runtime_clock &Clock, fleet_table &Fleet,
                const adapter_controller_ports &Ports, managed_engines &Engines,
                engine_orders &Orders);

  /// Marks the adapter as loading and spawns a fiber that has it loaded.
  /// Precondition: the engines' Mutex is held.
  void startLoad(const managed_engine_pointer &Engine,
                 const versioned_adapter &Adapter);
  /// The same to unload it.
  void startUnload(const managed_engine_pointer &Engine,
                   const versioned_adapter &Victim);

private:
  void runLoad(managed_engine &Engine, const versioned_adapter &Adapter);
  void finishLoad(managed_engine &Engine, const versioned_adapter &Adapter,
                  order_outcome Outcome);
  void waitUntilLoaded(managed_engine &Engine,
                       const versioned_adapter &Adapter);
  bool repeatUntilLoaded(managed_engine &Engine,
                         const versioned_adapter &Adapter, time_point Start,
                         bool LikelyCached);
  bool noteFirstLoad(managed_engine &Engine, const adapter_name &Name);
  void runUnload(managed_engine &Engine, const versioned_adapter &Victim);
  bool repeatUntilUnloaded(managed_engine &Engine,
                           const versioned_adapter &Victim);

  const runtime_clock &Clock;
  fleet_table &Fleet;
  const adapter_controller_ports &Ports;
  managed_engines &Engines;
  engine_orders &Orders;
  load_time_estimate LoadTime;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_LOADS_H
