#include "engine_stand_in/engine_batch.h"

#include "LibRuntime/completion.h"
#include "engine_stand_in/report_history.h"

#include <map>
#include <mutex>

#include <boost/fiber/condition_variable.hpp>

namespace spindle {

using lock = std::unique_lock<std::mutex>;
using condition = boost::fibers::condition_variable_any;

namespace {

/// What a request's fiber waits on. Guarded by the batch's mutex.
struct token_feed {
  answer_progress Progress;
  bool Unbatched = false;
  condition Changed;
};

} // namespace

struct engine_batch::state {
  state(const engine_simulator_settings &Settings, std::uint64_t Incarnation)
      : Model(Settings, Incarnation) {}

  void drive();
  void deliver(const generated_token &Token);
  void cut(const std::vector<std::uint64_t> &Requests);
  void noteChange() { History.add(boot_clock::now(), Model.report()); }

  mutable std::mutex Mutex;
  engine_simulator Model;
  report_history History;
  std::uint64_t LastRequest = 0;
  std::map<std::uint64_t, std::shared_ptr<token_feed>> Feeds;
  bool Stop = false;
  /// Signalled when the batch may have new work.
  condition Work;
  completion<bool> Stopped;
};

void engine_batch::state::deliver(const generated_token &Token) {
  const auto Found = Feeds.find(Token.Request);
  if (Found == Feeds.end())
    return;
  ++Found->second->Progress.Tokens;
  Found->second->Progress.Finished = Token.Last;
  Found->second->Changed.notify_all();
}

void engine_batch::state::cut(const std::vector<std::uint64_t> &Requests) {
  for (const std::uint64_t Request : Requests) {
    const auto Found = Feeds.find(Request);
    if (Found == Feeds.end())
      continue;
    Found->second->Progress.Cut = true;
    Found->second->Changed.notify_all();
  }
}

void engine_batch::state::drive() {
  lock Lock(Mutex);
  while (!Stop) {
    const std::optional<time_point> End = Model.stepEnd();
    if (!End) {
      Work.wait(Lock);
      continue;
    }
    const time_point Now = boot_clock::now();
    if (*End > Now) {
      Work.wait_for(Lock, *End - Now);
      continue;
    }
    for (const generated_token &Token : Model.step(Now))
      deliver(Token);
    noteChange();
  }
}

engine_batch::engine_batch(fiber_runtime &Runtime,
                           const engine_simulator_settings &Settings,
                           std::uint64_t Incarnation)
    : State(std::make_shared<state>(Settings, Incarnation)) {
  Runtime.spawn([State = State, Deliver = State->Stopped.deliverer()] {
    State->drive();
    Deliver(true);
  });
}

engine_batch::~engine_batch() {
  {
    const lock Lock(State->Mutex);
    State->Stop = true;
    State->Work.notify_all();
  }
  State->Stopped.wait();
}

std::uint64_t engine_batch::start(engine_request Request, bool Unbatched) {
  const lock Lock(State->Mutex);
  if (!State->Model.serves(Request.Adapter))
    return 0;
  Request.Id = ++State->LastRequest;
  const std::shared_ptr<token_feed> Feed = std::make_shared<token_feed>();
  State->Feeds.emplace(Request.Id, Feed);
  if (Unbatched) {
    Feed->Unbatched = true;
    Feed->Progress = {Request.AnswerTokens, true, false};
    State->Model.beginUnbatched(Request);
    return Request.Id;
  }
  const bool WasIdle = !State->Model.stepEnd();
  State->Model.submit(boot_clock::now(), Request);
  if (WasIdle)
    State->Work.notify_all();
  State->noteChange();
  return Request.Id;
}

answer_progress engine_batch::wait(std::uint64_t Request, std::uint32_t Seen,
                                   milliseconds Limit) {
  lock Lock(State->Mutex);
  const std::shared_ptr<token_feed> Feed = State->Feeds.at(Request);
  Feed->Changed.wait_for(Lock, Limit, [&Feed, Seen] {
    return Feed->Progress.Tokens > Seen || Feed->Progress.Cut;
  });
  return Feed->Progress;
}

void engine_batch::end(std::uint64_t Request, std::uint32_t Tokens) {
  const lock Lock(State->Mutex);
  const auto Found = State->Feeds.find(Request);
  if (Found == State->Feeds.end())
    return;
  if (Found->second->Unbatched)
    State->Model.endUnbatched(Request, Tokens);
  else
    State->Model.cancel(Request);
  State->Feeds.erase(Found);
}

order_reply engine_batch::beginLoad(std::string_view Adapter,
                                    std::uint64_t Fence,
                                    std::uint64_t &Incarnation) {
  const lock Lock(State->Mutex);
  Incarnation = State->Model.incarnation();
  const order_reply Order = State->Model.beginLoad(Adapter, Fence);
  State->noteChange();
  return Order;
}

bool engine_batch::finishLoad(std::string_view Adapter,
                              std::uint64_t Incarnation, bool Loaded) {
  const lock Lock(State->Mutex);
  State->Model.finishLoad(Adapter, Incarnation, Loaded);
  State->noteChange();
  return State->Model.serves(Adapter);
}

order_reply engine_batch::unload(std::string_view Adapter,
                                 std::uint64_t Fence) {
  const lock Lock(State->Mutex);
  std::vector<std::uint64_t> Cut;
  const order_reply Order = State->Model.unload(Adapter, Fence, Cut);
  State->cut(Cut);
  State->noteChange();
  return Order;
}

bool engine_batch::serves(std::string_view Adapter) const {
  const lock Lock(State->Mutex);
  return State->Model.serves(Adapter);
}

bool engine_batch::loading(std::string_view Adapter) const {
  const lock Lock(State->Mutex);
  return State->Model.loading(Adapter);
}

void engine_batch::restart() {
  const lock Lock(State->Mutex);
  State->cut(State->Model.restart());
  State->History = {};
  State->noteChange();
}

engine_report engine_batch::report(milliseconds Lag) const {
  const lock Lock(State->Mutex);
  return State->History.reportOf(boot_clock::now(), Lag, State->Model.report());
}

std::vector<engine_cache_event>
engine_batch::cacheEvents(std::uint64_t Sequence, milliseconds Lag,
                          std::uint64_t GapEvery) const {
  const lock Lock(State->Mutex);
  return State->Model.cache().eventsSince(boot_clock::now(), Sequence, Lag,
                                          GapEvery);
}

engine_record engine_batch::record() const {
  const lock Lock(State->Mutex);
  return State->Model.record();
}

} // namespace spindle
