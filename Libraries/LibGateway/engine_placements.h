#ifndef PARSLEYSPINDLE_LIBGATEWAY_ENGINE_PLACEMENTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_ENGINE_PLACEMENTS_H

#include "LibGateway/prompt_cache_estimate.h"
#include "LibRouting/placed_work.h"

#include <cstdint>

namespace spindle {

/// What a work_placer has placed on one engine since the engine's start.
struct engine_placements {
  std::int64_t StartedAt = 0;
  placed_work Work;
  prompt_cache_estimate Prompts;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ENGINE_PLACEMENTS_H
