#include "request_text.h"

#include "LibEngine/completion_request.h"
#include "engine_stand_in/answer_text.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static constexpr std::size_t BytesPerToken = 4;
static constexpr std::array<const char *, 4> ClassNames{"rush", "chat", "plain",
                                                        "batch"};

static std::string filler(std::string_view Word, std::size_t Bytes) {
  std::string Text;
  while (Text.size() < Bytes)
    Text += Word;
  Text.resize(Bytes);
  return Text;
}

/// A prompt of the planned length that no other request of the run has.
static std::string writePrompt(const load_scenarios &Common,
                               const planned_request &Request,
                               const std::string &RunName) {
  const load_class &Class = Common.Classes[Request.Class];
  std::string Prompt;
  if (Class.Preamble)
    Prompt = filler("Catalogue of lids, weights and lights. ",
                    Common.PreambleTokens * BytesPerToken);
  Prompt += RunName + " request " + std::to_string(Request.Number) +
            " answer-tokens=" + std::to_string(Request.AnswerTokens) + " ";
  const std::size_t Bytes = Request.PromptTokens * BytesPerToken;
  if (Prompt.size() < Bytes)
    Prompt += filler("glaze and kiln ", Bytes - Prompt.size());
  return Prompt;
}

static void writeCompletion(request_text &Text, const load_scenarios &Common,
                            const planned_request &Request,
                            const std::string &Prompt) {
  const load_customer &Customer = Common.Customers[Request.Customer];
  const priority_class Class = Common.Classes[Request.Class].Class;
  // Callers allow for more than they receive, as their bound is a round figure.
  const std::uint32_t MostTokens =
      std::max<std::uint32_t>(64, (Request.AnswerTokens + 63) / 64 * 64);
  Text.Adapter = Customer.AdapterPrefix + std::to_string(Request.Adapter) +
                 "@" + Customer.Version;
  Text.Head.Method = "POST";
  Text.Head.Target = "/v1/completions";
  Text.Body = json{{"model", Text.Adapter},
                   {"prompt", Prompt},
                   {"max_tokens", MostTokens},
                   {"stream", true},
                   {"priority", ClassNames[static_cast<std::size_t>(Class)]}}
                  .dump();
  Text.ExpectedAnswer =
      answerText(Text.Adapter, Prompt, answerLength(Prompt, MostTokens));
  Text.PromptTokens = static_cast<double>(estimateTokens(Prompt.size()).Count);
  Text.MostAnswerTokens = MostTokens;
}

static void writeServiceCall(request_text &Text, const load_scenarios &Common,
                             const planned_request &Request,
                             const std::string &RunName) {
  if (Request.Kind == load_kind::StockCheck) {
    Text.Head.Method = "GET";
    Text.Head.Target =
        Common.StockPath + "?item=lid" + std::to_string(Request.Number % 100);
    return;
  }
  Text.Head.Method = "POST";
  Text.Head.Target = Common.OrderPath;
  Text.Body =
      json{{"item", "lid"}, {"pieces", 2}, {"number", Request.Number}}.dump();
  Text.OrderKey = RunName + "-order-" + std::to_string(Request.Number);
  Text.Head.Fields.push_back({"Idempotency-Key", Text.OrderKey});
}

request_text writeRequest(const load_scenarios &Common,
                          const planned_request &Request,
                          const std::string &RunName) {
  request_text Text;
  const load_customer &Customer = Common.Customers[Request.Customer];
  switch (Request.Kind) {
  case load_kind::Completion:
    writeCompletion(Text, Common, Request,
                    writePrompt(Common, Request, RunName));
    break;
  case load_kind::Crashing:
    writeCompletion(Text, Common, Request,
                    RunName + " " + Common.CrashMark + " answer-tokens=8");
    break;
  case load_kind::Order:
  case load_kind::StockCheck:
    writeServiceCall(Text, Common, Request, RunName);
    break;
  }
  Text.Head.Fields.push_back({"Authorization", "Bearer " + Customer.Key});
  Text.Head.Fields.push_back({"Content-Type", "application/json"});
  return Text;
}

} // namespace spindle
