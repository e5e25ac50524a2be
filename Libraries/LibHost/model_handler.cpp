#include "LibHost/model_handler.h"

#include "LibEngine/answer_verifier.h"
#include "LibEngine/completion_request.h"
#include "LibEngine/event_stream_reader.h"
#include "LibHost/upstream_attempt.h"

#include <array>
#include <charconv>
#include <random>

#include <nlohmann/json.hpp>

namespace spindle {

namespace {

// What a request that names no bound may generate.
constexpr std::uint32_t DefaultMaxTokens = 1024;
// An answer that is not streamed is held whole until it is verified.
constexpr std::size_t AnswerLimitBytes = 16U << 20U;
constexpr std::size_t ReadBytes = 16U << 10U;
constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpTooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int HttpUnavailable = 503;

/// A request to run a model, checked and ready to be sent.
struct model_run {
  completion_request Request;
  adapter_view Adapter;
  std::string AdapterName;
  /// Differs at each attempt.
  std::string RequestId;
  std::uint32_t MaxTokens = DefaultMaxTokens;
  priority_class Priority = priority_class::Plain;
  request_fingerprint Fingerprint;
  tokens Estimate;
  time_point Deadline;
  std::vector<upstream_id> Avoid;
  call_progress Progress;
};

std::optional<completion_endpoint> endpointOf(std::string_view Path) {
  if (Path.ends_with("/chat/completions"))
    return completion_endpoint::ChatCompletions;
  if (Path.ends_with("/completions"))
    return completion_endpoint::Completions;
  return std::nullopt;
}

void listModels(request_context &Context) {
  nlohmann::ordered_json Body;
  Body["object"] = "list";
  Body["data"] = nlohmann::ordered_json::array();
  for (const std::string &Name :
       Context.Snapshot->adapterNamesFor(Context.Caller.Tenant))
    Body["data"].push_back({{"id", Name}, {"object", "model"}});
  Context.Exchange.respond({HttpOk, {{"Content-Type", "application/json"}}},
                           Body.dump());
}

/// Returns an id that no other request of the fleet has, but by chance.
std::string newRequestId() {
  thread_local std::mt19937_64 Generator{std::random_device{}()};
  std::array<char, 20> Text{};
  const std::to_chars_result End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Generator(), 16);
  return {Text.data(), End.ptr};
}

adapter_view findAdapter(const request_context &Context,
                         std::string_view Model) {
  const std::optional<adapter_view> Adapter =
      Context.Snapshot->findAdapter(Model);
  const bool Allowed =
      Adapter && (!Adapter->Tenant || Adapter->Tenant == Context.Caller.Tenant);
  if (!Allowed)
    throw spindle_error(result_code::UnknownModel,
                        "no adapter \"" + std::string(Model) +
                            "\" is declared for this key's tenant");
  return *Adapter;
}

priority_class allowedPriority(const request_context &Context,
                               std::optional<priority_class> Wanted) {
  const tenant_declaration *const Tenant =
      Context.Snapshot->findTenant(Context.Caller.Tenant);
  const priority_class Highest =
      Tenant ? Tenant->HighestPriority : priority_class::Plain;
  if (!Wanted)
    return std::max(Highest, priority_class::Plain);
  if (*Wanted < Highest)
    throw spindle_error(result_code::PriorityNotAllowed,
                        "field \"priority\": the tenant may not claim this "
                        "class");
  return *Wanted;
}

model_run prepareRun(request_context &Context, completion_endpoint Endpoint) {
  const std::string Body =
      Context.Exchange.readBody(Context.Route.BodyLimitBytes);
  refuseKeyInBody(Body, Context.Caller.Key);
  model_run Run;
  Run.Request = parseCompletionRequest(Endpoint, Body);
  Run.Adapter = findAdapter(Context, Run.Request.Model);
  Run.AdapterName =
      std::string(Run.Adapter.Name) + "@" + std::string(Run.Adapter.Version);
  Run.MaxTokens = Run.Request.MaxTokens.value_or(DefaultMaxTokens);
  Run.Priority = allowedPriority(Context, Run.Request.Priority);
  Run.Fingerprint = fingerprintOf(Context.Caller.Tenant, Run.AdapterName,
                                  std::to_string(Run.Request.Fingerprint));
  Run.Estimate = Run.Request.PromptTokens + tokens{Run.MaxTokens};
  Run.Deadline = Context.Services.Queue.deadlineFor(Run.Priority);
  Run.Progress.Idempotent = true;
  return Run;
}

/// How much a class counts when loads are put in order.
double loadWeightOf(priority_class Priority) {
  switch (Priority) {
  case priority_class::Rush:
    return 4;
  case priority_class::Chat:
    return 2;
  case priority_class::Plain:
    return 1;
  case priority_class::Batch:
    return 0.5;
  }
  return 1;
}

/// Adds the engines that were lost a short while ago to those that are
/// avoided. Returns whether any was added.
bool avoidLostEngines(const request_context &Context, const model_run &Run,
                      pin_request &Wanted) {
  const std::span<const upstream_declaration *const> Engines =
      Context.Snapshot->enginesOfModel(Run.Adapter.Model);
  for (const upstream_declaration *const Engine : Engines) {
    const upstream_id Id = upstream_id::ofName(Engine->Name);
    if (Context.Services.Health.isLost(Id))
      Wanted.Avoid.push_back(Id);
  }
  return Wanted.Avoid.size() > Run.Avoid.size();
}

pin_lease acquirePin(request_context &Context, const model_run &Run) {
  pin_request Wanted;
  Wanted.Adapter = Run.Adapter.Id;
  Wanted.AdapterName = Run.AdapterName;
  Wanted.Model = std::string(Run.Adapter.Model);
  Wanted.PrefixHash = Run.Request.PrefixHash;
  Wanted.Prompt = Run.Request.PromptTokens;
  Wanted.Deadline = Run.Deadline;
  Wanted.Avoid = Run.Avoid;
  const tenant_declaration *const Tenant =
      Context.Snapshot->findTenant(Context.Caller.Tenant);
  const load_fairness::waiting_request Waiting =
      Context.Services.LoadFairness.enter(Context.Caller.Tenant,
                                          Tenant ? Tenant->Weight : 1);
  Wanted.Weight = Waiting.Weight * loadWeightOf(Run.Priority);
  if (!avoidLostEngines(Context, Run, Wanted))
    return Context.Services.Residency.acquire(Wanted);
  try {
    return Context.Services.Residency.acquire(Wanted);
  } catch (const spindle_error &Error) {
    if (Error.code() != result_code::NoUpstream)
      throw;
  }
  Wanted.Avoid = Run.Avoid;
  return Context.Services.Residency.acquire(Wanted);
}

/// \p RequestId comes back at the end of the answer's id, which shows that it
/// is the answer to this attempt.
http_request_head upstreamHead(const request_context &Context,
                               const std::string &RequestId) {
  http_request_head Head;
  Head.Method = "POST";
  Head.Target = std::string(pathOf(Context.Exchange.request().Target));
  Head.Fields = {{"Content-Type", "application/json"},
                 {"X-Request-Id", RequestId}};
  return Head;
}

/// Passes on a refusal of the engine that is about the request itself.
void passRefusal(request_context &Context, http_call &Call) {
  const std::string Body = Call.readAll(AnswerLimitBytes);
  http_response_head Head = Call.head();
  Head.Fields = {{"Content-Type", "application/json"}};
  Context.Exchange.respond(Head, Body);
}

tokens usedTokens(const model_run &Run, const answer_verifier &Verifier) {
  const std::uint64_t Prompt = Verifier.promptTokens();
  const tokens PromptTokens = Prompt > 0
                                  ? tokens{static_cast<std::int64_t>(Prompt)}
                                  : Run.Request.PromptTokens;
  return PromptTokens +
         tokens{static_cast<std::int64_t>(Verifier.completionTokens())};
}

tokens passWhole(request_context &Context, const model_run &Run,
                 http_call &Call) {
  answer_verifier Verifier(Run.AdapterName, Run.RequestId);
  const std::string Body = Call.readAll(AnswerLimitBytes);
  Verifier.acceptWhole(Body);
  throwIfCancelled(Context);
  Context.Exchange.respond({HttpOk, {{"Content-Type", "application/json"}}},
                           Body);
  return usedTokens(Run, Verifier);
}

void startEvents(request_context &Context) {
  Context.Exchange.startStream(
      {HttpOk,
       {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}}});
}

