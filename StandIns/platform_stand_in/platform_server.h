#ifndef PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_SERVER_H
#define PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_SERVER_H

#include "LibHTTP/http_server.h"
#include "platform_stand_in/object_store.h"
#include "platform_stand_in/rate_meter.h"
#include "platform_stand_in/weight_store.h"

#include <memory>

namespace spindle {

struct platform_server_settings {
  call_rates Rates;
  std::size_t HistoryEvents = 10'000;
  /// The time between two bookmarks on a quiet watch.
  milliseconds BookmarkInterval{2'000};
  weight_store_settings Weights;
};

/// Serves the platform's REST API from memory, the weight store's admission
/// (POST /weights/acquire answers {"wait_ms": N}), and switches for faults:
/// GET and PUT /control, GET /control/counts, POST /control/reset.
/// Thread-safe.
///
/// Switches of /control:
/// - down: calls end without an answer and without effect;
/// - hang: calls get no answer while this is set, without effect;
/// - slow_ms: each call waits that long first;
/// - lose_writes: the next N writes end without an answer or effect;
/// - lose_answers: the next N writes take effect, but get no answer;
/// - lose_kind: the kind that both apply to; empty: every kind;
/// - stale_watch: watches stay open, but nothing arrives on them;
/// - close_watches: growing this number closes all open watches;
/// - drop_history: growing this number makes every older version too old;
/// - cut_zones, cut_hosts: calls and watches of clients whose User-Agent is
///   "spindle/ZONE/HOST" with one of these are held without an answer;
/// - reads_per_second, writes_per_second: beyond them, calls get 429.
class platform_server {
public:
  explicit platform_server(const platform_server_settings &Settings);
  ~platform_server();
  platform_server(const platform_server &) = delete;
  platform_server &operator=(const platform_server &) = delete;

  /// Handles one exchange, in a fiber.
  void handle(http_exchange &Exchange);

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_SERVER_H
