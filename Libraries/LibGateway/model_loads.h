#ifndef PARSLEYSPINDLE_LIBGATEWAY_MODEL_LOADS_H
#define PARSLEYSPINDLE_LIBGATEWAY_MODEL_LOADS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_controller_ports.h"
#include "LibGateway/engine_orders.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/managed_engines.h"

#include <string>

namespace spindle {

/// Loads base models on engines that have none.
class model_loads {
public:
  /// All arguments must outlive this object.
  model_loads(const runtime_clock &Clock, fleet_table &Fleet,
              const adapter_controller_ports &Ports, managed_engines &Engines,
              engine_orders &Orders);

  /// Starts a load on each engine under this host's control that has no base
  /// model, as the rate limit of the weight store permits. Not thread-safe.
  void startAll();

private:
  void run(managed_engine &Engine, const std::string &Model);
  bool isOver(const managed_engine &Engine) const;

  const runtime_clock &Clock;
  fleet_table &Fleet;
  const adapter_controller_ports &Ports;
  managed_engines &Engines;
  engine_orders &Orders;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_MODEL_LOADS_H
