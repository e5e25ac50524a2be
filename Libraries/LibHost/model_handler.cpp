#include "LibHost/model_handler.h"

#include "LibHost/model_pin.h"
#include "LibHost/model_request.h"
#include "LibHost/model_response.h"

#include <array>
#include <charconv>
#include <random>

#include <nlohmann/json.hpp>

namespace spindle {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;
constexpr int HttpTooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int HttpUnavailable = 503;

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
       Context.Snapshot->adapterNamesFor(Context.Caller.Customer))
    Body["data"].push_back({{"id", Name}, {"object", "model"}});
  Context.Exchange.respond({HttpOk, {{"Content-Type", "application/json"}}},
                           Body.dump());
}

/// Returns a random id. Another request of the fleet has the same id only by
/// chance.
std::string newRequestId() {
  thread_local std::mt19937_64 Generator{std::random_device{}()};
  std::array<char, 20> Text{};
  const std::to_chars_result End =
      std::to_chars(Text.data(), Text.data() + Text.size(), Generator(), 16);
  return {Text.data(), End.ptr};
}

/// The engine repeats \p RequestId at the end of the response's id, which shows
/// that the response belongs to this attempt.
http_request_head upstreamHead(const request_context &Context,
                               const std::string &RequestId) {
  http_request_head Head;
  Head.Method = "POST";
  Head.Target = std::string(pathOf(Context.Exchange.request().Target));
  Head.Fields = {{"Content-Type", "application/json"},
                 {"X-Request-Id", RequestId}};
  return Head;
}

/// Returns whether an engine's status means that it has not run the request:
/// the adapter is not loaded, or the engine has no capacity.
bool meansNotRun(int Status) {
  return Status == HttpNotFound || Status == HttpTooManyRequests ||
         Status == HttpUnavailable;
}

enum class attempt_result { Forwarded, Refused };

/// The deadlines of a call to an engine. A request that may wait inside the
/// engine, behind other requests or higher priority classes, gets the route's
/// time-out for the first byte: the latency measured for requests that did not
/// wait doesn't predict its own.
http_call_limits limitsForRun(const request_context &Context,
                              const model_run &Run, upstream_id Engine) {
  http_call_limits Limits = limitsFor(Context, Engine);
  const upstream_declaration *const Declared =
      Context.Snapshot->findUpstream(Engine);
  const bool IsBusy = !Declared || Context.Services.Upstreams.load(Engine) >=
                                       Declared->BatchSize;
  if (IsBusy || Run.Priority == priority_class::Batch)
    Limits.FirstByte = Context.Route.FirstByteTimeout;
  return Limits;
}

/// Sends the request to one engine and forwards its response.
attempt_result runOnce(request_context &Context, model_run &Run,
                       const pin_lease &Pin, upstream_attempt &Attempt,
                       rate_charge &Charge, queue_ticket &Ticket) {
  request_services &Services = Context.Services;
  const std::string Body =
      upstreamBody(Run.Request, Run.AdapterName, Run.MaxTokens, Run.Priority);
  Run.RequestId = newRequestId();
  Charge.noteStarted();
  const std::unique_ptr<http_call> Call =
      Services.Client.start(Pin.Address, upstreamHead(Context, Run.RequestId),
                            Body, limitsForRun(Context, Run, Pin.Engine),
                            connectionFor(Context, Pin.Engine, true));
  const int Status = Call->head().Status;
  if (meansNotRun(Status))
    return attempt_result::Refused;
  if (Status >= FirstServerError)
    throw spindle_error(result_code::UpstreamFailed,
                        "the engine responded with status " +
                            std::to_string(Status));
  if (Status != HttpOk) {
    forwardErrorResponse(Context, *Call);
    Charge.settle(tokens{0});
    Attempt.succeed();
    return attempt_result::Forwarded;
  }
  const tokens Used = Run.Request.Stream
                          ? forwardEvents(Context, Run, Attempt, *Call)
                          : forwardResponse(Context, Run, *Call);
  Services.Upstreams.notePrefix(Pin.Engine, Run.Request.PrefixHash, true);
  Charge.settle(Used);
  Ticket.settle(Used);
  Attempt.succeed();
  return attempt_result::Forwarded;
}

/// Returns if another attempt should follow a failed one.
/// \throws spindle_error otherwise, with the actual state of the request.
void retryOrThrow(request_context &Context, model_run &Run,
                  attempt_failure Failure, const spindle_error &Cause) {
  const std::optional<retry_decision> End =
      endAfterFailure(Context, Run.Progress, Failure, Run.Deadline);
  if (!End)
    return;
  const bool IsWrongAdapter = Cause.code() == result_code::WrongAdapterAnswered;
  const spindle_error Error(IsWrongAdapter ? Cause.code() : End->Code,
                            End->State, Cause.what());
  endStreamWithError(Context, Error);
  throw spindle_error(Error);
}

/// Makes one attempt on a pinned engine. Returns whether the request is done.
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
        attempt_result::Forwarded)
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
  retryOrThrow(Context, Run, Failure, Cause);
  sleepFor(Attempt.pauseBeforeRetry());
  return false;
}

/// The number of engines that are tried for a suspect request before it is
/// quarantined.
constexpr std::size_t MaxEnginesTried = 4;

/// Pins the adapter on an engine where the request may start. A suspect request
/// may not start on the engine that was lost while running it, nor on engines
/// that run other suspects.
pin_lease acquireAllowedPin(request_context &Context, model_run &Run) {
  for (std::size_t Tried = 0; Tried < MaxEnginesTried; ++Tried) {
    pin_lease Pin = acquireModelPin(Context, Run);
    if (Context.Services.Suspects.mayStartOn(Pin.Engine, Run.Fingerprint))
      return Pin;
    Run.Avoid.push_back(Pin.Engine);
  }
  throw spindle_error(result_code::RequestQuarantined,
                      "an engine was lost while running an identical request; "
                      "the request is quarantined");
}

/// Chooses an engine for the next attempt and pins the adapter there.
/// \throws spindle_error whose state includes earlier attempts.
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
                        "the endpoint accepts only POST");
  request_services &Services = Context.Services;
  model_run Run = prepareModelRun(Context, *Endpoint);
  Services.Suspects.check(Run.Fingerprint);
  rate_charge Charge(Services.Limiter, Context.Caller.Customer, Run.Estimate,
                     Run.Deadline);
  Services.Health.noteCall(Context.Caller.Customer);
  Context.Exchange.watchCaller(Context.Cancellation);
  pin_lease Pin = nextPin(Context, Run);
  queue_ticket Ticket = Services.Queue.enter(
      Context.Caller.Customer, Run.Priority, Run.Estimate, Run.Deadline);
  throwIfCancelled(Context);
  while (!attempt(Context, Run, Charge, Ticket, Pin))
    Pin = nextPin(Context, Run);
}

} // namespace spindle
