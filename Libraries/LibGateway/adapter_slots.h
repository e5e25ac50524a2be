#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_SLOTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_SLOTS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/upstream_entry.h"
#include "LibRouting/engine_placement.h"

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace spindle {

enum class adapter_slot_state { Loading, Loaded, Unloading };

/// An adapter slot of an engine that is occupied, or may be.
struct adapter_slot {
  versioned_adapter Adapter;
  adapter_slot_state State = adapter_slot_state::Loading;
  /// Hosts may send requests for the adapter until then, so it must not be
  /// unloaded.
  time_point HeldUntil;
  /// Whether hosts have requests for the adapter in flight.
  bool InUse = false;
  /// Number of holds, decayed with a half-life of UseHalfLife.
  double Uses = 0;
  time_point LastUsed;
  /// An order of this host for the slot is not confirmed yet. Until it is,
  /// engine reports may be older than the order and don't change the slot.
  bool OrderPending = false;
  /// The version that is being replaced; it remains loaded if the load fails.
  std::optional<std::uint64_t> PreviousVersion;
};

/// The adapter slots of one engine, as known to the host that controls it. A
/// slot that may be occupied counts as occupied, since an engine crashes if it
/// is ordered to load more adapters than it has slots.
struct adapter_slots {
  std::size_t Capacity = 0;
  std::vector<adapter_slot> Slots;
};

enum class hold_action {
  /// The adapter is loaded and is held from now on.
  Held,
  /// The adapter is being loaded or unloaded.
  Wait,
  /// The adapter must be loaded, and a slot is free.
  Load,
  /// The victim must be unloaded first.
  Unload,
  /// Every slot holds an adapter that is held or in use, or the engine can't
  /// accept another order yet.
  NoSlotAvailable,
};

struct hold_plan {
  hold_action Action = hold_action::NoSlotAvailable;
  std::optional<versioned_adapter> Victim;
  /// Decayed number of holds of the victim.
  double VictimUses = 0;
};

/// How long a host may rely on an adapter that was reported to it as held.
inline constexpr milliseconds HoldTerm{800};
/// Loads that an engine carries out concurrently.
inline constexpr std::size_t MaxConcurrentLoads = 4;

/// Decides what to do for a host that needs \p Wanted, and records the use if
/// the adapter is held. A version newer than the wanted one is accepted. Not
/// thread-safe.
hold_plan planHold(adapter_slots &Engine, const versioned_adapter &Wanted,
                   time_point Now);
/// What an engine must do before it serves requests for an adapter.
struct slot_outlook {
  adapter_readiness Readiness = adapter_readiness::NoSlot;
  /// Decayed number of holds of the adapter on this engine, and of the one that
  /// would be evicted for it.
  double Uses = 0;
  double VictimUses = 0;
};

/// What planHold() would decide, without recording a use. Not thread-safe.
slot_outlook outlookFor(const adapter_slots &Engine,
                        const versioned_adapter &Wanted, time_point Now);
/// Records that a load was ordered. Not thread-safe.
void noteLoading(adapter_slots &Engine, const versioned_adapter &Adapter,
                 time_point Now);
/// Records that a load has finished. The adapter is held briefly for the
/// requests that wait for it.
void noteLoaded(adapter_slots &Engine, const versioned_adapter &Adapter,
                time_point Now);
void noteUnloading(adapter_slots &Engine, const adapter_name &Name);
void noteUnloaded(adapter_slots &Engine, const adapter_name &Name);
/// Records that the engine rejected a load.
void noteLoadFailed(adapter_slots &Engine, const adapter_name &Name);
/// Records that the outcome of an order is unknown: the slot counts as occupied
/// until the next report of the engine.
void noteOutcomeUnknown(adapter_slots &Engine, const adapter_name &Name);
/// Returns the slot of an adapter, or null. Not thread-safe.
const adapter_slot *findAdapterSlot(const adapter_slots &Engine,
                                    const adapter_name &Name);
/// Sets which adapters of the engine have requests in flight; these are not
/// evicted. Not thread-safe.
void setInUse(adapter_slots &Engine, const std::set<adapter_name> &Names);
/// Number of slots that are free or could be freed now. Not thread-safe.
std::size_t availableSlots(const adapter_slots &Engine, time_point Now);
/// Applies an engine report, except to slots with a pending order. Not
/// thread-safe.
void reconcile(adapter_slots &Engine,
               const std::vector<versioned_adapter> &Loaded,
               const std::vector<versioned_adapter> &Loading, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_SLOTS_H