/// Passes on verified events, those of one read together.
tokens passEvents(request_context &Context, const model_run &Run,
                  upstream_attempt &Attempt, http_call &Call) {
  answer_verifier Verifier(Run.AdapterName, Run.RequestId);
  event_stream_reader Reader;
  std::string Accepted;
  char Space[ReadBytes];
  time_point LastRead = Context.Services.Clock.now();
  while (const std::size_t Count = Call.readSome(Space)) {
    const time_point Now = Context.Services.Clock.now();
    if (Context.Exchange.started())
      Context.Services.Health.noteNextBytes(Run.Avoid.back(), Now - LastRead);
    else
      Attempt.noteFirstByte();
    LastRead = Now;
    Reader.feed(std::string_view(Space, Count));
    Accepted.clear();
    stream_event Event;
    while (Reader.next(Event)) {
      Verifier.accept(Event);
      if (!Verifier.lastWasUsageOnly() || Run.Request.WantsUsage)
        Accepted += Event.Raw;
    }
    throwIfCancelled(Context);
    if (!Accepted.empty() && !Context.Exchange.started())
      startEvents(Context);
    Context.Exchange.writeSome(Accepted);
  }
  Verifier.finish();
  if (!Context.Exchange.started())
    startEvents(Context);
  Context.Exchange.finishStream();
  return usedTokens(Run, Verifier);
}

