#include "LibGateway/forward_request.h"

#include "LibCore/retry_after_error.h"
#include "LibGateway/forwarded_request.h"
#include "LibLog/log.h"

#include <algorithm>
#include <random>

namespace spindle {

namespace {

constexpr milliseconds ComeBackSoon{400};
constexpr milliseconds ComeBackLater{1'000};
/// Without a limit of its own or the route's, a request ends after this.
constexpr milliseconds DefaultTimeout{30'000};
/// Upstreams that are tried without a byte of the request having left.
constexpr std::uint32_t MostUnreachable = 4;
/// An attempt that has less time than this can't succeed.
constexpr milliseconds LeastTime{5};
/// What an answer adds to the bytes that cross a zone's border.
constexpr std::size_t AnswerBytes = 2'000;
/// Sends of one request to upstreams that refuse it.
constexpr std::uint32_t MostSends = 4;
/// Zones whose engines are asked for an adapter.
constexpr std::uint32_t MostZonesAsked = 3;
/// A lead that is asked for an adapter answers within this, whether it is
/// there or not, so that a dead one is noticed.
constexpr milliseconds HoldSlice{400};

double draw() {
  thread_local std::mt19937_64 Generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(Generator);
}

/// Spreads the returns of callers that are turned away together.
milliseconds spread(milliseconds Pause) {
  const double Milliseconds =
      static_cast<double>(Pause.count()) * (0.75 + 0.5 * draw());
  return milliseconds(static_cast<std::int64_t>(Milliseconds));
}

const gateway_customer *identify(const gateway_configuration &Configuration,
                                 const gateway_route &Route,
                                 const request_description &Description) {
  if (Configuration.Customers.empty())
    return nullptr;
  const gateway_customer *const Customer =
      findCustomer(Configuration, Description.Key);
  if (Customer || Route.Open)
    return Customer;
  if (Description.Key.empty())
    throw spindle_error(result_code::KeyMissing, "the route needs a key");
  throw spindle_error(result_code::KeyUnknown, "the key is not granted");
}

const gateway_route &routeOf(const gateway_configuration &Configuration,
                             const http_request_head &Head) {
  const gateway_route *const Route = findRoute(
      Configuration, findField(Head.Fields, "Host"), pathOf(Head.Target));
  if (!Route)
    throw spindle_error(result_code::NoRoute, "no route matches");
  return *Route;
}

const gateway_service &serviceOf(const gateway_configuration &Configuration,
                                 const gateway_route &Route) {
  const gateway_service *const Service =
      chooseService(Configuration, Route, draw());
  if (!Service)
    throw retry_after_error(result_code::NoUpstream, "the route has no service",
                            ComeBackLater);
  return *Service;
}

time_point deadlineOf(const gateway_route &Route,
                      const request_description &Description,
                      time_point Start) {
  milliseconds Limit = DefaultTimeout;
  if (Route.Timeout.count() > 0)
    Limit = Route.Timeout;
  if (Description.CallerTimeout)
    Limit = Route.Timeout.count() > 0
                ? std::min(Limit, *Description.CallerTimeout)
                : *Description.CallerTimeout;
  return Start + Limit;
}

/// Keeps a request's charge unless it has not run at its end.
class quota_charge {
public:
  explicit quota_charge(forwarded_request &Request)
      : Request(Request),
        Units(Request.Customer ? customer_quota::unitsOf(*Request.Customer,
                                                         Request.Description)
                               : 0) {
    if (Request.Customer)
      Request.Services.Quota.charge(*Request.Customer, Units);
  }
  ~quota_charge() {
    if (Request.Customer && !Request.MayHaveRun)
      Request.Services.Quota.refund(*Request.Customer, Units);
  }
  quota_charge(const quota_charge &) = delete;
  quota_charge &operator=(const quota_charge &) = delete;

private:
  forwarded_request &Request;
  const std::int64_t Units;
};

/// Throws what the caller is told when no attempt is left.
[[noreturn]] void giveUp(const forwarded_request &Request,
                         const std::string &Cause) {
  if (!Request.MayHaveRun)
    throw retry_after_error(result_code::NoUpstream, Cause,
                            spread(ComeBackSoon));
  if (Request.timeLeft() <= LeastTime)
    throw spindle_error(result_code::UpstreamTimeout, Cause);
  throw spindle_error(result_code::UpstreamLost, Cause);
}

std::optional<chosen_upstream> choose(const forwarded_request &Request,
                                      upstream_id Only) {
  std::vector<upstream_id> Avoid = Request.SentTo;
  Avoid.insert(Avoid.end(), Request.Avoid.begin(), Request.Avoid.end());
  upstream_query Query;
  Query.Service = Request.Service.Name;
  Query.Objective = Request.Route.Objective;
  Query.Remaining = Request.Route.Objective -
                    std::chrono::duration_cast<milliseconds>(
                        Request.Services.Clock.now() - Request.Start);
  Query.BodyBytes = Request.Body.size() + AnswerBytes;
  Query.Only = Only;
  if (!Only)
    Query.Avoid = Avoid;
  if (Request.isModelCall()) {
    Query.Model = &Request.Description;
    Query.AdapterVersion = Request.Services.Releases.newest(
        {Request.Description.Model, Request.Description.Adapter});
  }
  return Request.Services.Fleet.choose(Query);
}

time_point after(time_point Start, double Milliseconds) {
  return Start + std::chrono::duration_cast<nanoseconds>(
                     std::chrono::duration<double, std::milli>(Milliseconds));
}

/// The latest moment at which a stream's first event is of use to the caller.
time_point lastUseOf(const forwarded_request &Request) {
  const milliseconds Patience = Request.Route.Patience;
  if (Patience.count() == 0 || Request.StreamStarted)
    return Request.Deadline;
  return std::min(Request.Deadline, Request.Start + Patience);
}

hold_query holdQuery(const forwarded_request &Request,
                     const chosen_upstream &Chosen) {
  const adapter_name Name{Request.Description.Model,
                          Request.Description.Adapter};
  hold_query Query;
  Query.Engines = Chosen.Engines;
  Query.Wanted = {Name, Request.Services.Releases.newest(Name)};
  Query.OnTimeUntil = after(Request.Start + Request.Route.Objective,
                            -Chosen.ServiceMilliseconds);
  Query.UsefulUntil = after(lastUseOf(Request), -Chosen.ServiceMilliseconds);
  Query.Urgency = urgencyOf(Request);
  return Query;
}

/// Sees to it that one of the chosen engines has the adapter.
/// \throws spindle_error if none will while the caller has use for it.
held_engine holdAdapter(const forwarded_request &Request,
                        const chosen_upstream &Chosen) {
  const bool NamesAdapter =
      Request.isModelCall() && !Request.Description.Adapter.empty();
  if (!NamesAdapter)
    return {Chosen.Upstream, 0};
  const hold_query Query = holdQuery(Request, Chosen);
  while (true) {
    if (const std::optional<result_code> Reason =
            Request.Cancellation->reason())
      throw spindle_error(*Reason, "the caller has left");
    const time_point Now = Request.Services.Clock.now();
    if (Now >= Query.UsefulUntil)
      throw spindle_error(result_code::AdapterNotLoaded,
                          "the adapter was not loaded in time");
    const std::optional<held_engine> Held = Request.Services.Holds.hold(
        Query, std::min(Query.UsefulUntil, Now + HoldSlice));
    if (Held)
      return *Held;
  }
}

void logAttempt(const forwarded_request &Request,
                const upstream_entry &Upstream, const attempt_report &Report) {
  const bool Served = Report.End == attempt_end::Answered;
  if (Served)
    return;
  logEvent(log_event::AttemptFailed,
           {{"request", Request.Description.AttemptId},
            {"route", Request.Route.Name},
            {"upstream", Upstream.Name},
            {"send", std::to_string(Request.Sends)},
            {"end", std::to_string(static_cast<int>(Report.End))},
            {"status", std::to_string(Report.Status)},
            {"left_ms", std::to_string(Request.timeLeft().count())},
            {"cause", Report.Cause}});
}

/// Whether another attempt may follow one that ended like this.
bool mayRepeat(const forwarded_request &Request, const attempt_report &Report) {
  switch (Report.End) {
  case attempt_end::Answered:
    return false;
  case attempt_end::NotReached:
  case attempt_end::NotRun:
  case attempt_end::AdapterMissing:
    return true;
  case attempt_end::Lost:
  case attempt_end::Failed:
    return Request.Route.repeatable();
  case attempt_end::Broken:
    return Request.Route.Resumable;
  }
  return false;
}

/// Where the next attempt may go: anywhere, one upstream, or nowhere.
struct next_target {
  bool Any = true;
  upstream_id Only;
};

std::optional<next_target> nextTarget(const forwarded_request &Request,
                                      const attempt_report &Report) {
  if (Request.Sends >= MostSends)
    return std::nullopt;
  if (Report.End == attempt_end::AdapterMissing)
    return next_target{false, Request.SentTo.back()};
  if (Request.SentTo.size() >= Request.Route.Attempts)
    return std::nullopt;
  return next_target{};
}

/// One choice and one attempt. Returns whether the caller is answered.
class attempt_loop {
public:
  explicit attempt_loop(forwarded_request &Request) : Request(Request) {}

  void run() {
    while (!step()) {
    }
  }

private:
  bool step();
  std::optional<held_engine> hold(const chosen_upstream &Chosen);
  void noteSent(const upstream_entry &Upstream);
  void endWithoutAnother(const std::string &Cause);

  forwarded_request &Request;
  next_target Target;
  std::optional<http_response> Fallback;
  std::uint32_t ZonesAsked = 0;
  std::uint32_t Unreachable = 0;
  bool Ended = false;
};

/// Answers with what an upstream said before, or gives up.
void attempt_loop::endWithoutAnother(const std::string &Cause) {
  if (Request.StreamStarted)
    throw spindle_error(result_code::AnswerCutShort, Cause);
  if (!Fallback)
    giveUp(Request, Cause);
  Request.Exchange.respond(Fallback->Head, Fallback->Body);
}

void attempt_loop::noteSent(const upstream_entry &Upstream) {
  if (std::find(Request.SentTo.begin(), Request.SentTo.end(), Upstream.Id) ==
      Request.SentTo.end())
    Request.SentTo.push_back(Upstream.Id);
}

/// Holds the adapter, or passes the chosen engines over. Ends the request if
/// no others are to be asked.
std::optional<held_engine> attempt_loop::hold(const chosen_upstream &Chosen) {
  try {
    return holdAdapter(Request, Chosen);
  } catch (const spindle_error &Error) {
    logEvent(log_event::AdapterHoldFailed,
             {{"request", Request.Description.AttemptId},
              {"upstream", Chosen.Upstream->Name},
              {"engines", std::to_string(Chosen.Engines.size())},
              {"adapter", Request.Description.Adapter},
              {"expected_ms", std::to_string(Chosen.ExpectedMilliseconds)},
              {"left_ms", std::to_string(Request.timeLeft().count())},
              {"cause", Error.what()}});
    if (Request.Cancellation->reason())
      throw;
    for (const upstream_pointer &Engine : Chosen.Engines)
      Request.Avoid.push_back(Engine->Id);
    Ended = Target.Only || ++ZonesAsked >= MostZonesAsked;
    if (Ended)
      endWithoutAnother(Error.what());
    return std::nullopt;
  }
}

bool attempt_loop::step() {
  if (Request.timeLeft() <= LeastTime) {
    endWithoutAnother("the deadline has passed");
    return true;
  }
  const std::optional<chosen_upstream> Chosen = choose(Request, Target.Only);
  if (!Chosen) {
    endWithoutAnother("no upstream can take the request");
    return true;
  }
  const std::optional<held_engine> Held = hold(*Chosen);
  if (!Held)
    return Ended;
  const upstream_entry &Upstream = *Held->Engine;
  const bool LastTry = Request.SentTo.size() + 1 >= Request.Route.Attempts;
  const attempt_report Report = attemptUpstream(
      Request, Upstream,
      Held->Version > 0 ? std::optional(Held->Version) : std::nullopt, LastTry);
  logAttempt(Request, Upstream, Report);
  if (Report.End == attempt_end::Answered)
    return true;
  if (Report.Answer)
    Fallback = Report.Answer;
  if (Report.End == attempt_end::NotReached) {
    Request.Avoid.push_back(Upstream.Id);
    const bool IsLast = ++Unreachable >= MostUnreachable;
    if (IsLast)
      endWithoutAnother(Report.Cause);
    return IsLast;
  }
  noteSent(Upstream);
  if (Report.End == attempt_end::AdapterMissing)
    Request.Services.Holds.forget(
        Upstream, {Request.Description.Model, Request.Description.Adapter});
  const std::optional<next_target> Next = nextTarget(Request, Report);
  if (!mayRepeat(Request, Report) || !Next ||
      !Request.Services.Repeats.spend(Request.Service.Name)) {
    endWithoutAnother(Report.Cause.empty() ? "the upstream refused: status " +
                                                 std::to_string(Report.Status)
                                           : Report.Cause);
    return true;
  }
  Target = *Next;
  return false;
}

void serve(forwarded_request &Request) {
  gateway_services &Services = Request.Services;
  if (Services.Hub.suspects().isHeldBack(Request.Fingerprint))
    throw retry_after_error(result_code::RequestHeldBack,
                            "the request has crashed upstreams", ComeBackLater);
  Services.Repeats.noteRequest(Request.Service.Name);
  quota_charge Charge(Request);
  Request.Exchange.watchCaller(Request.Cancellation);
  attempt_loop(Request).run();
}

void logEnd(const forwarded_request &Request, std::string_view Outcome) {
  const std::chrono::duration<double> Took =
      Request.Services.Clock.now() - Request.Start;
  Request.Services.Metrics.observeSeconds("spindle_request_seconds",
                                          {{"outcome", std::string(Outcome)}},
                                          Took.count());
  logEvent(log_event::RequestServed,
           {{"request", Request.Description.AttemptId},
            {"route", Request.Route.Name},
            {"customer", Request.Customer ? Request.Customer->Name : ""},
            {"adapter", Request.Description.Adapter},
            {"sends", std::to_string(Request.Sends)},
            {"outcome", std::string(Outcome)},
            {"config", std::to_string(Request.Configuration->Version)},
            {"ms", std::to_string(static_cast<int>(Took.count() * 1'000))}});
}

} // namespace

void forwardRequest(gateway_services &Services, http_exchange &Exchange) {
  const time_point Start = Services.Clock.now();
  const configuration_pointer Configuration = Services.Configuration.current();
  if (!Configuration)
    throw retry_after_error(result_code::NotReady,
                            "this host has no configuration yet",
                            ComeBackLater);
  const http_request_head &Head = Exchange.request();
  request_description Description = Services.Wire.ReadRequest(Head);
  const gateway_route &Route = routeOf(*Configuration, Head);
  const gateway_customer *const Customer =
      identify(*Configuration, Route, Description);
  const gateway_service &Service = serviceOf(*Configuration, Route);
  std::string Body = Exchange.readBody(Configuration->Limits.BodyBytes);
  const request_fingerprint Fingerprint = fingerprintOf(
      customer_id::ofName(Customer ? Customer->Name : ""), Head.Target, Body);
  const time_point Deadline = deadlineOf(Route, Description, Start);
  forwarded_request Request{Services,
                            Exchange,
                            Configuration,
                            Route,
                            Service,
                            Customer,
                            std::move(Description),
                            std::move(Body),
                            Fingerprint,
                            Start,
                            Deadline,
                            std::make_shared<cancellation>(),
                            {},
                            {},
                            0,
                            false,
                            {},
                            false};
  try {
    serve(Request);
    logEnd(Request, "served");
  } catch (const spindle_error &Error) {
    logEnd(Request, describe(Error.code()).Name);
    throw;
  }
}

} // namespace spindle
