#ifndef PARSLEYSPINDLE_LIBHTTP_ERROR_RESPONSE_H
#define PARSLEYSPINDLE_LIBHTTP_ERROR_RESPONSE_H

#include "LibHTTP/http_message.h"

#include <exception>

namespace spindle {

/// How Retry-After states a time.
enum class retry_after_form {
  /// As RFC 9110 has it.
  WholeSeconds,
  /// In seconds with three decimals, for callers that read them.
  Fractions,
};

/// The response that tells of \p Error: the code's HTTP status and a JSON
/// body {"error":{"code","name","state","message"}}. Thread-safe.
http_response errorResponse(const std::exception &Error, retry_after_form Form);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_ERROR_RESPONSE_H
