#include "LibStandIn/json_exchange.h"

#include "LibCore/result_code.h"
#include "LibRuntime/fiber_runtime.h"

namespace spindle {

using nlohmann::json;

static constexpr milliseconds SilencePollInterval{20};

void respondText(http_exchange &Exchange, int Status, std::string_view Text) {
  http_response_head Head;
  Head.Status = Status;
  Head.Fields.push_back({"Content-Type", "application/json"});
  Exchange.respond(Head, Text);
}

void respondJson(http_exchange &Exchange, int Status, const json &Body) {
  respondText(Exchange, Status, Body.dump());
}

void respondError(http_exchange &Exchange, int Status,
                  std::string_view Message) {
  respondJson(Exchange, Status,
              {{"error", {{"code", Status}, {"message", Message}}}});
}

json readJson(http_exchange &Exchange) {
  const std::string Body = Exchange.readBody(StandInBodyLimitBytes);
  json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object())
    throw spindle_error(result_code::BadRequest,
                        "the body is not a JSON object");
  return Document;
}

static bool sameType(const json &Left, const json &Right) {
  return Left.type() == Right.type() || (Left.is_number() && Right.is_number());
}

void serveControl(http_exchange &Exchange, const std::function<json()> &Read,
                  const std::function<void(const json &)> &Apply) {
  if (Exchange.request().Method == "GET")
    return respondJson(Exchange, 200, Read());
  const json Requested = readJson(Exchange);
  json Switches = Read();
  for (const auto &[Name, Value] : Requested.items())
    if (!Switches.contains(Name) || !sameType(Switches[Name], Value))
      return respondError(Exchange, 400,
                          "no such switch, or of another type: " + Name);
  Switches.update(Requested);
  Apply(Switches);
  respondJson(Exchange, 200, Switches);
}

void holdSilently(http_exchange &Exchange, const std::function<bool()> &Over) {
  while (!Over() && !Exchange.callerGone())
    sleepFor(SilencePollInterval);
}

} // namespace spindle
