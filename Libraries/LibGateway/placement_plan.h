#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_PLAN_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_PLAN_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/planned_engine.h"
#include "LibRouting/engine_placement.h"

#include <cstddef>
#include <vector>

namespace spindle {

/// The engines on which the request may run, the best first, and what is
/// expected of it on the best.
struct placement_plan {
  std::vector<planned_engine> Engines;
  engine_choice Best;
  bool IsAdapterReady = false;
  /// The engines that were compared.
  std::size_t EngineCount = 0;
  /// See placed_engine.
  milliseconds UsualReading{0};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_PLAN_H
