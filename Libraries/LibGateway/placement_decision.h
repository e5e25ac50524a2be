#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_DECISION_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_DECISION_H

#include "LibGateway/adapter_slots.h"
#include "LibGateway/slot_queue.h"

#include <cstddef>
#include <optional>
#include <span>

namespace spindle {

/// An engine on which the adapter may be used or loaded.
struct placement_candidate {
  upstream_id Id;
  adapter_slots *Slots = nullptr;
  /// Whether the engine answers load and unload orders.
  bool IsResponsive = true;
  /// Whether the engine had the adapter loaded before and so probably still has
  /// a copy in memory.
  bool LikelyHasCopy = false;
};

enum class placement_step {
  /// The engine has the adapter, which is held from now on.
  Held,
  /// The engine is already loading the adapter.
  LoadInProgress,
  /// The engine must load the adapter, or a newer version of it.
  Load,
  /// The engine must unload the victim first.
  Unload,
  /// No slot is available, or another adapter has priority.
  Queue,
  /// None of the engines responds.
  Unresponsive,
};

struct placement_decision {
  placement_step Step = placement_step::Queue;
  /// Index of the engine; not set for Queue and Unresponsive.
  std::size_t Engine = 0;
  std::optional<versioned_adapter> Victim;
};

/// Decides the next step for a request that needs an adapter on one of the
/// engines, given in order of preference. An engine with a free slot is
/// preferred over one that must first evict its least used adapter, and among
/// those an engine that probably has a copy over the others. Records the use
/// of an adapter that is held. Not thread-safe.
placement_decision decidePlacement(std::span<const placement_candidate> Engines,
                                   const versioned_adapter &Wanted,
                                   const slot_queue &Queue, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_DECISION_H
