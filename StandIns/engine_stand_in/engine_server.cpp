#include "engine_stand_in/engine_server.h"

#include "LibCore/result_code.h"
#include "LibHTTP/http_client.h"
#include "LibStandIn/credential_log.h"
#include "LibStandIn/json_exchange.h"
#include "engine_stand_in/answer_text.h"
#include "engine_stand_in/answer_writer.h"
#include "engine_stand_in/engine_batch.h"
#include "engine_stand_in/engine_faults.h"

#include <algorithm>
#include <mutex>

namespace spindle {

using nlohmann::json;

/// How often a waiting request checks whether its caller has left.
static constexpr milliseconds CallerCheckInterval{100};
static constexpr milliseconds LoadPollInterval{10};

namespace {

/// Ends a request's part of the batch when its handler ends.
struct running_answer {
  engine_batch &Batch;
  std::uint64_t Request = 0;
  std::uint32_t Sent = 0;

  running_answer(engine_batch &Batch, std::uint64_t Request)
      : Batch(Batch), Request(Request) {}
  ~running_answer() { Batch.end(Request, Sent); }
  running_answer(const running_answer &) = delete;
  running_answer &operator=(const running_answer &) = delete;
};

} // namespace

struct engine_server::state {
  state(fiber_runtime &Runtime, const engine_server_settings &Settings)
      : Settings(Settings),
        Batch(Runtime, Settings.Model, Settings.FirstIncarnation) {}

  engine_faults faults();
  bool muted(const http_exchange &Exchange);
  bool refusing();
  void crash(milliseconds Time);
  void serveUpstream(http_exchange &Exchange);
  void serveCompletion(http_exchange &Exchange, bool Chat);
  void sendAnswer(http_exchange &Exchange, const engine_call &Call,
                  const request_faults &Drawn, running_answer &Answer);
  bool sendTokens(http_exchange &Exchange, const answer_writer &Writer,
                  const request_faults &Drawn, running_answer &Answer,
                  std::uint32_t Length);
  bool sendWhole(http_exchange &Exchange, const answer_writer &Writer,
                 const request_faults &Drawn, running_answer &Answer,
                 std::uint32_t Length);
  bool passSilence(http_exchange &Exchange);
  void serveLoad(http_exchange &Exchange);
  void serveUnload(http_exchange &Exchange);
  bool fetchWeights();
  void serveReport(http_exchange &Exchange);
  void serveCacheEvents(http_exchange &Exchange);
  void applySwitches(const json &Switches);
  json record();

  const engine_server_settings Settings;
  http_client Client;
  std::mutex Mutex;
  engine_faults Faults;
  /// The highest connection number, and the one when silence began.
  std::uint64_t LastConnection = 0;
  std::uint64_t MutedUpTo = 0;
  time_point RefusingUntil{};
  credential_log Credentials;
  engine_batch Batch;
};

engine_faults engine_server::state::faults() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Faults;
}

bool engine_server::state::muted(const http_exchange &Exchange) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::uint64_t Connection = Exchange.connectionNumber();
  LastConnection = std::max(LastConnection, Connection);
  return Faults.Silent && (Faults.SilentNew || Connection <= MutedUpTo);
}

bool engine_server::state::refusing() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Faults.Down || boot_clock::now() < RefusingUntil;
}

void engine_server::state::crash(milliseconds Time) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    RefusingUntil = boot_clock::now() + Time;
  }
  Batch.restart();
}

/// Holds the exchange while its connection is silent; returns whether it may
/// go on.
bool engine_server::state::passSilence(http_exchange &Exchange) {
  if (!muted(Exchange))
    return true;
  holdSilently(Exchange, [&] { return !muted(Exchange); });
  Exchange.abort();
  return false;
}

static std::string errorText(const std::string &Message, int Code) {
  return json{{"object", "error"}, {"message", Message}, {"code", Code}}.dump();
}

