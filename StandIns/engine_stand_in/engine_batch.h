#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_BATCH_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_BATCH_H

#include "LibRuntime/fiber_runtime.h"
#include "engine_stand_in/engine_simulator.h"

#include <memory>
#include <vector>

namespace spindle {

/// The progress of the answer to a request.
struct answer_progress {
  std::uint32_t Tokens = 0;
  bool Finished = false;
  /// The engine has dropped the request.
  bool Cut = false;
};

/// Runs an engine_simulator in real time: a fiber ends its steps when they are
/// due, and the requests' fibers wait for their tokens. Thread-safe.
class engine_batch {
public:
  /// \p Runtime must outlive the object.
  engine_batch(fiber_runtime &Runtime,
               const engine_simulator_settings &Settings,
               std::uint64_t Incarnation);
  /// Ends the fiber. Precondition: not called on a runtime thread.
  ~engine_batch();
  engine_batch(const engine_batch &) = delete;
  engine_batch &operator=(const engine_batch &) = delete;

  /// Starts a request and returns its number; 0 if its adapter isn't loaded.
  /// Unbatched requests only hold their adapter.
  std::uint64_t start(engine_request Request, bool Unbatched);
  /// Waits until the answer has more than \p Seen tokens, is cut, or \p Limit
  /// has passed. Precondition: \p Request was started and not ended.
  answer_progress wait(std::uint64_t Request, std::uint32_t Seen,
                       milliseconds Limit);
  /// Ends a request of which \p Tokens were sent. Call once for each start().
  void end(std::uint64_t Request, std::uint32_t Tokens);

  /// Begins a load; \p Incarnation is what finishLoad() takes.
  order_reply beginLoad(std::string_view Adapter, std::uint64_t Fence,
                        std::uint64_t &Incarnation);
  /// Ends a load; returns whether the adapter serves.
  bool finishLoad(std::string_view Adapter, std::uint64_t Incarnation,
                  bool Loaded);
  order_reply unload(std::string_view Adapter, std::uint64_t Fence);
  bool serves(std::string_view Adapter) const;
  bool loading(std::string_view Adapter) const;
  void restart();

  engine_report report(milliseconds Lag) const;
  std::vector<engine_cache_event> cacheEvents(std::uint64_t Sequence,
                                              milliseconds Lag,
                                              std::uint64_t GapEvery) const;
  engine_record record() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_BATCH_H
