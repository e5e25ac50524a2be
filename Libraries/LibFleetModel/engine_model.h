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
  /// that are still to be read.
  std::int64_t Unread = 0;
  std::int64_t Generated = 0;
  /// The whole prompt was read once.
  bool WasRead = false;
  std::uint32_t Preempted = 0;
};

/// What happened in a step of an engine.
struct engine_events {
  /// Runs that have given an event now.
  std::vector<std::uint64_t> Events;
  /// Runs that have ended.
  std::vector<std::uint64_t> Ended;
};

/// A model engine: it runs requests in a batch, reads prompts in pieces between
/// the tokens of the others, and keeps what it has read in the memory that
/// the running requests leave. Not thread-safe.
class engine_model {
public:
  explicit engine_model(const model_fleet &Fleet) : Fleet(Fleet) {}

  /// Lets a request wait for its place in the batch. \p Run's Request must
  /// outlive it.
  void add(const engine_run &Run);
  /// Takes a request out whose caller has left.
  void cancel(std::uint64_t Id);
  /// Drops all requests, and what was kept: the engine is gone.
  std::vector<std::uint64_t> clear();
  /// Whether there is anything to do.
  bool busy() const { return !Running.empty() || !Waiting.empty(); }
  /// Does one step and returns how long it took.
  nanoseconds step(engine_events &Events);
  /// Tokens of the request's prompt that are kept here.
  std::int64_t cachedTokens(const request_description &Request) const {
    return Kept.cachedTokens(Request);
  }
  std::size_t running() const { return Running.size(); }
  std::size_t waiting() const { return Waiting.size(); }
  std::uint64_t preemptions() const { return Preemptions; }
  std::int64_t tokensRead() const { return TokensRead; }

private:
  void admit();
  std::int64_t usedTokens() const;
  void makeRoom();
  std::int64_t readPieces();
  void generate(engine_events &Events);

  const model_fleet &Fleet;
  std::list<engine_run> Waiting;
  std::list<engine_run> Running;
  prompt_cache_estimate Kept;
  std::uint64_t Preemptions = 0;
  std::int64_t TokensRead = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_ENGINE_MODEL_H
