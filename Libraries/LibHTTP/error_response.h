#ifndef PARSLEYSPINDLE_LIBHTTP_ERROR_RESPONSE_H
#define PARSLEYSPINDLE_LIBHTTP_ERROR_RESPONSE_H

#include "LibHTTP/http_message.h"

#include <exception>

namespace spindle {

/// The response that tells of \p Error: the code's HTTP status and a JSON
/// body {"error":{"code","name","state","message"}}. Thread-safe.
http_response errorResponse(const std::exception &Error);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_ERROR_RESPONSE_H
