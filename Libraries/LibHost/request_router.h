#ifndef PARSLEYSPINDLE_LIBHOST_REQUEST_ROUTER_H
#define PARSLEYSPINDLE_LIBHOST_REQUEST_ROUTER_H

#include "LibHost/request_context.h"

#include <functional>

namespace spindle {

/// Serves one caller's exchange: health checks, then the declared routes.
/// \p Ready tells whether the balancer should send callers here. Blocks the
/// calling fiber. \throws spindle_error whose state is true of the request.
void routeRequest(request_services &Services, http_exchange &Exchange,
                  const std::function<bool()> &Ready);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_REQUEST_ROUTER_H
