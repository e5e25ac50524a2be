#ifndef PARSLEYSPINDLE_LIBHOST_MODEL_PIN_H
#define PARSLEYSPINDLE_LIBHOST_MODEL_PIN_H

#include "LibHost/model_run.h"

namespace spindle {

/// Chooses an engine for the next attempt and pins the adapter there. Engines
/// that were recently lost are skipped as long as there is another. Blocks the
/// calling fiber.
/// \throws the same errors as residency_agent::acquire().
pin_lease acquireModelPin(request_context &Context, const model_run &Run);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MODEL_PIN_H
