#ifndef PARSLEYSPINDLE_LIBRESILIENCE_REQUEST_FINGERPRINT_H
#define PARSLEYSPINDLE_LIBRESILIENCE_REQUEST_FINGERPRINT_H

#include "LibCore/strong_id.h"

#include <string_view>

namespace spindle {

struct fingerprint_tag {};
/// Identifies a request by its content, so that a repeat is recognised.
using request_fingerprint = strong_id<fingerprint_tag>;

/// Derives the fingerprint of a request. \p Target is the adapter or the route
/// that it asks for; the customer takes part, so that one customer's request
/// can't hold back another's. Thread-safe.
request_fingerprint fingerprintOf(customer_id Customer, std::string_view Target,
                                  std::string_view Body);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_REQUEST_FINGERPRINT_H
