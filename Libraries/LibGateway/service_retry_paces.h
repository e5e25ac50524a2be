#ifndef PARSLEYSPINDLE_LIBGATEWAY_SERVICE_RETRY_PACES_H
#define PARSLEYSPINDLE_LIBGATEWAY_SERVICE_RETRY_PACES_H

#include "LibCore/runtime_clock.h"
#include "LibScheduling/retry_time.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace spindle {

/// How fast this host serves the requests to each service and refuses callers.
/// Holds one entry for each service that the configuration has named.
/// Thread-safe.
class service_retry_paces {
public:
  explicit service_retry_paces(const runtime_clock &Clock) : Clock(Clock) {}

  void noteServed(std::string_view Service);
  void noteRefused(std::string_view Service);
  /// When a caller that was refused just now, and was counted, should return.
  /// \p UntilRoom is the time until there is room for its request, and
  /// \p TimeLeft how long it waits for its answer. \p Draw is a random number
  /// in [0, 1).
  milliseconds retryAfter(std::string_view Service, milliseconds UntilRoom,
                          milliseconds TimeLeft, double Draw) const;

private:
  const runtime_clock &Clock;
  mutable std::mutex Mutex;
  std::map<std::string, retry_pace, std::less<>> Paces;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SERVICE_RETRY_PACES_H
