#ifndef PARSLEYSPINDLE_LIBGATEWAY_FORWARD_REQUEST_H
#define PARSLEYSPINDLE_LIBGATEWAY_FORWARD_REQUEST_H

#include "LibGateway/gateway_services.h"
#include "LibHTTP/http_server.h"

namespace spindle {

/// Proxies one request: matches its route, authenticates the customer, charges
/// the customer's quota, selects an upstream and forwards its response. Blocks
/// the fiber until the final response has been sent. Thread-safe.
/// \throws spindle_error if no response has been started; its code tells
/// whether the request may have run. Once a response has been started, the
/// connection is closed instead.
void forwardRequest(gateway_services &Services, http_exchange &Exchange);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_FORWARD_REQUEST_H
