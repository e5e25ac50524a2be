#ifndef PARSLEYSPINDLE_LIBHOST_REQUEST_ROUTER_H
#define PARSLEYSPINDLE_LIBHOST_REQUEST_ROUTER_H

#include "LibHost/request_context.h"

#include <functional>

namespace spindle {

/// Serves one HTTP exchange: health checks, then the declared routes. \p Ready
/// returns whether the load balancer should send requests to this host. Blocks
/// the calling fiber. \throws spindle_error whose state tells whether the
/// request has run.
void routeRequest(request_services &Services, http_exchange &Exchange,
                  const std::function<bool()> &Ready);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_REQUEST_ROUTER_H