void engine_server::state::serveCompletion(http_exchange &Exchange, bool Chat) {
  const std::string Body = Exchange.readBody(StandInBodyLimitBytes);
  engine_call Call = readEngineCall(Chat, Body);
  Call.RequestId = findField(Exchange.request().Fields, "X-Request-Id");
  Credentials.inspect(Exchange.request(), Body);
  request_faults Drawn;
  milliseconds CrashTime{0};
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Drawn = drawFaults(Faults, Call.Prompt);
    CrashTime = Faults.CrashTime;
  }
  if (Drawn.Crash) {
    crash(CrashTime);
    return Exchange.abort();
  }
  engine_request Request;
  Request.Adapter = Call.Model;
  Request.PrefixHash = Call.PrefixHash;
  Request.PromptTokens = Call.PromptTokens;
  Request.AnswerTokens =
      answerLength(Call.Prompt, std::max(1U, Call.MaxTokens));
  Request.Priority = Call.Priority;
  const std::uint64_t Number = Batch.start(Request, Settings.Unbatched);
  if (Number == 0)
    return respondText(
        Exchange, 404,
        errorText("The model `" + Call.Model + "` does not exist.", 404));
  if (Call.RequestId.empty())
    Call.RequestId = std::to_string(Number);
  running_answer Answer(Batch, Number);
  sendAnswer(Exchange, Call, Drawn, Answer);
}

/// The call that a crossed answer belongs to.
static engine_call otherCall(const engine_call &Call) {
  engine_call Other = Call;
  Other.RequestId = "of-another-request";
  Other.Prompt += " of another caller";
  return Other;
}

void engine_server::state::sendAnswer(http_exchange &Exchange,
                                      const engine_call &Call,
                                      const request_faults &Drawn,
                                      running_answer &Answer) {
  if (Drawn.Late > milliseconds(0))
    sleepFor(Drawn.Late);
  const engine_call Answered = Drawn.Crossed ? otherCall(Call) : Call;
  const std::string Model = Drawn.WrongAdapter ? "another@0" : Call.Model;
  const std::uint32_t Length =
      answerLength(Call.Prompt, std::max(1U, Call.MaxTokens));
  const answer_writer Writer(Answered, Model, Length);
  const bool Whole = Call.Stream
                         ? sendTokens(Exchange, Writer, Drawn, Answer, Length)
                         : sendWhole(Exchange, Writer, Drawn, Answer, Length);
  if (!Whole)
    Exchange.abort();
}

/// Sends a stream; returns false if it has to be cut.
bool engine_server::state::sendTokens(http_exchange &Exchange,
                                      const answer_writer &Writer,
                                      const request_faults &Drawn,
                                      running_answer &Answer,
                                      std::uint32_t Length) {
  Exchange.startStream({200, {{"Content-Type", "text/event-stream"}}});
  const std::uint32_t End =
      Drawn.Truncate ? std::min(Drawn.TruncateAfter, Length) : Length;
  std::string Text;
  while (Answer.Sent < End) {
    const answer_progress Progress =
        Batch.wait(Answer.Request, Answer.Sent, CallerCheckInterval);
    if (Progress.Cut || Exchange.callerGone() || !passSilence(Exchange))
      return false;
    const std::uint32_t Upto =
        std::min({Progress.Tokens, End, Answer.Sent + Settings.EventsPerWrite});
    Text.clear();
    for (; Answer.Sent < Upto; ++Answer.Sent) {
      Writer.appendEvent(Text, Answer.Sent);
      if (Drawn.Duplicate && Answer.Sent == 0)
        Writer.appendEvent(Text, Answer.Sent);
    }
    if (!Drawn.Truncate && Answer.Sent == Length)
      Writer.appendEnd(Text);
    if (!Text.empty())
      Exchange.writeSome(Text);
  }
  if (Drawn.Truncate && !Drawn.TruncateCleanly)
    return false;
  Exchange.finishStream();
  return true;
}

