#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLACED_ENGINE_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLACED_ENGINE_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <cstdint>

namespace spindle {

/// The engine on which a request was placed.
struct placed_engine {
  upstream_id Engine;
  /// The version of the adapter there; 0 if the request names none.
  std::uint64_t Version = 0;
  /// How long an engine of the usual speed would read the prompt; 0 if its time
  /// is no sample of the engine's speed.
  milliseconds UsualReading{0};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLACED_ENGINE_H
