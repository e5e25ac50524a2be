#ifndef PARSLEYSPINDLE_LIBRESIDENCY_ENGINE_SLOTS_H
#define PARSLEYSPINDLE_LIBRESIDENCY_ENGINE_SLOTS_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibResidency/pin_holder.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace spindle {

enum class slot_state : std::uint8_t {
  Loading,
  Loaded,
  Unloading,
  /// The response to an order was lost: the content of the slot is unknown
  /// until the next report.
  Unknown
};

/// A slot of an engine that holds an adapter or may hold one.
struct engine_slot {
  adapter_id Adapter;
  slot_state State = slot_state::Loaded;
  /// When the slot entered its state.
  time_point Since;
  time_point LastUsed;
  /// Gets no new pins, so that it can be evicted once the last pin is released.
  bool Draining = false;
};

/// A pin that one holder has on one adapter.
struct held_pin {
  pin_holder Holder;
  /// The holder's sequence number of the request or sync that set the pin.
  std::uint64_t Sequence = 0;
};

/// The last messages received from a holder.
struct holder_status {
  /// Whether it has synced its pins since the takeover, and the sequence
  /// number of its newest sync.
  bool Synced = false;
  std::uint64_t Sequence = 0;
  time_point LastHeard;
};

/// Longer than any message between hosts is in transit: a holder that sent
/// nothing for this long has terminated if another incarnation of its host
/// sends a message.
inline constexpr seconds SupersededTimeout{30};

/// The owner's record of an engine's slots and of the pins on its adapters.
struct engine_slots {
  upstream_id Engine;
  std::uint32_t Slots = 0;
  /// The fencing token of the current ownership.
  std::uint64_t Fence = 0;
  /// Whether the engine rejects orders with an outdated fencing token, and the
  /// highest token that it is known to have seen.
  bool HonoursFencing = false;
  std::uint64_t FenceSeen = 0;
  time_point OwnedSince;
  /// False until a report made after the takeover has been applied.
  bool HasReport = false;
  /// The incarnation of the engine's process, as last reported.
  std::uint64_t Incarnation = 0;
  /// When the last report was made.
  time_point LastReport;
  /// When the last order completed; older reports do not reflect its effect.
  time_point LastOrderEnd;
  std::vector<engine_slot> Occupied;
  /// Adapters with an order in progress that loads them, be it after the unload
  /// of a victim, or that conveys the fencing token.
  std::set<adapter_id> PendingOrders;
  std::unordered_map<adapter_id, std::vector<held_pin>> Pins;
  std::map<pin_holder, holder_status> Holders;
};

enum class pin_outcome : std::uint8_t {
  Pinned,
  /// The adapter is not loaded; a load may be planned.
  NotLoaded,
  /// The request is older than a sync of its holder that no longer lists it.
  Stale
};

/// The functions below are not thread-safe: the caller holds the lock of the
/// struct.

/// Starts a new ownership with a higher fencing token. Discards the state of
/// slots and syncs; results of orders of the former ownership are ignored.
/// Existing pins are retained until their holders sync.
void takeOver(engine_slots &Engine, std::uint64_t Fence, time_point Now);

/// Returns whether orders of a former owner can no longer take effect. Until
/// then no pin is granted, since such an order may still be in transit.
bool isFenced(const engine_slots &Engine);

/// Pins \p Adapter for \p Holder if it is loaded and isFenced(). Idempotent.
pin_outcome pinAdapter(engine_slots &Engine, adapter_id Adapter,
                       const pin_holder &Holder, std::uint64_t Sequence,
                       time_point Now);

/// Replaces the holder's pins by \p Pins, but keeps those that are newer than
/// \p Sequence. Returns the pins that are refused because their adapter is not
/// loaded or is draining; a refused pin still protects the adapter from
/// eviction, also if it is loaded again. A sync that is not newer than the last
/// one has no effect and refuses nothing. Precondition: the sync carries the
/// fencing token of the current ownership.
std::vector<adapter_id> syncPins(engine_slots &Engine, const pin_holder &Holder,
                                 std::uint64_t Sequence,
                                 std::span<const adapter_id> Pins,
                                 time_point Now);

/// Releases the pins of a holder that is known to have terminated.
void releaseHolderPins(engine_slots &Engine, const pin_holder &Terminated);

/// An engine's report of its slots.
struct slot_report {
  std::uint64_t Incarnation = 0;
  std::uint32_t Slots = 0;
  std::uint64_t Fence = 0;
  std::vector<adapter_id> Loaded;
  std::vector<adapter_id> Loading;
  /// When the engine made the report.
  time_point Taken;
};

/// Updates the slots from a report, unless it is older than the last one. A
/// report older than the last order does not override the result of that
/// order. A new incarnation of the engine clears the table; pins are retained,
/// since their holders may be using a reloaded adapter.
void applyReport(engine_slots &Engine, const slot_report &Report,
                 time_point Now);

/// Returns whether every holder of \p Peers has synced its pins since the
/// takeover and the settle time has passed. Until then nothing may be evicted.
bool pinsAreComplete(const engine_slots &Engine,
                     std::span<const pin_holder> Peers, milliseconds SettleTime,
                     time_point Now);

/// Returns whether any holder pins \p Adapter.
bool isPinned(const engine_slots &Engine, adapter_id Adapter);
/// Returns the slot of \p Adapter, or null if it has none.
engine_slot *findSlot(engine_slots &Engine, adapter_id Adapter);
const engine_slot *findSlot(const engine_slots &Engine, adapter_id Adapter);
/// Returns whether new pins may be granted on the slot.
bool isServing(const engine_slot &Slot);
/// Returns the number of empty slots.
std::uint32_t freeSlotCount(const engine_slots &Engine);

/// Marks the slot of \p Adapter as unloading.
/// Precondition: the adapter is loaded, unpinned, and pinsAreComplete().
void beginUnload(engine_slots &Engine, adapter_id Adapter, time_point Now);
/// Reserves a free slot for \p Adapter and marks it as loading.
/// Precondition: the adapter has no slot and freeSlotCount() is not 0.
void beginLoad(engine_slots &Engine, adapter_id Adapter, time_point Now);

enum class order_result : std::uint8_t { Done, Refused, ResponseLost };

/// Records the result of an order. After a refused unload the adapter remains
/// loaded; after a lost response the slot is Unknown.
void endLoad(engine_slots &Engine, adapter_id Adapter, order_result Result,
             time_point Now);
void endUnload(engine_slots &Engine, adapter_id Adapter, order_result Result,
               time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_ENGINE_SLOTS_H
