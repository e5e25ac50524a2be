#ifndef PARSLEYSPINDLE_LIBCORE_RETRY_AFTER_ERROR_H
#define PARSLEYSPINDLE_LIBCORE_RETRY_AFTER_ERROR_H

#include "LibCore/result_code.h"
#include "LibCore/runtime_clock.h"

namespace spindle {

/// A refusal with the time after which a repeat may succeed.
class retry_after_error : public spindle_error {
public:
  /// Precondition: \p RetryAfter is not negative.
  retry_after_error(result_code Code, const std::string &Message,
                    milliseconds RetryAfter)
      : spindle_error(Code, Message), RetryAfter(RetryAfter) {}

  /// For the Retry-After header. Thread-safe.
  milliseconds retryAfter() const { return RetryAfter; }

private:
  milliseconds RetryAfter;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_RETRY_AFTER_ERROR_H
