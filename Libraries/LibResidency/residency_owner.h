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
  /// The owner's own number of the waiting request.
  std::uint64_t Ticket = 0;
  placement Placement;
  pin_holder Holder;
  std::uint64_t Sequence = 0;
  double Weight = 1;
  time_point Since;
  time_point Deadline;
};

/// Loads of one adapter on one engine that failed in a row.
struct load_failures {
  std::uint32_t Attempts = 0;
  time_point RetryAt;
};

/// Those who wait for one adapter on one engine.
struct load_demand {
  std::vector<waiting_pin> Waiting;
  load_failures Failures;
};

/// What a host decides as the owner of its engines.
struct residency_owner {
  residency_settings Settings;
  /// From then on this host may give no orders. It goes on granting pins on
  /// what is loaded, so that a zone that is cut off goes on serving: a new
  /// owner evicts nothing before this host, too, has synced with it.
  time_point ValidUntil;
  std::map<upstream_id, engine_slots> Engines;
  std::map<placement, load_demand> Demands;
  demand_table Uses;
  load_wait LoadWait;
  std::uint64_t LastTicket = 0;
};

/// What came of a request for a pin.
enum class pin_verdict : std::uint8_t {
  Pinned,
  Waiting,
  Stale,
  NotOwner,
  /// Recent loads failed as often as allowed, and the next try is not yet due.
  LoadFailed
};

/// How a waiting request ended.
struct pin_resolution {
  std::uint64_t Ticket = 0;
  pin_verdict Verdict = pin_verdict::Pinned;
  std::uint64_t Fence = 0;
};

/// An order that has been decided: unload Victim, if any, then load Adapter.
struct residency_order {
  upstream_id Engine;
  adapter_id Adapter;
  std::optional<adapter_id> Victim;
  std::uint64_t Fence = 0;
  /// The adapter is loaded already: the order only shows the engine the new
  /// fencing number, and costs no load.
  bool OnlyRaisesFence = false;
};

/// The functions below are not thread-safe: the caller holds the lock of the
/// owner.

/// Tells whether this host may act as the owner of \p Engine under \p Fence.
/// Checked at the moment of use.
bool mayAct(const residency_owner &Owner, upstream_id Engine,
            std::uint64_t Fence, time_point Now);

/// Pins at once if the adapter is loaded, else lets the request wait; then
/// \p Request gets its ticket. A lapsed owner lets nothing wait.
pin_verdict requestPin(residency_owner &Owner, waiting_pin &Request,
                       time_point Now);
/// Takes in the whole set of pins that a holder has on one engine; returns
/// those that are refused, or none if this host isn't the engine's owner under
/// the fence that the holder named: then the sync has no effect.
std::optional<std::vector<adapter_id>>
takeSync(residency_owner &Owner, const fenced_engine &Engine,
         const pin_holder &Holder, std::uint64_t Sequence,
         std::span<const adapter_id> Pins, time_point Now);
/// Ends a request's wait. Does nothing if it has ended already.
void giveUpWaiting(residency_owner &Owner, const waiting_pin &Request);

/// Chooses what to load next, most relieving first, at most \p Loads orders,
/// and marks the slots. An adapter that waits for a load already in progress
/// gets no second one. Where all adapters are pinned, the least worthy one is
/// drained once a request has waited for long. \p Peers are the live hosts,
/// this one included.
std::vector<residency_order> planOrders(residency_owner &Owner,
                                        std::span<const pin_holder> Peers,
                                        std::size_t Loads, time_point Now);
/// Names the orders that show engines the present fence; until they are done
/// no pin is granted there. They end with endFenceRaise().
std::vector<residency_order> planFenceRaises(residency_owner &Owner,
                                             time_point Now);
void endFenceRaise(residency_owner &Owner, const residency_order &Order,
                   order_result Result);

/// Tells whether planOrders() would order a load.
bool wantsLoad(const residency_owner &Owner, std::span<const pin_holder> Peers,
               time_point Now);

/// The ends of orders are unheeded if the ownership has changed since.

/// Records the end of an order's unload; the load may begin if it is Done.
/// Returns whether the load was begun.
bool endVictim(residency_owner &Owner, const residency_order &Order,
               order_result Result, time_point Now);
/// Records the end of an order's load; returns the requests that this ends.
std::vector<pin_resolution> endOrder(residency_owner &Owner,
                                     const residency_order &Order,
                                     order_result Result, time_point Now);
/// Pins for those whose adapter turned out to be loaded, as reports say.
std::vector<pin_resolution> resolveLoaded(residency_owner &Owner,
                                          upstream_id Engine, time_point Now);
/// Ends the wait of requests whose engine this host no longer owns.
std::vector<pin_resolution> dropEngine(residency_owner &Owner,
                                       upstream_id Engine);
/// What a further load on an engine would meet.
struct engine_room {
  /// Slots that could take another adapter now.
  std::uint32_t Evictable = 0;
  /// How often the adapter is asked for that would make room; 0 if a slot is
  /// free.
  double VictimUsesPerSecond = 0;
};

engine_room roomOn(const residency_owner &Owner, const engine_slots &Engine,
                   std::span<const pin_holder> Peers, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_RESIDENCY_OWNER_H
