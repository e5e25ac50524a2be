#ifndef PARSLEYSPINDLE_LIBRESILIENCE_REQUEST_FINGERPRINT_H
#define PARSLEYSPINDLE_LIBRESILIENCE_REQUEST_FINGERPRINT_H

#include "LibCore/strong_id.h"

#include <string_view>

namespace spindle {

struct fingerprint_tag {};
/// Identifies a request by its content, so that repetitions are recognised.
using request_fingerprint = strong_id<fingerprint_tag>;

/// Computes the fingerprint of a request. \p Target is the requested adapter or
/// route. The customer is included, so that one customer's request can't put
/// another's in quarantine. Thread-safe.
request_fingerprint fingerprintOf(customer_id Customer, std::string_view Target,
                                  std::string_view Body);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_REQUEST_FINGERPRINT_H
