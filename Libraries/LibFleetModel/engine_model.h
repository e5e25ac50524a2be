#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_ENGINE_MODEL_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_ENGINE_MODEL_H

#include "LibCore/runtime_clock.h"
#include "LibFleetModel/model_settings.h"
#include "LibGateway/prompt_cache_estimate.h"
#include "LibGateway/request_description.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace spindle {

/// A request as an engine runs it.
struct engine_run {
  std::uint64_t Id = 0;
  const request_description *Request = nullptr;
  std::int64_t OutputTokens = 1;
  std::int64_t TokensPerEvent = 1;
  int Urgency = 0;
  /// Tokens of the prompt, and of what was generated before it was preempted,
  /// that are still to be prefilled.
  std::int64_t Unread = 0;
  std::int64_t Generated = 0;
  /// Whether the whole prompt was prefilled once.
  bool WasPrefilled = false;
  std::uint32_t Preempted = 0;
};

/// The results of a step of an engine.
struct engine_events {
  /// Runs that generated an event in the step.
  std::vector<std::uint64_t> Events;
  /// Runs that have ended.
  std::vector<std::uint64_t> Ended;
};

/// A model engine: it runs requests in a batch, prefills prompts in pieces
/// between the tokens of the others, and caches prefilled prompts in the memory
/// that the running requests leave. Not thread-safe.
class engine_model {
public:
  explicit engine_model(const model_fleet &Fleet) : Fleet(Fleet) {}

  /// Queues a request for its place in the batch. \p Run's Request must
  /// outlive it.
  void add(const engine_run &Run);
  /// Removes a request whose caller has left.
  void cancel(std::uint64_t Id);
  /// Removes all requests and empties the cache, as the engine is gone; returns
  /// the requests' ids.
  std::vector<std::uint64_t> clear();
  /// Whether any request runs or waits.
  bool busy() const { return !Running.empty() || !Waiting.empty(); }
  /// Runs one step and returns how long it took.
  nanoseconds step(engine_events &Events);
  /// Tokens of the request's prompt that are cached.
  std::int64_t cachedTokens(const request_description &Request) const {
    return Cache.cachedTokens(Request);
  }
  std::size_t running() const { return Running.size(); }
  std::size_t waiting() const { return Waiting.size(); }
  std::uint64_t preemptions() const { return Preemptions; }
  std::int64_t tokensPrefilled() const { return TokensPrefilled; }

private:
  void admit();
  std::int64_t usedTokens() const;
  void makeRoom();
  std::int64_t prefillPieces();
  void generate(engine_events &Events);

  const model_fleet &Fleet;
  std::list<engine_run> Waiting;
  std::list<engine_run> Running;
  prompt_cache_estimate Cache;
  std::uint64_t Preemptions = 0;
  std::int64_t TokensPrefilled = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_ENGINE_MODEL_H
