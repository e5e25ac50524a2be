#ifndef PARSLEYSPINDLE_STANDINS_SERVICE_STAND_IN_SERVICE_SERVER_H
#define PARSLEYSPINDLE_STANDINS_SERVICE_STAND_IN_SERVICE_SERVER_H

#include "LibCore/runtime_clock.h"
#include "LibHTTP/http_server.h"

#include <memory>
#include <string>

namespace spindle {

struct service_server_settings {
  /// Names the service in its answers.
  std::string Name = "service";
  milliseconds Latency{0};
  /// Whether one order key takes effect once and a repeat gets the same
  /// answer.
  bool Deduplicates = false;
};

/// A plain service: any method and path takes effect and is answered with
/// {"service","method","path","order_key","effect","body_sha256"}, where
/// effect counts the order key's effects. GET /control/record reports what has
/// run, GET /control/orders the effects of each order key, POST /control/reset
/// clears it. GET /load reports the running calls. Thread-safe.
///
/// Switches of /control:
/// - latency_ms: time before the effect;
/// - slow_ms: time between the effect and the answer;
/// - crash_before, crash_after: the next N calls lose their connection before
///   or after their effect;
/// - close_at_once: the next N calls lose their connection unread;
/// - truncate: the next N answers end in the middle of the body;
/// - silent: no call is answered while this is set; none takes effect;
/// - fail: the next N calls are answered with 500 without effect;
/// - leaving: reported by /load;
/// - secrets: texts that may reach no upstream, for the record's credentials.
class service_server {
public:
  explicit service_server(const service_server_settings &Settings);
  ~service_server();
  service_server(const service_server &) = delete;
  service_server &operator=(const service_server &) = delete;

  /// Handles one exchange, in a fiber.
  void handle(http_exchange &Exchange);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_SERVICE_STAND_IN_SERVICE_SERVER_H