/// Sends an answer as one document; returns false if it has to be cut.
bool engine_server::state::sendWhole(http_exchange &Exchange,
                                     const answer_writer &Writer,
                                     const request_faults &Drawn,
                                     running_answer &Answer,
                                     std::uint32_t Length) {
  while (Answer.Sent < Length) {
    const answer_progress Progress =
        Batch.wait(Answer.Request, Answer.Sent, CallerCheckInterval);
    if (Progress.Cut || Exchange.callerGone() || !passSilence(Exchange))
      return false;
    Answer.Sent = Progress.Tokens;
  }
  const std::string Text = Writer.whole();
  if (!Drawn.Truncate) {
    respondText(Exchange, 200, Text);
    return true;
  }
  Exchange.startStream({200, {{"Content-Type", "application/json"}}});
  Exchange.writeSome(std::string_view(Text).substr(0, Text.size() / 2));
  if (!Drawn.TruncateCleanly)
    return false;
  Exchange.finishStream();
  return true;
}

/// Waits as long as a load takes; returns whether it succeeds.
bool engine_server::state::fetchWeights() {
  milliseconds Time = Settings.LoadTime;
  if (Settings.WeightStore) {
    try {
      const http_response Response =
          Client.call(*Settings.WeightStore, {"POST", "/weights/acquire", {}},
                      "", {}, connection_use::FreshOnce, StandInBodyLimitBytes);
      Time = milliseconds(
          json::parse(Response.Body).at("wait_ms").get<std::int64_t>());
    } catch (const std::exception &) {
      return false;
    }
  }
  bool Fails = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Fails = Faults.FailLoads != 0;
    Faults.FailLoads -= Faults.FailLoads > 0 ? 1 : 0;
    Time += Faults.SlowLoad;
  }
  sleepFor(Time);
  return !Fails;
}

static void respondOrder(http_exchange &Exchange, order_reply Order) {
  switch (Order) {
  case order_reply::Done:
  case order_reply::AlreadyThere:
    return respondText(Exchange, 200, "{}");
  case order_reply::OldFence:
    return respondText(Exchange, 409, errorText("old fencing number", 409));
  case order_reply::NoSlot:
    return respondText(Exchange, 400, errorText("no free slot", 400));
  case order_reply::NotLoaded:
    return respondText(Exchange, 404, errorText("adapter not loaded", 404));
  }
}

void engine_server::state::serveLoad(http_exchange &Exchange) {
  const json Body = readJson(Exchange);
  Credentials.inspect(Exchange.request(), "");
  const std::string Adapter = Body.value("lora_name", std::string());
  std::uint64_t Incarnation = 0;
  const order_reply Order = Batch.beginLoad(
      Adapter, Body.value("fence", std::uint64_t{0}), Incarnation);
  if (Order == order_reply::Done) {
    const bool Fetched = fetchWeights();
    if (Batch.finishLoad(Adapter, Incarnation, Fetched))
      return respondOrder(Exchange, Order);
    return respondText(Exchange, 500, errorText("the load failed", 500));
  }
  if (Order != order_reply::AlreadyThere)
    return respondOrder(Exchange, Order);
  while (Batch.loading(Adapter) && !Exchange.callerGone())
    sleepFor(LoadPollInterval);
  if (Batch.serves(Adapter))
    return respondOrder(Exchange, Order);
  respondText(Exchange, 500, errorText("the load failed", 500));
}

void engine_server::state::serveUnload(http_exchange &Exchange) {
  const json Body = readJson(Exchange);
  Credentials.inspect(Exchange.request(), "");
  respondOrder(Exchange, Batch.unload(Body.value("lora_name", std::string()),
                                      Body.value("fence", std::uint64_t{0})));
}

