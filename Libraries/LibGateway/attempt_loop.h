#ifndef PARSLEYSPINDLE_LIBGATEWAY_ATTEMPT_LOOP_H
#define PARSLEYSPINDLE_LIBGATEWAY_ATTEMPT_LOOP_H

#include "LibGateway/forwarded_request.h"

namespace spindle {

/// Selects upstreams and sends the request until the caller has its final
/// response. Blocks the fiber.
/// \throws spindle_error if no response has been started; its code tells
/// whether the request may have run.
void runAttempts(forwarded_request &Request);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ATTEMPT_LOOP_H
