#ifndef PARSLEYSPINDLE_LIBHOST_MODEL_HANDLER_H
#define PARSLEYSPINDLE_LIBHOST_MODEL_HANDLER_H

#include "LibHost/request_context.h"

namespace spindle {

/// Serves POST /v1/completions and /v1/chat/completions and GET /v1/models.
/// Blocks the calling fiber until the response is sent.
/// \throws spindle_error whose state tells whether the request may have run. If
/// the response has begun, the connection must be closed.
void handleModelRequest(request_context &Context);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_MODEL_HANDLER_H
