#ifndef PARSLEYSPINDLE_LIBGATEWAY_FORWARD_REQUEST_H
#define PARSLEYSPINDLE_LIBGATEWAY_FORWARD_REQUEST_H

#include "LibGateway/gateway_services.h"
#include "LibHTTP/http_server.h"

namespace spindle {

/// Serves one request: finds its route and customer, charges it, chooses an
/// upstream and passes the answer back. Blocks the fiber until the request has
/// its final answer. Thread-safe.
/// \throws spindle_error if nothing was answered yet, with the true run state;
/// the connection is cut if the answer had begun.
void forwardRequest(gateway_services &Services, http_exchange &Exchange);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_FORWARD_REQUEST_H
