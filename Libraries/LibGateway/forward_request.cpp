#include "LibGateway/forward_request.h"

#include "LibCore/random_fraction.h"
#include "LibCore/retry_after_error.h"
#include "LibCore/utf8.h"
#include "LibGateway/attempt_loop.h"
#include "LibGateway/forwarded_request.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

namespace {

constexpr milliseconds RetryAfterLong{1'000};
/// The timeout of a request if neither it nor its route sets one.
constexpr milliseconds DefaultTimeout{30'000};

const gateway_customer *authenticate(const gateway_configuration &Configuration,
                                     const gateway_route &Route,
                                     const request_description &Description) {
  if (Configuration.Customers.empty())
    return nullptr;
  const gateway_customer *const Customer =
      findCustomer(Configuration, Description.Key);
  if (Customer || Route.Public)
    return Customer;
  if (Description.Key.empty())
    throw spindle_error(result_code::KeyMissing,
                        "the route requires an API key, but none was sent");
  throw spindle_error(result_code::KeyUnknown, "the API key is unknown");
}

const gateway_route &routeOf(const gateway_configuration &Configuration,
                             const http_request_head &Head) {
  const gateway_route *const Route = findRoute(
      Configuration, findField(Head.Fields, "Host"), pathOf(Head.Target));
  if (!Route)
    throw spindle_error(result_code::NoRoute,
                        "no route matches the host and path of the request");
  return *Route;
}

/// Reports a refusal that callers take for final. A newer configuration may
/// allow the request, so one that may be outdated refuses nothing for good.
[[noreturn]] void refuse(const gateway_services &Services,
                         const spindle_error &Refusal) {
  const object_mirror &Objects = Services.ConfigurationObjects;
  if (Objects.isConfirmed())
    throw Refusal;
  const milliseconds Age =
      std::chrono::duration_cast<milliseconds>(Objects.age());
  throw retry_after_error(result_code::ConfigurationOutdated,
                          std::string(Refusal.what()) +
                              "; the configuration was last confirmed " +
                              std::to_string(Age.count()) + " ms ago",
                          RetryAfterLong);
}

struct admitted_route {
  const gateway_route &Route;
  /// Null if the route requires no key.
  const gateway_customer *Customer;
};

admitted_route admit(const gateway_services &Services,
                     const gateway_configuration &Configuration,
                     const http_request_head &Head,
                     const request_description &Description) {
  try {
    const gateway_route &Route = routeOf(Configuration, Head);
    return {Route, authenticate(Configuration, Route, Description)};
  } catch (const spindle_error &Refusal) {
    refuse(Services, Refusal);
  }
}

/// Refuses a name that no message to an engine or to a host can hold.
void checkModelName(const request_description &Description) {
  if (!isValidUtf8(Description.Model) || !isValidUtf8(Description.Adapter))
    throw spindle_error(result_code::BadRequest,
                        "the name of the model or adapter is not UTF-8");
}

const gateway_service &serviceOf(const gateway_configuration &Configuration,
                                 const gateway_route &Route) {
  const gateway_service *const Service =
      chooseService(Configuration, Route, randomFraction());
  if (!Service)
    throw retry_after_error(result_code::NoUpstream,
                            "the route names no configured service",
                            RetryAfterLong);
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

/// Charges the customer's quota for a request, and refunds the charge on
/// destruction if the request certainly did not run.
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

void serve(forwarded_request &Request) {
  gateway_services &Services = Request.Services;
  if (Services.Coordinator.suspects().isHeldBack(Request.Fingerprint))
    throw retry_after_error(result_code::RequestHeldBack,
                            "the request is suspected of crashing upstreams",
                            RetryAfterLong);
  if (const milliseconds Time = partsHeldBackFor(Request);
      Time > milliseconds(0))
    throw retry_after_error(
        result_code::RequestHeldBack,
        "a part of the prompt is suspected of crashing upstreams", Time);
  Services.RetryBudgets.noteRequest(Request.Service.Name);
  quota_charge Charge(Request);
  if (Request.isModelCall())
    Request.ExpectedCost = Services.Costs.estimate(costFeatures(Request));
  Request.Exchange.watchCaller(Request.Cancellation);
  runAttempts(Request);
}

std::string toMilliseconds(nanoseconds Time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Time).count());
}

/// How long the request waited in this host until it was last sent.
nanoseconds waitBeforeSend(const forwarded_request &Request) {
  const time_point Now = Request.Services.Clock.now();
  return Request.Timing.SentAt.value_or(Now) - Request.Start;
}

/// How long the first event took after the last send; 0 if there was none.
nanoseconds firstEventTime(const stream_timing &Timing) {
  if (!Timing.SentAt || !Timing.FirstEventAt)
    return nanoseconds(0);
  return std::max(nanoseconds(0),
                  nanoseconds(*Timing.FirstEventAt - *Timing.SentAt));
}

void logOutcome(const forwarded_request &Request,
                std::string_view OutcomeName) {
  const std::chrono::duration<double> Elapsed =
      Request.Services.Clock.now() - Request.Start;
  Request.Services.Metrics.observeSeconds(
      "spindle_request_seconds", {{"outcome", std::string(OutcomeName)}},
      Elapsed.count());
  logEvent(
      log_event::RequestServed,
      {{"request", Request.Description.AttemptId},
       {"route", Request.Route.Name},
       {"customer", Request.Customer ? Request.Customer->Name : ""},
       {"adapter", Request.Description.Adapter},
       {"sends", std::to_string(Request.SendCount)},
       {"outcome", std::string(OutcomeName)},
       {"expected_output", std::to_string(Request.ExpectedCost.OutputTokens)},
       {"output", std::to_string(Request.outputTokens())},
       {"prompt", std::to_string(Request.Description.PromptTokens)},
       {"wait_ms", toMilliseconds(waitBeforeSend(Request))},
       {"first_ms", toMilliseconds(firstEventTime(Request.Timing))},
       {"gap_ms", toMilliseconds(Request.Timing.LongestGap)},
       {"config", std::to_string(Request.Configuration->Version)},
       {"ms", std::to_string(static_cast<int>(Elapsed.count() * 1'000))}});
}

/// Whether a request that is refused with \p Code is served once there is room.
bool endsWithRoom(result_code Code) {
  return Code == result_code::NoUpstream ||
         Code == result_code::AdapterNotLoaded ||
         Code == result_code::RateExceeded;
}

/// When the caller of a refused request should return.
milliseconds returnTime(const forwarded_request &Request,
                        const retry_after_error &Refusal) {
  if (!endsWithRoom(Refusal.code()))
    return Refusal.retryAfter();
  service_retry_paces &Paces = Request.Services.RetryPaces;
  // The room that a customer's rate leaves isn't that of the service.
  const bool IsOwnRate = Refusal.code() == result_code::RateExceeded;
  std::string_view Service;
  if (!IsOwnRate) {
    Service = Request.Service.Name;
    Paces.noteRefused(Service);
  }
  return Paces.retryAfter(Service, Refusal.retryAfter(),
                          Request.callerTimeLeft(), randomFraction());
}

/// Throws \p Refusal with the time at which this caller should return.
[[noreturn]] void refuseUntil(const forwarded_request &Request,
                              const retry_after_error &Refusal) {
  const milliseconds Wait = returnTime(Request, Refusal);
  const std::string Code(describe(Refusal.code()).Name);
  metrics &Metrics = Request.Services.Metrics;
  Metrics.count("spindle_forwarding_refusals_total",
                {{"customer", Request.Customer ? Request.Customer->Name : ""},
                 {"code", Code}});
  Metrics.observeSeconds("spindle_retry_after_seconds", {{"code", Code}},
                         std::chrono::duration<double>(Wait).count());
  throw retry_after_error(Refusal.code(), Refusal.what(), Wait);
}

} // namespace

void forwardRequest(gateway_services &Services, http_exchange &Exchange) {
  const time_point Start = Services.Clock.now();
  const configuration_pointer Configuration = Services.Configuration.current();
  if (!Configuration)
    throw retry_after_error(result_code::NotReady,
                            "this host has not loaded a configuration yet",
                            RetryAfterLong);
  const http_request_head &Head = Exchange.request();
  request_description Description = Services.Codec.ReadRequest(Head);
  const auto [Route, Customer] =
      admit(Services, *Configuration, Head, Description);
  const gateway_service &Service = serviceOf(*Configuration, Route);
  if (Service.Engine)
    checkModelName(Description);
  request_stages::registration Stage(Services.Stages);
  std::string Body = Exchange.readBody(Configuration->Limits.BodyBytes);
  const request_fingerprint Fingerprint = fingerprintOf(
      customer_id::ofName(Customer ? Customer->Name : ""), Head.Target, Body);
  const time_point Deadline = deadlineOf(Route, Description, Start);
  std::vector<part_id> SharedParts = sharedParts(Description, Service.Name);
  forwarded_request Request{Services,
                            Exchange,
                            Configuration,
                            Route,
                            Service,
                            Customer,
                            std::move(Description),
                            std::move(Body),
                            Fingerprint,
                            std::move(SharedParts),
                            Start,
                            Deadline,
                            std::make_shared<cancellation>(),
                            Stage,
                            {},
                            {},
                            {},
                            0,
                            false,
                            {},
                            false};
  try {
    serve(Request);
    Services.RetryPaces.noteServed(Service.Name);
    logOutcome(Request, "served");
  } catch (const retry_after_error &Refusal) {
    logOutcome(Request, describe(Refusal.code()).Name);
    refuseUntil(Request, Refusal);
  } catch (const spindle_error &Error) {
    logOutcome(Request, describe(Error.code()).Name);
    throw;
  }
}

} // namespace spindle
