#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SERVER_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SERVER_H

#include "LibHTTP/http_server.h"
#include "engine_stand_in/engine_simulator.h"

#include <memory>
#include <optional>

namespace spindle {

struct engine_server_settings {
  engine_simulator_settings Model;
  /// Answers stream as fast as they can, outside of any batch, several events
  /// a write.
  bool Unbatched = false;
  std::uint32_t EventsPerWrite = 8;
  /// The platform stand-in that admits loads.
  std::optional<endpoint> WeightStore;
  /// How long a load takes without a weight store.
  milliseconds LoadTime{250};
  std::uint64_t FirstIncarnation = 1;
};

/// A model engine: the OpenAI endpoints, orders to load and unload adapters,
/// GET /load, GET /cache_events, GET /control/record and /control. Thread-safe.
///
/// Switches of /control:
/// - down: every connection is closed without an answer;
/// - silent: connections open when this is set get no further byte while it
///   is set; silent_new: new ones neither;
/// - leaving: reported by /load;
/// - restarts: growing this number restarts the engine empty;
/// - fail_loads: the next N loads fail, all of them if negative;
/// - slow_load_ms: added to each load;
/// - report_lag_ms, cache_lag_ms: age of what /load and /cache_events report;
/// - cache_gap_every: each such cache event is missing;
/// - crash_mark, crash_ms: a prompt that holds the mark crashes the engine,
///   which then refuses everything for that long and starts empty;
/// - late_ms: time before each answer's first byte;
/// - truncate, truncate_after, truncate_cleanly: the next N answers end after
///   so many tokens, by a cut or like a finished body;
/// - wrong_adapter, crossed: the next N answers name another adapter, or are
///   those to another request;
/// - duplicate: the next N streams repeat their first event;
/// - secrets: texts that may reach no upstream, for the record's credentials.
class engine_server {
public:
  /// \p Runtime must outlive the object.
  engine_server(fiber_runtime &Runtime, const engine_server_settings &Settings);
  /// Ends the batch. Precondition: no exchange is being handled.
  ~engine_server();
  engine_server(const engine_server &) = delete;
  engine_server &operator=(const engine_server &) = delete;

  /// Handles one exchange, in a fiber.
  void handle(http_exchange &Exchange);

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_SERVER_H
