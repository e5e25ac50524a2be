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
constexpr std::size_t MostUnreachable = 4;
/// Engines whose adapters are all in use are passed over, so many at most.
constexpr std::size_t EnginesWithoutWait = 2;
/// An attempt that has less time than this can't succeed.
constexpr milliseconds LeastTime{5};
/// What an answer adds to the bytes that cross a zone's border.
constexpr std::size_t AnswerBytes = 2'000;
/// Sends of one request to upstreams that refuse it.
constexpr std::uint32_t MostSends = 4;
/// A hold that takes longer is tried at another engine.
constexpr milliseconds LongestHold{1'500};

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
  if (Description.Patience)
    Limit = Route.Timeout.count() > 0 ? std::min(Limit, *Description.Patience)
                                      : *Description.Patience;
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
  Query.Left = Request.Route.Objective -
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

/// Sees to it that the engine has the adapter. None if the request names none.
std::optional<std::uint64_t> holdAdapter(forwarded_request &Request,
                                         const upstream_entry &Upstream) {
  const request_description &Description = Request.Description;
  if (!Request.isModelCall() || Description.Adapter.empty())
    return std::nullopt;
  const adapter_name Name{Description.Model, Description.Adapter};
  const loaded_adapter Wanted{Name, Request.Services.Releases.newest(Name)};
  const time_point Until =
      std::min(Request.Deadline, Request.Services.Clock.now() + LongestHold);
  // The last engine that is tried is waited for.
  const bool WaitForRoom = Request.Avoid.size() >= EnginesWithoutWait;
  const std::uint64_t Version =
      Request.Services.Holds.hold(Upstream, Wanted, Until, WaitForRoom);
  return Version > 0 ? std::optional(Version) : std::nullopt;
}

void logAttempt(const forwarded_request &Request, const chosen_upstream &Chosen,
                const attempt_report &Report) {
  const bool Served = Report.End == attempt_end::Answered;
  if (Served)
    return;
  logEvent(log_event::AttemptFailed,
           {{"request", Request.Description.AttemptId},
            {"route", Request.Route.Name},
            {"upstream", Chosen.Upstream->Name},
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
  void noteSent(const upstream_entry &Upstream);
  void endWithoutAnother(const std::string &Cause);

  forwarded_request &Request;
  next_target Target;
  std::optional<http_response> Fallback;
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
  std::optional<std::uint64_t> Version;
  try {
    Version = holdAdapter(Request, *Chosen->Upstream);
  } catch (const spindle_error &Error) {
    logEvent(log_event::AdapterHoldFailed,
             {{"request", Request.Description.AttemptId},
              {"upstream", Chosen->Upstream->Name},
              {"adapter", Request.Description.Adapter},
              {"expected_ms", std::to_string(Chosen->ExpectedMilliseconds)},
              {"left_ms", std::to_string(Request.timeLeft().count())},
              {"cause", Error.what()}});
    Request.Avoid.push_back(Chosen->Upstream->Id);
    if (Target.Only || Request.Avoid.size() > MostUnreachable) {
      endWithoutAnother(Error.what());
      return true;
    }
    return false;
  }
  const bool LastTry = Request.SentTo.size() + 1 >= Request.Route.Attempts;
  const attempt_report Report =
      attemptUpstream(Request, *Chosen->Upstream, Version, LastTry);
  logAttempt(Request, *Chosen, Report);
  if (Report.End == attempt_end::Answered)
    return true;
  if (Report.Answer)
    Fallback = Report.Answer;
  if (Report.End == attempt_end::NotReached) {
    Request.Avoid.push_back(Chosen->Upstream->Id);
    if (Request.Avoid.size() > MostUnreachable)
      endWithoutAnother(Report.Cause);
    return Request.Avoid.size() > MostUnreachable;
  }
  noteSent(*Chosen->Upstream);
  if (Report.End == attempt_end::AdapterMissing)
    Request.Services.Holds.forget(
        *Chosen->Upstream,
        {Request.Description.Model, Request.Description.Adapter});
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
  if (Services.Hub.isHeldBack(Request.Fingerprint))
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