void engine_server::state::serveReport(http_exchange &Exchange) {
  const engine_faults Present = faults();
  const engine_report Report = Batch.report(Present.ReportLag);
  respondJson(Exchange, 200,
              {{"incarnation", Report.Incarnation},
               {"loaded", Report.Loaded},
               {"loading", Report.Loading},
               {"slots", Report.Slots},
               {"batch_size", Report.BatchSize},
               {"running", Report.Running},
               {"waiting", Report.Waiting},
               {"fence", Report.Fence},
               {"age_ms", Report.Age.count()},
               {"leaving", Present.Leaving}});
}

void engine_server::state::serveCacheEvents(http_exchange &Exchange) {
  const engine_faults Present = faults();
  const std::string Since = queryParameter(Exchange.request().Target, "since");
  std::uint64_t Sequence = 0;
  if (!Since.empty())
    Sequence = std::stoull(Since);
  json Events = json::array();
  for (const engine_cache_event &Event :
       Batch.cacheEvents(Sequence, Present.CacheLag, Present.CacheGapEvery))
    Events.push_back({{"sequence", Event.Sequence},
                      {"prefix_hash", Event.PrefixHash},
                      {"stored", Event.Stored}});
  respondJson(Exchange, 200, {{"events", std::move(Events)}});
}

void engine_server::state::applySwitches(const json &Switches) {
  engine_faults New = readEngineFaults(Switches);
  Credentials.setSecrets(New.Secrets);
  bool Restart = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Restart = New.Restarts > Faults.Restarts;
    if (New.Silent && !Faults.Silent)
      MutedUpTo = LastConnection;
    Faults = std::move(New);
  }
  if (Restart)
    Batch.restart();
}

json engine_server::state::record() {
  const engine_record Record = Batch.record();
  return {{"steps", Record.Steps},
          {"tokens", Record.Tokens},
          {"tokens_per_step", Record.Steps == 0
                                  ? 0.0
                                  : static_cast<double>(Record.Tokens) /
                                        static_cast<double>(Record.Steps)},
          {"peak_running", Record.PeakRunning},
          {"loads", Record.Loads},
          {"loads_failed", Record.LoadsFailed},
          {"unloads", Record.Unloads},
          {"old_fences", Record.OldFences},
          {"cache_hits", Record.CacheHits},
          {"cache_misses", Record.CacheMisses},
          {"restarts", Record.Restarts},
          {"evicted_in_use", Record.EvictedInUse},
          {"requests_by_adapter", Record.RequestsByAdapter},
          {"credentials", Credentials.places()}};
}

void engine_server::state::serveUpstream(http_exchange &Exchange) {
  if (refusing())
    return Exchange.abort();
  if (!passSilence(Exchange))
    return;
  const std::string_view Path = pathOf(Exchange.request().Target);
  if (Path == "/v1/completions")
    return serveCompletion(Exchange, false);
  if (Path == "/v1/chat/completions")
    return serveCompletion(Exchange, true);
  if (Path == "/v1/load_lora_adapter")
    return serveLoad(Exchange);
  if (Path == "/v1/unload_lora_adapter")
    return serveUnload(Exchange);
  if (Path == "/load")
    return serveReport(Exchange);
  if (Path == "/cache_events")
    return serveCacheEvents(Exchange);
  respondError(Exchange, 404, "no such path");
}

engine_server::engine_server(fiber_runtime &Runtime,
                             const engine_server_settings &Settings)
    : State(std::make_shared<state>(Runtime, Settings)) {}

engine_server::~engine_server() = default;

void engine_server::handle(http_exchange &Exchange) {
  const std::string_view Path = pathOf(Exchange.request().Target);
  if (Path == "/control")
    return serveControl(
        Exchange, [this] { return toSwitches(State->faults()); },
        [this](const json &Switches) { State->applySwitches(Switches); });
  if (Path == "/control/record")
    return respondJson(Exchange, 200, State->record());
  State->serveUpstream(Exchange);
}

} // namespace spindle
