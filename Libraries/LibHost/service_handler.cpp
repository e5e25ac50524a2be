#include "LibHost/service_handler.h"

#include "LibCore/digest.h"
#include "LibHost/upstream_attempt.h"

#include <optional>

namespace spindle {

namespace {

// An order's response is buffered completely until its outcome is recorded.
constexpr std::size_t ResponseLimitBytes = 16U << 20U;
constexpr std::size_t ReadBufferBytes = 16U << 10U;
constexpr int FirstServerError = 500;
constexpr std::string_view OrderKeyField = "Idempotency-Key";
constexpr std::size_t MaxOrderKeyBytes = 256;

/// A validated call to a service and the state of its attempts.
struct service_run {
  http_request_head Head;
  std::string Body;
  request_fingerprint Fingerprint;
  time_point Deadline;
  std::vector<upstream_id> Avoid;
  call_progress Progress;
};

service_run prepareRun(request_context &Context) {
  const http_request_head &Request = Context.Exchange.request();
  const std::string_view Key = presentedKey(Request);
  service_run Run;
  Run.Head.Method = Request.Method;
  Run.Head.Target = targetForUpstream(Request.Target, Key);
  Run.Head.Fields = fieldsForUpstream(Request.Fields, Key);
  Run.Body = Context.Exchange.readBody(Context.Route.BodyLimitBytes);
  rejectKeyInBody(Run.Body, Key);
  Run.Fingerprint =
      fingerprintOf(Context.Caller.Customer, Context.Route.Name,
                    Run.Head.Method + " " + Run.Head.Target + "\n" + Run.Body);
  Run.Deadline = Context.Services.Clock.now() + Context.Route.FirstByteTimeout;
  Run.Progress.Idempotent = Context.Route.Idempotent;
  return Run;
}

const upstream_declaration &chooseUpstream(request_context &Context,
                                           const service_run &Run) {
  const std::span<const upstream_declaration *const> Candidates =
      Context.Snapshot->upstreamsOfRoute(Context.Route.Name);
  std::vector<upstream_id> Avoid = Run.Avoid;
  for (const upstream_declaration *const Upstream : Candidates)
    if (Context.Services.Health.isDeprioritized(
            upstream_id::ofName(Upstream->Name)))
      Avoid.push_back(upstream_id::ofName(Upstream->Name));
  std::optional<upstream_id> Chosen =
      Context.Services.Upstreams.chooseService(Candidates, Avoid);
  if (!Chosen)
    Chosen = Context.Services.Upstreams.chooseService(Candidates, Run.Avoid);
  if (!Chosen)
    throw spindle_error(
        result_code::NoUpstream,
        Run.Progress.MayHaveRun ? run_state::MaybeRun : run_state::NotRun,
        "no upstream of route \"" + Context.Route.Name + "\" is available");
  return *Context.Snapshot->findUpstream(*Chosen);
}

/// Forwards a response as it arrives. One that ends with the first read is sent
/// as a whole.
void forwardResponse(request_context &Context, http_call &Call) {
  char Buffer[ReadBufferBytes];
  std::size_t Count = Call.readSome(Buffer);
  const std::string First(Buffer, Count);
  if (Count > 0)
    Count = Call.readSome(Buffer);
  throwIfCancelled(Context);
  if (Count == 0) {
    Context.Exchange.respond(Call.head(), First);
    return;
  }
  Context.Exchange.startStream(Call.head());
  Context.Exchange.writeSome(First);
  while (Count > 0) {
    throwIfCancelled(Context);
    Context.Exchange.writeSome(std::string_view(Buffer, Count));
    Count = Call.readSome(Buffer);
  }
  Context.Exchange.finishStream();
}

/// Records a failed attempt. Returns if another one may be made.
/// \throws spindle_error otherwise, with the state of the whole request.
void retryOrThrow(request_context &Context, service_run &Run,
                  attempt_failure Failure, const spindle_error &Cause) {
  const std::optional<retry_decision> End =
      endAfterFailure(Context, Run.Progress, Failure, Run.Deadline);
  if (!End)
    return;
  throw spindle_error(End->Code, End->State, Cause.what());
}

/// Makes one attempt to run an idempotent call. Returns true if a response was
/// forwarded, and false if another attempt is to be made.
bool attemptIdempotent(request_context &Context, service_run &Run) {
  const upstream_declaration &Upstream = chooseUpstream(Context, Run);
  const upstream_id Id = upstream_id::ofName(Upstream.Name);
  Run.Avoid.push_back(Id);
  upstream_attempt Attempt(Context.Services, Id, Upstream.Address,
                           Run.Fingerprint);
  try {
    const std::unique_ptr<http_call> Call = Context.Services.Client.start(
        Upstream.Address, Run.Head, Run.Body, limitsFor(Context, Id),
        connectionFor(Context, Id, true));
    Attempt.noteFirstByte();
    forwardResponse(Context, *Call);
    if (Call->head().Status < FirstServerError)
      Attempt.succeed();
    else
      Attempt.fail(attempt_failure::Errored);
    return true;
  } catch (const spindle_error &Error) {
    const std::optional<attempt_failure> Failure = failureOf(Error);
    if (!Failure)
      throw;
    Attempt.fail(*Failure);
    retryOrThrow(Context, Run, *Failure, Error);
    return false;
  }
}

/// Sends a non-idempotent call once, on a newly opened connection.
/// \throws spindle_error with state NotRun only if no byte has been sent.
http_response dispatchOnce(request_context &Context, service_run &Run) {
  const upstream_declaration &Upstream = chooseUpstream(Context, Run);
  const upstream_id Id = upstream_id::ofName(Upstream.Name);
  Run.Avoid.push_back(Id);
  http_call_limits Limits = limitsFor(Context, Id);
  // An order runs to completion even if its caller disconnects.
  Limits.Cancellation.reset();
  upstream_attempt Attempt(Context.Services, Id, Upstream.Address,
                           Run.Fingerprint);
  try {
    http_response Response = Context.Services.Client.call(
        Upstream.Address, Run.Head, Run.Body, Limits, connection_use::FreshOnce,
        ResponseLimitBytes);
    Attempt.succeed();
    return Response;
  } catch (const spindle_error &Error) {
    Attempt.fail(failureOf(Error).value_or(attempt_failure::ConnectionLost));
    if (Error.state() == run_state::NotRun)
      throw;
    throw spindle_error(Error.code(), run_state::MaybeRun, Error.what());
  }
}

/// Dispatches an order. Tries another upstream only if the connection to one
/// cannot be established.
http_response dispatchOrder(request_context &Context, service_run &Run) {
  while (true) {
    try {
      return dispatchOnce(Context, Run);
    } catch (const spindle_error &Error) {
      if (Error.code() != result_code::UpstreamUnreachable)
        throw;
      retryOrThrow(Context, Run, attempt_failure::NotConnected, Error);
    }
  }
}

std::string orderKeyOf(const request_context &Context) {
  std::string Key(findField(Context.Exchange.request().Fields, OrderKeyField));
  if (Key.size() > MaxOrderKeyBytes)
    throw spindle_error(result_code::BadRequest,
                        "header \"Idempotency-Key\" has more than 256 bytes");
  if (Key.empty() && Context.Route.OrderKeyRequired)
    throw spindle_error(result_code::OrderKeyMissing,
                        "the route requires the header \"Idempotency-Key\"");
  return Key;
}

void runOrder(request_context &Context, service_run &Run,
              const std::string &OrderKey) {
  http_response Response;
  if (OrderKey.empty()) {
    Response = dispatchOrder(Context, Run);
  } else {
    order_request Order;
    Order.Customer = Context.Caller.Customer;
    Order.Route = Context.Route.Name;
    Order.OrderKey = OrderKey;
    Order.BodyDigest =
        sha256Hex(Run.Head.Method + " " + Run.Head.Target + "\n" + Run.Body);
    Order.CallTimeout =
        Context.Route.FirstByteTimeout + Context.Route.BetweenBytesTimeout;
    Order.ServiceDeduplicates = Context.Route.ServiceDeduplicates;
    Response = Context.Services.Orders.run(
        Order, [&] { return dispatchOrder(Context, Run); });
  }
  throwIfCancelled(Context);
  Context.Exchange.respond(Response.Head, Response.Body);
}

bool isMethodAllowed(const route_declaration &Route, std::string_view Method) {
  if (Route.Methods.empty())
    return true;
  for (const std::string &Allowed : Route.Methods)
    if (Allowed == Method)
      return true;
  return false;
}

} // namespace

void handleServiceRequest(request_context &Context) {
  const http_request_head &Request = Context.Exchange.request();
  if (!isMethodAllowed(Context.Route, Request.Method))
    throw spindle_error(result_code::MethodNotAllowed,
                        "route \"" + Context.Route.Name + "\" does not allow " +
                            Request.Method);
  request_services &Services = Context.Services;
  service_run Run = prepareRun(Context);
  const std::string OrderKey =
      Context.Route.Idempotent ? std::string() : orderKeyOf(Context);
  Services.Suspects.check(Run.Fingerprint);
  std::optional<rate_charge> Charge;
  if (Context.Caller.Customer)
    Charge.emplace(Services.Limiter, Context.Caller.Customer,
                   Context.Route.Cost, Run.Deadline);
  Services.Health.noteCall(Context.Caller.Customer);
  if (Charge)
    Charge->noteStarted();
  if (!Context.Route.Idempotent)
    return runOrder(Context, Run, OrderKey);
  Context.Exchange.watchCaller(Context.Cancellation);
  while (!attemptIdempotent(Context, Run)) {
    // Each attempt avoids the upstreams tried before.
  }
}

} // namespace spindle
