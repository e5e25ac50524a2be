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
  /// An order's answer was lost: only a report tells what the slot holds.
  Unknown
};

/// One of an engine's slots that holds an adapter, or may.
struct engine_slot {
  adapter_id Adapter;
  slot_state State = slot_state::Loaded;
  /// When the state began.
  time_point Since;
  time_point LastUsed;
  /// To be evicted as soon as its last pin has ended: it gets no new pins.
  bool Draining = false;
};

/// A pin that one holder has on one adapter.
struct held_pin {
  pin_holder Holder;
  /// The holder's number for the request or sync that made the pin.
  std::uint64_t Sequence = 0;
};

/// What was heard of a holder.
struct holder_mark {
  /// Whether it has synced its pins since the takeover, and the newest sync.
  bool Synced = false;
  std::uint64_t Sequence = 0;
  time_point LastHeard;
};

/// Longer than any message between hosts is under way: a holder that was
/// silent for this long is gone if another incarnation of its host speaks.
inline constexpr seconds SupersededAfter{30};

/// What the owner of an engine knows of its slots and of who pins them.
struct engine_slots {
  upstream_id Engine;
  std::uint32_t Slots = 0;
  /// The fencing number of the present ownership.
  std::uint64_t Fence = 0;
  /// Whether the engine refuses orders with an old fencing number, and the
  /// highest one that it is known to have seen.
  bool HonoursFencing = false;
  std::uint64_t FenceSeen = 0;
  time_point OwnedSince;
  /// False until a report that was taken after the takeover.
  bool Known = false;
  /// The engine's own incarnation, as last reported.
  std::uint64_t Incarnation = 0;
  /// When the last report was made.
  time_point LastReport;
  /// When the last order ended; older reports say nothing of its effect.
  time_point LastOrderEnd;
  std::vector<engine_slot> Occupied;
  /// Adapters whose load is on order, be it that a victim is unloaded first.
  std::set<adapter_id> Ordered;
  std::unordered_map<adapter_id, std::vector<held_pin>> Pins;
  std::map<pin_holder, holder_mark> Holders;
};

enum class pin_outcome : std::uint8_t {
  Pinned,
  /// The adapter isn't loaded; a load may be planned.
  NotLoaded,
  /// The request is older than a sync of its holder, which has given it up.
  Stale
};

/// The functions below are not thread-safe: the caller holds the lock of the
/// struct.

/// Starts a new ownership with a higher fence. What is known of slots and of
/// syncs is outdated, and orders of the former ownership end unheeded. Known
/// pins stay until their holders sync.
void takeOver(engine_slots &Engine, std::uint64_t Fence, time_point Now);

/// Tells whether no order of a former owner can take effect any more. Until
/// then no pin is granted: such an order may be on its way.
bool isFenced(const engine_slots &Engine);

/// Pins \p Adapter for \p Holder if it is loaded and isFenced(). Idempotent.
pin_outcome pinAdapter(engine_slots &Engine, adapter_id Adapter,
                       const pin_holder &Holder, std::uint64_t Sequence,
                       time_point Now);

/// Replaces the holder's pins by \p Pins, but keeps those that are younger
/// than \p Sequence. Returns the pins that are refused because their adapter
/// isn't loaded or is draining; they protect it all the same, also should it
/// be loaded again. A sync that is not newer than the last one has no effect
/// and refuses nothing. Precondition: the sync names the present ownership's
/// fence.
std::vector<adapter_id> syncPins(engine_slots &Engine, const pin_holder &Holder,
                                 std::uint64_t Sequence,
                                 std::span<const adapter_id> Pins,
                                 time_point Now);

/// Ends the pins of a holder that is known to be gone.
void releaseGone(engine_slots &Engine, const pin_holder &Gone);

/// What an engine says of its slots.
struct slot_report {
  std::uint64_t Incarnation = 0;
  std::uint32_t Slots = 0;
  std::uint64_t Fence = 0;
  std::vector<adapter_id> Loaded;
  std::vector<adapter_id> Loading;
  /// When the engine made the report.
  time_point Taken;
};

/// Takes over what a report says, unless it is older than the last one. A
/// report older than the last order doesn't change what the order did. A
/// new incarnation empties the table; pins stay, since their holders may be
/// using a reloaded adapter.
void applyReport(engine_slots &Engine, const slot_report &Report,
                 time_point Now);

/// Tells whether every host of \p Peers has synced its pins since the takeover
/// and the settle time has passed. Until then nothing may be evicted.
bool pinsAreComplete(const engine_slots &Engine,
                     std::span<const pin_holder> Peers, milliseconds SettleTime,
                     time_point Now);

/// Tells whether any holder pins \p Adapter.
bool isPinned(const engine_slots &Engine, adapter_id Adapter);
/// Finds the slot of \p Adapter, or null.
engine_slot *findSlot(engine_slots &Engine, adapter_id Adapter);
const engine_slot *findSlot(const engine_slots &Engine, adapter_id Adapter);
/// Tells whether new pins may be granted on the slot.
bool isServing(const engine_slot &Slot);
/// Returns how many slots hold nothing.
std::uint32_t freeSlots(const engine_slots &Engine);

/// Marks a slot as being emptied.
/// Precondition: the adapter is loaded, unpinned, and pinsAreComplete().
void beginUnload(engine_slots &Engine, adapter_id Adapter, time_point Now);
/// Marks a slot as being filled.
/// Precondition: the adapter has no slot and freeSlots() is not 0.
void beginLoad(engine_slots &Engine, adapter_id Adapter, time_point Now);

enum class order_result : std::uint8_t { Done, Refused, AnswerLost };

/// Records how an order ended. An unload that was refused leaves the adapter
/// loaded; an answer that was lost leaves the slot Unknown.
void endLoad(engine_slots &Engine, adapter_id Adapter, order_result Result,
             time_point Now);
void endUnload(engine_slots &Engine, adapter_id Adapter, order_result Result,
               time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_ENGINE_SLOTS_H
