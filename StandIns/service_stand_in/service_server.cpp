#include "service_stand_in/service_server.h"

#include "LibCore/digest.h"
#include "LibRuntime/fiber_runtime.h"
#include "LibStandIn/counted_fault.h"
#include "LibStandIn/credential_log.h"
#include "LibStandIn/json_exchange.h"
#include "service_stand_in/call_record.h"

#include <atomic>
#include <mutex>

namespace spindle {

using nlohmann::json;

namespace {

struct service_faults {
  milliseconds Latency{0};
  milliseconds Slow{0};
  std::int64_t CrashBefore = 0;
  std::int64_t CrashAfter = 0;
  std::int64_t CloseAtOnce = 0;
  std::int64_t Truncate = 0;
  std::int64_t Fail = 0;
  bool Silent = false;
  bool Leaving = false;
  std::vector<std::string> Secrets;
};

/// The faults that apply to one call.
struct call_faults {
  milliseconds Latency{0};
  milliseconds Slow{0};
  bool CrashBefore = false;
  bool CrashAfter = false;
  bool CloseAtOnce = false;
  bool Truncate = false;
  bool Fail = false;
};

} // namespace

struct service_server::state {
  explicit state(const service_server_settings &Settings) : Settings(Settings) {
    Faults.Latency = Settings.Latency;
  }

  call_faults drawFaults();
  bool silent();
  void serveCall(http_exchange &Exchange);
  void runCall(http_exchange &Exchange, const call_faults &Drawn);
  json readSwitches();
  void applySwitches(const json &Switches);
  json record() const;

  const service_server_settings Settings;
  std::mutex Mutex;
  service_faults Faults;
  call_record Record;
  credential_log Credentials;
  std::atomic<std::uint32_t> Running{0};
};

call_faults service_server::state::drawFaults() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  call_faults Drawn;
  Drawn.Latency = Faults.Latency;
  Drawn.Slow = Faults.Slow;
  Drawn.CloseAtOnce = takeOne(Faults.CloseAtOnce);
  if (Drawn.CloseAtOnce)
    return Drawn;
  Drawn.Fail = takeOne(Faults.Fail);
  if (Drawn.Fail)
    return Drawn;
  Drawn.CrashBefore = takeOne(Faults.CrashBefore);
  if (Drawn.CrashBefore)
    return Drawn;
  Drawn.CrashAfter = takeOne(Faults.CrashAfter);
  Drawn.Truncate = !Drawn.CrashAfter && takeOne(Faults.Truncate);
  return Drawn;
}

bool service_server::state::silent() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Faults.Silent;
}

/// Sends an answer that ends in the middle of its body.
static void respondTruncated(http_exchange &Exchange, std::string_view Body) {
  Exchange.startStream({200, {{"Content-Type", "application/json"}}});
  Exchange.writeSome(Body.substr(0, Body.size() / 2));
  Exchange.abort();
}

void service_server::state::runCall(http_exchange &Exchange,
                                    const call_faults &Drawn) {
  const http_request_head &Request = Exchange.request();
  const std::string Body = Exchange.readBody(StandInBodyLimitBytes);
  Credentials.inspect(Request, Body);
  if (Drawn.Latency > milliseconds(0))
    sleepFor(Drawn.Latency);
  if (Drawn.CrashBefore)
    return Exchange.abort();
  if (Drawn.Fail)
    return respondError(Exchange, 500, "the service failed as told");
  const std::string OrderKey(findField(Request.Fields, "Idempotency-Key"));
  const std::uint64_t Effect = Record.takeEffect(
      Request.Method, pathOf(Request.Target), OrderKey, Settings.Deduplicates);
  if (Drawn.CrashAfter)
    return Exchange.abort();
  if (Drawn.Slow > milliseconds(0))
    sleepFor(Drawn.Slow);
  const json Answer{{"service", Settings.Name},
                    {"method", Request.Method},
                    {"path", pathOf(Request.Target)},
                    {"order_key", OrderKey},
                    {"effect", Effect},
                    {"body_sha256", sha256Hex(Body)}};
  if (Drawn.Truncate)
    return respondTruncated(Exchange, Answer.dump());
  respondJson(Exchange, 200, Answer);
}

void service_server::state::serveCall(http_exchange &Exchange) {
  Record.arrived();
  const call_faults Drawn = drawFaults();
  if (Drawn.CloseAtOnce)
    return Exchange.abort();
  if (silent()) {
    holdSilently(Exchange, [this] { return !silent(); });
    return Exchange.abort();
  }
  ++Running;
  try {
    runCall(Exchange, Drawn);
  } catch (...) {
    --Running;
    throw;
  }
  --Running;
}

json service_server::state::readSwitches() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return {{"latency_ms", Faults.Latency.count()},
          {"slow_ms", Faults.Slow.count()},
          {"crash_before", Faults.CrashBefore},
          {"crash_after", Faults.CrashAfter},
          {"close_at_once", Faults.CloseAtOnce},
          {"truncate", Faults.Truncate},
          {"fail", Faults.Fail},
          {"silent", Faults.Silent},
          {"leaving", Faults.Leaving},
          {"secrets", Faults.Secrets}};
}

void service_server::state::applySwitches(const json &Switches) {
  service_faults New;
  New.Latency = milliseconds(Switches.at("latency_ms").get<std::int64_t>());
  New.Slow = milliseconds(Switches.at("slow_ms").get<std::int64_t>());
  Switches.at("crash_before").get_to(New.CrashBefore);
  Switches.at("crash_after").get_to(New.CrashAfter);
  Switches.at("close_at_once").get_to(New.CloseAtOnce);
  Switches.at("truncate").get_to(New.Truncate);
  Switches.at("fail").get_to(New.Fail);
  Switches.at("silent").get_to(New.Silent);
  Switches.at("leaving").get_to(New.Leaving);
  Switches.at("secrets").get_to(New.Secrets);
  Credentials.setSecrets(New.Secrets);
  const std::lock_guard<std::mutex> Lock(Mutex);
  Faults = std::move(New);
}

json service_server::state::record() const {
  const call_summary Summary = Record.summary();
  return {
      {"arrived", Summary.Arrived},      {"effects", Summary.Effects},
      {"order_keys", Summary.OrderKeys}, {"repeated", Summary.Repeated},
      {"by_call", Summary.ByCall},       {"credentials", Credentials.places()}};
}

service_server::service_server(const service_server_settings &Settings)
    : State(std::make_unique<state>(Settings)) {}

service_server::~service_server() = default;

void service_server::handle(http_exchange &Exchange) {
  const std::string_view Path = pathOf(Exchange.request().Target);
  if (Path == "/control")
    return serveControl(
        Exchange, [this] { return State->readSwitches(); },
        [this](const json &Switches) { State->applySwitches(Switches); });
  if (Path == "/control/record")
    return respondJson(Exchange, 200, State->record());
  if (Path == "/control/orders")
    return respondJson(Exchange, 200, State->Record.orderKeys());
  if (Path == "/control/reset") {
    State->Record.clear();
    return respondJson(Exchange, 200, json::object());
  }
  if (Path == "/load")
    return respondJson(Exchange, 200,
                       {{"running", State->Running.load()},
                        {"leaving", State->readSwitches().at("leaving")}});
  State->serveCall(Exchange);
}

} // namespace spindle
