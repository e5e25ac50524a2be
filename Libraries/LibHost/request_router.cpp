#include "LibHost/request_router.h"

#include "LibHost/model_handler.h"
#include "LibHost/service_handler.h"
#include "LibLog/log.h"

namespace spindle {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpUnavailable = 503;

bool answerHealthCheck(http_exchange &Exchange,
                       const std::function<bool()> &Ready) {
  const std::string_view Path = pathOf(Exchange.request().Target);
  if (Path == "/healthz") {
    Exchange.respond({HttpOk, {}}, "ok\n");
    return true;
  }
  if (Path == "/readyz") {
    const bool IsReady = Ready();
    Exchange.respond({IsReady ? HttpOk : HttpUnavailable, {}},
                     IsReady ? "ready\n" : "not ready\n");
    return true;
  }
  return false;
}

const route_declaration &findRoute(const snapshot_pointer &Snapshot,
                                   const http_request_head &Request) {
  if (!Snapshot)
    throw spindle_error(result_code::NotReady,
                        "this host has no configuration yet");
  const std::string_view Path = pathOf(Request.Target);
  const route_declaration *const Route = Snapshot->findRoute(Path);
  if (!Route)
    throw spindle_error(result_code::NoRoute, "no route is declared for \"" +
                                                  std::string(Path) + "\"");
  return *Route;
}

void serveRoute(request_services &Services, http_exchange &Exchange) {
  const snapshot_pointer Snapshot = Services.Configuration.current();
  const route_declaration &Route = findRoute(Snapshot, Exchange.request());
  request_context Context{Services, Exchange, Snapshot,
                          Route,    {},       std::make_shared<cancellation>()};
  std::shared_ptr<void> Registration;
  if (!Route.Open) {
    Context.Caller =
        identifyCaller(Exchange.request(), *Snapshot, Services.Clock.now(),
                       Services.Configuration.lastConfirmed());
    Registration =
        Services.InFlight.add(Context.Caller.Digest, Context.Cancellation);
    // A withdrawal of the key that was applied before the registration did not
    // cancel this request, so the key is checked again.
    const snapshot_pointer Newest = Services.Configuration.current();
    if (!Newest->findKey(Context.Caller.Digest))
      throw spindle_error(result_code::KeyUnknown, "the key is not granted");
  }
  if (Route.Kind == route_kind::Model)
    handleModelRequest(Context);
  else
    handleServiceRequest(Context);
}

void recordRefusal(request_services &Services, const http_exchange &Exchange,
                   const spindle_error &Error) {
  const result_code_info &Info = describe(Error.code());
  Services.Metrics.count("spindle_refused_total",
                         {{"code", std::string(Info.Name)},
                          {"state", std::string(toText(Error.state()))}});
  logEvent(log_event::RequestRefused,
           {{"code", std::to_string(static_cast<int>(Error.code()))},
            {"name", std::string(Info.Name)},
            {"path", std::string(pathOf(Exchange.request().Target))},
            {"reason", Error.what()}});
}

} // namespace

void routeRequest(request_services &Services, http_exchange &Exchange,
                  const std::function<bool()> &Ready) {
  if (answerHealthCheck(Exchange, Ready))
    return;
  const time_point Start = Services.Clock.now();
  try {
    serveRoute(Services, Exchange);
    const std::chrono::duration<double> Elapsed = Services.Clock.now() - Start;
    Services.Metrics.observeSeconds("spindle_request_seconds", {},
                                    Elapsed.count());
  } catch (const spindle_error &Error) {
    recordRefusal(Services, Exchange, Error);
    throw;
  } catch (const std::exception &Error) {
    logEvent(log_event::UnexpectedFailure, {{"reason", Error.what()}});
    throw;
  }
}

} // namespace spindle
