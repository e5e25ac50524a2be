#ifndef PARSLEYSPINDLE_LIBHOST_DISPATCH_QUEUE_H
#define PARSLEYSPINDLE_LIBHOST_DISPATCH_QUEUE_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibCore/runtime_clock.h"
#include "LibMetrics/metrics.h"
#include "LibScheduling/concurrency_window.h"
#include "LibScheduling/fair_queue.h"

#include <cstdint>
#include <memory>

namespace spindle {

/// Permission to run one request on an upstream. Destroying the ticket releases
/// its capacity and lets the next request start. Movable; used by one fiber.
class queue_ticket {
public:
  queue_ticket() = default;
  ~queue_ticket();
  queue_ticket(queue_ticket &&Other) noexcept;
  queue_ticket &operator=(queue_ticket &&Other) noexcept;

  /// Corrects the customer's charge for the request once its actual cost is
  /// known. Precondition: called at most once.
  void settle(tokens Actual);
  /// The time that the request spent in the queue.
  nanoseconds waited() const { return Waited; }
  /// Returns whether the ticket holds capacity.
  explicit operator bool() const { return Queue != nullptr; }
  /// Releases the capacity before the ticket's destruction.
  void release() noexcept;

private:
  friend class dispatch_queue;
  struct shared_state;

  std::shared_ptr<shared_state> Queue;
  customer_id Customer;
  tokens Charged;
  nanoseconds Waited{0};
};

/// The initial settings of a dispatch queue.
struct dispatch_queue_settings {
  queue_settings Queue;
  std::uint32_t Capacity = 64;
};

/// Admits requests to the engines in the order that LibScheduling decides,
/// with as many running concurrently as the capacity allows. Every method is
/// thread-safe.
class dispatch_queue {
public:
  /// \p Clock and \p Metrics must outlive the queue and its tickets.
  /// \p Metrics may be null.
  dispatch_queue(const runtime_clock &Clock, metrics *Metrics,
                 dispatch_queue_settings Settings);
  /// Precondition: no fiber waits in enter(). Tickets may outlive the queue.
  ~dispatch_queue();
  dispatch_queue(const dispatch_queue &) = delete;
  dispatch_queue &operator=(const dispatch_queue &) = delete;

  /// Applies the policy, the limits and the customers' weights.
  void applyConfiguration(const configuration_snapshot &Snapshot);
  /// Sets how many requests may run concurrently.
  void setCapacity(std::uint32_t Concurrent);
  /// Adapts the capacity to the engines' reports; see concurrency_window. Call
  /// it whenever reports arrive. \p FleetHosts is the number of hosts that
  /// share the engines and is at least 1.
  void noteEngineLoad(const engine_load_summary &Load,
                      std::uint32_t FleetHosts);
  /// The latest time at which a request of \p Priority that arrives now may
  /// start.
  time_point deadlineFor(priority_class Priority) const;
  /// Waits for the right to run a request; blocks the calling fiber.
  /// \throws spindle_error QueueFull or DeadlineUnreachable; the request has
  /// not run.
  queue_ticket enter(customer_id Customer, priority_class Priority, tokens Cost,
                     time_point Deadline);
  /// Refuses requests whose deadline has passed by the clock. Waiting fibers
  /// call this on their own in real time; tests with a paused clock call it
  /// explicitly.
  void refuseExpired();

  std::size_t waiting() const;
  std::uint32_t running() const;
  std::uint32_t capacity() const;

private:
  std::shared_ptr<queue_ticket::shared_state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_DISPATCH_QUEUE_H
