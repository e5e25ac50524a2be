#ifndef PARSLEYSPINDLE_LIBHOST_SERVICE_HANDLER_H
#define PARSLEYSPINDLE_LIBHOST_SERVICE_HANDLER_H

#include "LibHost/request_context.h"

namespace spindle {

/// Serves a call to a plain service on its declared route: an idempotent call,
/// which may be retried, or an order, which runs at most once. Blocks the
/// calling fiber until the response is sent.
/// \throws spindle_error whose state tells whether the request has run; if the
/// response has started, the caller's connection must be closed.
void handleServiceRequest(request_context &Context);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_SERVICE_HANDLER_H
