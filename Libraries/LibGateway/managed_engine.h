#ifndef PARSLEYSPINDLE_LIBGATEWAY_MANAGED_ENGINE_H
#define PARSLEYSPINDLE_LIBGATEWAY_MANAGED_ENGINE_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/adapter_slots.h"
#include "LibGateway/engine_order_port.h"
#include "LibGateway/upstream_entry.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <set>

#include <boost/fiber/mutex.hpp>

namespace spindle {

/// One process of an engine and the orders to it.
struct managed_engine {
  /// Set once, before other threads read it.
  upstream_pointer Entry;
  /// Guarded by managed_engines::Mutex.
  adapter_slots Slots;
  /// Adapters that the engine had before and may still have in memory. Guarded
  /// by managed_engines::Mutex.
  std::set<adapter_name> PreviouslyLoaded;

  /// Serializes orders, as each contains the count of the orders before it.
  boost::fibers::mutex OrderMutex;
  std::uint64_t OrderCount = 0;
  std::atomic<bool> OrderCountKnown{false};
  /// A request for the engine's state is in flight.
  std::atomic<bool> ResyncPending{false};
  /// An unload is waiting for running requests; the engine accepts no other
  /// order until it completes.
  bool UnloadPending = false;
  /// The engine has restarted under the same name and has no adapters.
  std::atomic<bool> Restarted{false};
  /// When the last order was accepted. Earlier reports don't reflect it.
  time_point LastAcceptedAt;
  /// No orders are sent before this time, as the engine did not answer.
  std::atomic<time_point> UnresponsiveUntil{time_point()};
  /// The number of consecutive orders without an answer.
  std::uint32_t UnansweredOrders = 0;

  /// An order to load a base model is in progress.
  bool ModelLoadPending = false;
};

using managed_engine_pointer = std::shared_ptr<managed_engine>;

/// Whether the engine gets no orders at \p Now. Thread-safe.
bool isUnresponsive(const managed_engine &Engine, time_point Now);
/// Stops orders to the engine for a while. Thread-safe.
void markUnresponsive(managed_engine &Engine, time_point Now);
/// Updates the engine's state with the outcome of an order. Returns whether the
/// engine has become unresponsive by it. Precondition: OrderMutex is held.
bool applyOrderOutcome(managed_engine &Engine, order_action Action,
                       order_outcome Outcome, bool IsRepeat, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_MANAGED_ENGINE_H
