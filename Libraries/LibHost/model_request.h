#ifndef PARSLEYSPINDLE_LIBHOST_MODEL_REQUEST_H
#define PARSLEYSPINDLE_LIBHOST_MODEL_REQUEST_H

#include "LibHost/model_run.h"

namespace spindle {

/// Reads and validates a request to run a model. Blocks the calling fiber until
/// the body has arrived.
/// \throws spindle_error BadRequest, BodyTooLarge, UnknownModel,
/// PriorityNotAllowed: the request has not run.
model_run prepareModelRun(request_context &Context,
                          completion_endpoint Endpoint);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MODEL_REQUEST_H
