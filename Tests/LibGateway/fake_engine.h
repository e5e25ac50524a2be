#ifndef PARSLEYSPINDLE_TESTS_LIBGATEWAY_FAKE_ENGINE_H
#define PARSLEYSPINDLE_TESTS_LIBGATEWAY_FAKE_ENGINE_H

#include "LibGateway/engine_order_port.h"

#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <vector>

namespace spindle {

/// Faults that a test injects into a fake_engine.
struct fake_engine_faults {
  /// The share of orders that get no answer, between 0 and 1.
  double LostAnswerRatio = 0;
  /// How much later the engine executes the orders that get no answer.
  milliseconds LateApplyDelay{0};
  /// Neither orders nor requests for the state get an answer.
  bool Unresponsive = false;
  milliseconds LoadTime{40};
};

/// A simulated model engine that handles orders like the platform's engines: it
/// counts the orders that it accepts, refuses all orders except repeats of the
/// unload while an unload waits for running requests, and reports its state
/// with a delay. The platform's engines crash when ordered to load more
/// adapters than they have slots; this one records it. Thread-safe.
class fake_engine {
public:
  fake_engine(const runtime_clock &Clock, std::string Name,
              std::size_t Capacity);

  engine_order_port port();
  upstream_entry entry() const;
  void setFaults(fake_engine_faults NewFaults);
  /// Refuses the next \p Orders orders with a mismatch of the order count.
  void refuseNext(int Orders);
  /// Sets whether requests for the adapter are running. An unload waits for
  /// them.
  void setRunning(const adapter_name &Name, bool Running);
  bool hasLoaded(const adapter_name &Name);
  /// Returns whether an order exceeded the capacity of the engine.
  bool hasExceededCapacity() const;
  std::size_t refusals() const;

private:
  struct pending_load {
    std::uint64_t Version = 0;
    time_point ReadyAt;
  };
  struct delayed_order {
    adapter_order Order;
    time_point ApplyAt;
  };

  void applyDueEvents();
  order_outcome apply(const adapter_order &Order);
  engine_state state() const;

  const runtime_clock &Clock;
  const std::string Name;
  const std::size_t Capacity;
  mutable std::mutex Mutex;
  std::mt19937 Random{7};
  fake_engine_faults Faults;
  std::uint64_t AcceptedOrders = 0;
  std::uint64_t FencingToken = 0;
  std::map<adapter_name, std::uint64_t> Loaded;
  std::map<adapter_name, pending_load> Loading;
  std::set<adapter_name> Running;
  std::set<adapter_name> Unloading;
  std::vector<delayed_order> DelayedOrders;
  std::deque<std::pair<time_point, engine_state>> Reports;
  bool ExceededCapacity = false;
  std::size_t Refusals = 0;
  int RemainingRefusals = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBGATEWAY_FAKE_ENGINE_H