/// Whether an engine's status tells that it has not run the request: the
/// adapter is not there, or there is no room.
bool saysNotRun(int Status) {
  return Status == HttpNotFound || Status == HttpTooManyRequests ||
         Status == HttpUnavailable;
}

enum class attempt_result { Answered, Refused };

/// Sends the request to one engine and passes its answer on.
attempt_result runOnce(request_context &Context, model_run &Run,
                       const pin_lease &Pin, upstream_attempt &Attempt,
                       rate_charge &Charge, queue_ticket &Ticket) {
  request_services &Services = Context.Services;
  const std::string Body =
      upstreamBody(Run.Request, Run.AdapterName, Run.MaxTokens, Run.Priority);
  Run.RequestId = newRequestId();
  Charge.noteStarted();
  const std::unique_ptr<http_call> Call = Services.Client.start(
      Pin.Address, upstreamHead(Context, Run.RequestId), Body,
      limitsFor(Context, Pin.Engine), connectionFor(Context, Pin.Engine, true));
  const int Status = Call->head().Status;
  if (saysNotRun(Status))
    return attempt_result::Refused;
  if (Status >= FirstServerError)
    throw spindle_error(result_code::UpstreamFailed,
                        "the engine answered with status " +
                            std::to_string(Status));
  if (Status != HttpOk) {
    passRefusal(Context, *Call);
    Charge.settle(tokens{0});
    Attempt.succeed();
    return attempt_result::Answered;
  }
  const tokens Used = Run.Request.Stream
                          ? passEvents(Context, Run, Attempt, *Call)
                          : passWhole(Context, Run, *Call);
  Services.Upstreams.notePrefix(Pin.Engine, Run.Request.PrefixHash, true);
  Charge.settle(Used);
  Ticket.settle(Used);
  Attempt.succeed();
  return attempt_result::Answered;
}

/// Tells the caller of a stream that has begun why it ends. What is cut is
/// never ended as if it were whole.
void endStreamWithError(request_context &Context, const spindle_error &Error) {
  if (!Context.Exchange.started())
    return;
  nlohmann::ordered_json Event;
  Event["error"]["code"] = static_cast<int>(Error.code());
  Event["error"]["name"] = describe(Error.code()).Name;
  Event["error"]["state"] = toText(Error.state());
  Event["error"]["message"] = Error.what();
  try {
    Context.Exchange.writeSome("data: " + Event.dump() + "\n\n");
  } catch (const spindle_error &) {
    // The caller has gone; the connection is cut either way.
    return;
  }
}

