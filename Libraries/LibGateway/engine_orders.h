#ifndef PARSLEYSPINDLE_LIBGATEWAY_ENGINE_ORDERS_H
#define PARSLEYSPINDLE_LIBGATEWAY_ENGINE_ORDERS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_controller_ports.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/managed_engines.h"

#include <boost/fiber/mutex.hpp>

#include <mutex>

namespace spindle {

/// How long an order is repeated until the engine confirms its completion. The
/// engine answers a repeat immediately with the current state; a load can take
/// far longer than usual while many loads run.
inline constexpr milliseconds OrderCompletionTimeout{5'000};
/// The pause between an order and its repeat.
inline constexpr milliseconds OrderPollInterval{30};

/// Sends orders to engines and reads the state that orders depend on. All
/// methods are thread-safe.
class engine_orders {
public:
  /// All arguments must outlive this object.
  engine_orders(const runtime_clock &Clock, fleet_table &Fleet,
                const adapter_controller_ports &Ports,
                managed_engines &Engines);

  /// Sends one order and records its outcome. Waits before while the engine
  /// completes an unload, for OrderCompletionTimeout at most. Blocks the fiber.
  order_outcome send(managed_engine &Engine, order_action Action,
                     const versioned_adapter &Adapter, bool IsRepeat);
  /// Requests the engine's state unless such a request is already in flight.
  void startResync(const managed_engine_pointer &Engine);

private:
  void waitForUnload(managed_engine &Engine,
                     std::unique_lock<boost::fibers::mutex> &Lock,
                     time_point Until) const;
  order_outcome sendCounted(managed_engine &Engine, order_action Action,
                            const versioned_adapter &Adapter,
                            std::uint64_t FencingToken);
  bool resync(managed_engine &Engine);
  bool isOverCapacity(const managed_engine &Engine) const;

  const runtime_clock &Clock;
  fleet_table &Fleet;
  const adapter_controller_ports &Ports;
  managed_engines &Engines;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ENGINE_ORDERS_H
