#ifndef PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_OWNER_H
#define PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_OWNER_H

#include "LibResidency/demand_table.h"
#include "LibResidency/engine_slots.h"
#include "LibResidency/load_wait.h"
#include "LibResidency/pin_cache.h"
#include "LibResidency/residency_settings.h"

#include <map>
#include <optional>
#include <vector>

namespace spindle {

/// A request that waits at the owner until its adapter is loaded and pinned.
struct waiting_pin {
  /// Identifies the waiting request at the owner.
  std::uint64_t Ticket = 0;
  placement Placement;
  pin_holder Holder;
  std::uint64_t Sequence = 0;
  double Weight = 1;
  time_point Since;
  time_point Deadline;
};

/// Consecutive failed loads of an adapter on an engine.
struct load_failures {
  std::uint32_t Attempts = 0;
  time_point RetryAt;
};

/// Requests waiting for an adapter on an engine.
struct load_demand {
  std::vector<waiting_pin> Waiting;
  load_failures Failures;
};

/// The state of a host as the owner of engines.
struct residency_owner {
  residency_settings Settings;
  /// When the ownership expires. From then on this host may not send orders. It
  /// still grants pins on loaded adapters, so that a zone that is cut off
  /// continues to serve: a new owner evicts nothing before this host has synced
  /// with it.
  time_point ValidUntil;
  std::map<upstream_id, engine_slots> Engines;
  std::map<placement, load_demand> Demands;
  demand_table Uses;
  load_wait LoadWait;
  std::uint64_t LastTicket = 0;
};

/// The result of a pin request.
enum class pin_verdict : std::uint8_t {
  Pinned,
  Waiting,
  Stale,
  NotOwner,
  /// The maximum number of consecutive loads failed, and the next attempt is
  /// not yet due.
  LoadFailed
};

/// The result of a waiting request.
struct pin_resolution {
  std::uint64_t Ticket = 0;
  pin_verdict Verdict = pin_verdict::Pinned;
  std::uint64_t Fence = 0;
};

/// A planned order: unload Victim, if any, then load Adapter.
struct residency_order {
  upstream_id Engine;
  adapter_id Adapter;
  std::optional<adapter_id> Victim;
  std::uint64_t Fence = 0;
  /// The adapter is already loaded: the order only conveys the new fencing
  /// token to the engine and causes no load.
  bool OnlyUpdatesFence = false;
};

/// The functions below are not thread-safe: the caller holds the lock of the
/// owner.

/// Returns whether this host may send orders as the owner of \p Engine under
/// \p Fence. To be checked immediately before each order.
bool maySendOrders(const residency_owner &Owner, upstream_id Engine,
                   std::uint64_t Fence, time_point Now);

/// Pins immediately if the adapter is loaded. Otherwise queues the request and
/// sets the ticket of \p Request. An owner whose ownership has expired queues
/// nothing.
pin_verdict requestPin(residency_owner &Owner, waiting_pin &Request,
                       time_point Now);
/// Applies the complete set of pins that a holder has on an engine and returns
/// those that are refused. Returns nullopt, without any effect, if this host is
/// not the engine's owner under the fencing token that the holder gave.
std::optional<std::vector<adapter_id>>
applySync(residency_owner &Owner, const fenced_engine &Engine,
          const pin_holder &Holder, std::uint64_t Sequence,
          std::span<const adapter_id> Pins, time_point Now);
/// Removes a waiting request. Does nothing if it is no longer waiting.
void cancelWaitingPin(residency_owner &Owner, const waiting_pin &Request);

/// Plans the next loads, at most \p Loads, by descending priority, and marks
/// the slots. An adapter whose load is already in progress is not ordered
/// again. Where no slot can be freed, the adapter with the lowest eviction cost
/// is drained once a request has waited for DrainAfter. \p Peers are the live
/// hosts, including this one.
std::vector<residency_order> planOrders(residency_owner &Owner,
                                        std::span<const pin_holder> Peers,
                                        std::size_t Loads, time_point Now);
/// Plans the orders that convey the current fencing token to engines; until
/// such an order has completed, no pin is granted on that engine. Their results
/// are passed to endFenceUpdate().
std::vector<residency_order> planFenceUpdates(residency_owner &Owner,
                                              time_point Now);
void endFenceUpdate(residency_owner &Owner, const residency_order &Order,
                    order_result Result);

/// Returns whether planOrders() would order a load.
bool isLoadDue(const residency_owner &Owner, std::span<const pin_holder> Peers,
               time_point Now);

/// Results of orders are ignored if the ownership has changed since.

/// Records the result of an order's unload. If it is Done, starts the load
/// where that is still possible. Returns whether the load was started.
bool endVictimUnload(residency_owner &Owner, const residency_order &Order,
                     order_result Result, time_point Now);
/// Records the result of an order's load. Returns the waiting requests that
/// it resolves.
std::vector<pin_resolution> endOrder(residency_owner &Owner,
                                     const residency_order &Order,
                                     order_result Result, time_point Now);
/// Resolves waiting requests whose adapter is loaded according to reports.
std::vector<pin_resolution> resolveLoaded(residency_owner &Owner,
                                          upstream_id Engine, time_point Now);
/// Removes an engine that this host no longer owns and resolves its waiting
/// requests with NotOwner.
std::vector<pin_resolution> dropEngine(residency_owner &Owner,
                                       upstream_id Engine);
/// The slots that an engine can offer for a further load.
struct slot_availability {
  /// Slots that are free or hold an adapter that can be evicted now.
  std::uint32_t Evictable = 0;
  /// Estimated uses per second of the adapter that would be evicted; 0 if a
  /// slot is free.
  double VictimUsesPerSecond = 0;
};

slot_availability slotAvailability(const residency_owner &Owner,
                                   const engine_slots &Engine,
                                   std::span<const pin_holder> Peers,
                                   time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_OWNER_H
