#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLACE_DECISION_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLACE_DECISION_H

#include "LibGateway/engine_places.h"
#include "LibGateway/place_queue.h"

#include <cstddef>
#include <optional>
#include <span>

namespace spindle {

/// An engine that might have, or load, an adapter.
struct placement_candidate {
  upstream_id Id;
  adapter_slots *Slots = nullptr;
  /// Whether it answers orders.
  bool IsResponsive = true;
  /// Whether it had the adapter before, and probably has a copy of it.
  bool LikelyHasCopy = false;
};

enum class placement_step {
  /// The engine has the adapter, which is held from now on.
  Held,
  /// An engine loads it already.
  LoadInProgress,
  /// The engine is to load it, or the newer version of it.
  Load,
  /// The engine is to unload the victim first.
  Unload,
  /// No place is free, or it is another adapter's turn.
  Queue,
  /// None of the engines answers.
  Unresponsive,
};

struct placement_decision {
  placement_step Step = placement_step::Queue;
  /// Which engine, for all steps but Queue and Silent.
  std::size_t Engine = 0;
  std::optional<loaded_adapter> Victim;
};

/// Decides the next step for a request that wants an adapter on one of the
/// engines, of which the best comes first. An engine with a free place goes
/// before one whose least used adapter must go, and one that had the adapter
/// before goes before others. Notes the use of an adapter that is held. Not
/// thread-safe.
placement_decision decidePlacement(std::span<const placement_candidate> Engines,
                                   const loaded_adapter &Wanted,
                                   const slot_queue &Queue, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLACE_DECISION_H