/// Decides after a failed attempt. Returns if another is to be made.
/// \throws spindle_error with the true state otherwise.
void decideNext(request_context &Context, model_run &Run,
                attempt_failure Failure, const spindle_error &Cause) {
  const bool Begun = Context.Exchange.started();
  noteFailedAttempt(Run.Progress, Failure, Begun);
  const retry_decision Decision = Context.Services.Health.mayRetry(
      Context.Caller.Tenant, Run.Progress, Failure, Run.Deadline);
  if (Decision.Action == retry_action::Retry && !Begun)
    return;
  const bool Crossed = Cause.code() == result_code::WrongAdapterAnswered;
  const spindle_error Error(Crossed ? Cause.code() : Decision.Code,
                            Decision.State, Cause.what());
  endStreamWithError(Context, Error);
  throw spindle_error(Error);
}

/// Makes one attempt on a pinned engine. Returns whether the request ended.
bool attempt(request_context &Context, model_run &Run, rate_charge &Charge,
             queue_ticket &Ticket, const pin_lease &Pin) {
  Run.Avoid.push_back(Pin.Engine);
  upstream_attempt Attempt(Context.Services, Pin.Engine, Pin.Address,
                           Run.Fingerprint);
  attempt_failure Failure = attempt_failure::Refused;
  spindle_error Cause(result_code::UpstreamLost, run_state::NotRun,
                      "the engine refused the request");
  try {
    if (runOnce(Context, Run, Pin, Attempt, Charge, Ticket) ==
        attempt_result::Answered)
      return true;
  } catch (const spindle_error &Error) {
    const std::optional<attempt_failure> Known = failureOf(Error);
    if (!Known) {
      endStreamWithError(Context, Error);
      throw;
    }
    Failure = *Known;
    Cause = Error;
  }
  Attempt.fail(Failure);
  decideNext(Context, Run, Failure, Cause);
  sleepFor(Attempt.pauseBeforeRetry());
  return false;
}

/// Engines that are tried for a suspect before it is held back.
constexpr std::size_t MostEnginesTried = 4;

/// Pins the adapter on an engine where the request may start: a suspect is
/// kept off the engine that it was lost with, and off other suspects.
pin_lease acquireAllowedPin(request_context &Context, model_run &Run) {
  for (std::size_t Tried = 0; Tried < MostEnginesTried; ++Tried) {
    pin_lease Pin = acquirePin(Context, Run);
    if (Context.Services.Suspects.mayStartOn(Pin.Engine, Run.Fingerprint))
      return Pin;
    Run.Avoid.push_back(Pin.Engine);
  }
  throw spindle_error(result_code::RequestQuarantined,
                      "a request like this one was lost with its engine and "
                      "is held back for now");
}

/// Chooses an engine for the next attempt and pins the adapter there.
/// \throws spindle_error whose state counts earlier attempts.
pin_lease nextPin(request_context &Context, model_run &Run) {
  try {
    return acquireAllowedPin(Context, Run);
  } catch (const spindle_error &Error) {
    if (!Run.Progress.MayHaveRun)
      throw;
    throw spindle_error(Error.code(), run_state::MaybeRun, Error.what());
  }
}

} // namespace

void handleModelRequest(request_context &Context) {
  const http_request_head &Request = Context.Exchange.request();
  const std::string_view Path = pathOf(Request.Target);
  if (Request.Method == "GET" && Path.ends_with("/models"))
    return listModels(Context);
  const std::optional<completion_endpoint> Endpoint = endpointOf(Path);
  if (!Endpoint)
    throw spindle_error(result_code::NoRoute,
                        "no endpoint \"" + std::string(Path) + "\"");
  if (Request.Method != "POST")
    throw spindle_error(result_code::MethodNotAllowed,
                        "the endpoint takes POST only");
  request_services &Services = Context.Services;
  model_run Run = prepareRun(Context, *Endpoint);
  Services.Suspects.check(Run.Fingerprint);
  rate_charge Charge(Services.Limiter, Context.Caller.Tenant, Run.Estimate,
                     Run.Deadline);
  Services.Health.noteCall(Context.Caller.Tenant);
  Context.Exchange.watchCaller(Context.Cancellation);
  pin_lease Pin = nextPin(Context, Run);
  queue_ticket Ticket = Services.Queue.enter(
      Context.Caller.Tenant, Run.Priority, Run.Estimate, Run.Deadline);
  throwIfCancelled(Context);
  while (!attempt(Context, Run, Charge, Ticket, Pin))
    Pin = nextPin(Context, Run);
}

} // namespace spindle
