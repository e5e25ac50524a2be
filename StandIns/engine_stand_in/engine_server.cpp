#include "engine_stand_in/engine_server.h"

#include "LibCore/result_code.h"
#include "LibStandIn/credential_log.h"
#include "LibStandIn/json_exchange.h"
#include "engine_stand_in/answer_sender.h"
#include "engine_stand_in/answer_text.h"
#include "engine_stand_in/engine_batch.h"
#include "engine_stand_in/engine_error.h"
#include "engine_stand_in/engine_json.h"
#include "engine_stand_in/engine_switches.h"
#include "engine_stand_in/order_handler.h"

#include <algorithm>

namespace spindle {

using nlohmann::json;

struct engine_server::state {
  state(fiber_runtime &Runtime, const engine_server_settings &Settings)
      : Settings(Settings),
        Batch(Runtime, Settings.Model, Settings.FirstIncarnation),
        Orders(Batch, Switches, Settings.WeightStore, Settings.LoadTime) {}

  void serveUpstream(http_exchange &Exchange);
  void serveCompletion(http_exchange &Exchange, bool Chat);
  engine_call readCall(http_exchange &Exchange, bool Chat);
  std::uint64_t startAnswer(const engine_call &Call);
  json readOrder(http_exchange &Exchange);
  void serveReport(http_exchange &Exchange);
  void serveCacheEvents(http_exchange &Exchange);
  void applySwitches(const json &Changed);

  const engine_server_settings Settings;
  engine_switches Switches;
  credential_log Credentials;
  engine_batch Batch;
  order_handler Orders;
};

engine_call engine_server::state::readCall(http_exchange &Exchange, bool Chat) {
  const std::string Body = Exchange.readBody(StandInBodyLimitBytes);
  engine_call Call = readEngineCall(Chat, Body);
  Call.RequestId = findField(Exchange.request().Fields, "X-Request-Id");
  Credentials.inspect(Exchange.request(), Body);
  return Call;
}

/// Adds the call to the batch and returns its number; 0 if its adapter isn't
/// loaded.
std::uint64_t engine_server::state::startAnswer(const engine_call &Call) {
  engine_request Request;
  Request.Adapter = Call.Model;
  Request.PrefixHash = Call.PrefixHash;
  Request.PromptTokens = Call.PromptTokens;
  Request.AnswerTokens =
      answerLength(Call.Prompt, std::max(1U, Call.MaxTokens));
  Request.Priority = Call.Priority;
  return Batch.start(Request, Settings.Unbatched);
}

void engine_server::state::serveCompletion(http_exchange &Exchange, bool Chat) {
  engine_call Call = readCall(Exchange, Chat);
  const request_faults Drawn = Switches.drawFor(Call.Prompt);
  if (Drawn.Crash) {
    Batch.restart();
    return Exchange.abort();
  }
  const std::uint64_t Number = startAnswer(Call);
  if (Number == 0)
    return respondEngineError(Exchange, 404,
                              "The model `" + Call.Model + "` does not exist.");
  if (Call.RequestId.empty())
    Call.RequestId = std::to_string(Number);
  answer_sender Sender(Exchange, Batch, Switches, Drawn, Number,
                       Settings.EventsPerWrite);
  Sender.send(Call);
}

json engine_server::state::readOrder(http_exchange &Exchange) {
  json Body = readJson(Exchange);
  Credentials.inspect(Exchange.request(), "");
  return Body;
}

void engine_server::state::serveReport(http_exchange &Exchange) {
  const engine_faults Present = Switches.faults();
  respondJson(Exchange, 200,
              toJson(Batch.report(Present.ReportLag), Present.Leaving));
}

void engine_server::state::serveCacheEvents(http_exchange &Exchange) {
  const engine_faults Present = Switches.faults();
  const std::string Since = queryParameter(Exchange.request().Target, "since");
  std::uint64_t Sequence = 0;
  if (!Since.empty())
    Sequence = std::stoull(Since);
  respondJson(Exchange, 200,
              toJson(Batch.cacheEvents(Sequence, Present.CacheLag,
                                       Present.CacheGapEvery)));
}

void engine_server::state::applySwitches(const json &Changed) {
  engine_faults New = readEngineFaults(Changed);
  Credentials.setSecrets(New.Secrets);
  if (Switches.apply(std::move(New)))
    Batch.restart();
}

void engine_server::state::serveUpstream(http_exchange &Exchange) {
  if (Switches.isRefusing())
    return Exchange.abort();
  if (!Switches.passSilence(Exchange))
    return;
  const std::string_view Path = pathOf(Exchange.request().Target);
  if (Path == "/v1/completions")
    return serveCompletion(Exchange, false);
  if (Path == "/v1/chat/completions")
    return serveCompletion(Exchange, true);
  if (Path == "/v1/load_lora_adapter")
    return Orders.load(Exchange, readOrder(Exchange));
  if (Path == "/v1/unload_lora_adapter")
    return Orders.unload(Exchange, readOrder(Exchange));
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
        Exchange, [this] { return toSwitches(State->Switches.faults()); },
        [this](const json &Changed) { State->applySwitches(Changed); });
  if (Path == "/control/record")
    return respondJson(
        Exchange, 200,
        toJson(State->Batch.record(), State->Credentials.places()));
  State->serveUpstream(Exchange);
}

} // namespace spindle
