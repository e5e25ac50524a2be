#ifndef PARSLEYSPINDLE_LIBHOST_SERVICE_HANDLER_H
#define PARSLEYSPINDLE_LIBHOST_SERVICE_HANDLER_H

#include "LibHost/request_context.h"

namespace spindle {

/// Serves a call to a plain service by its declared route: an idempotent call,
/// which may be repeated, or an order, which runs at most once. Blocks the
/// calling fiber until the answer is sent.
/// \throws spindle_error whose state is true of the request; if the answer has
/// begun, the connection must be cut.
void handleServiceRequest(request_context &Context);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_SERVICE_HANDLER_H
