#include "engine_stand_in/answer_writer.h"

#include "LibCore/result_code.h"
#include "LibEngine/completion_request.h"
#include "engine_stand_in/answer_text.h"

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

static std::string promptOf(const json &Body, bool Chat) {
  if (!Chat) {
    const json &Prompt = Body.at("prompt");
    return Prompt.is_string() ? Prompt.get<std::string>() : Prompt.dump();
  }
  std::string Text;
  for (const json &Message : Body.at("messages")) {
    Text += Text.empty() ? "" : "\n";
    Text += Message.value("content", std::string());
  }
  return Text;
}

static std::uint64_t prefixOf(const json &Body, const engine_call &Call) {
  if (!Call.Chat)
    return prefixHash(Call.Prompt);
  return prefixHash(Body.at("messages").at(0).value("content", std::string()));
}

engine_call readEngineCall(bool Chat, std::string_view Text) {
  try {
    const json Body = json::parse(Text);
    engine_call Call;
    Call.Chat = Chat;
    Body.at("model").get_to(Call.Model);
    Call.Prompt = promptOf(Body, Chat);
    Call.PrefixHash = prefixOf(Body, Call);
    Call.PromptTokens =
        static_cast<std::uint32_t>(estimateTokens(Call.Prompt.size()).Count);
    Call.MaxTokens = Body.value("max_tokens", Call.MaxTokens);
    Call.Priority = Body.value("priority", 0);
    Call.Stream = Body.value("stream", false);
    if (Body.contains("stream_options"))
      Call.IncludeUsage = Body["stream_options"].value("include_usage", false);
    return Call;
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::BadRequest, Error.what());
  }
}

answer_writer::answer_writer(const engine_call &Call, std::string_view Model,
                             std::uint32_t Length)
    : Call(Call), Length(Length), Seed(answerSeed(Call.Model, Call.Prompt)) {
  Head = "{\"id\":" + json("cmpl-" + Call.RequestId).dump() + ",\"object\":\"";
  Head += Call.Chat ? "chat.completion" : "text_completion";
  Head += Call.Chat && Call.Stream ? ".chunk" : "";
  Head += "\",\"created\":0,\"model\":" + json(Model).dump();
  Head += ",\"choices\":[";
}

std::string_view answer_writer::finishReason() const {
  return Length < Call.MaxTokens ? "\"stop\"" : "\"length\"";
}

std::string answer_writer::usage() const {
  return "\"usage\":{\"prompt_tokens\":" + std::to_string(Call.PromptTokens) +
         ",\"completion_tokens\":" + std::to_string(Length) +
         ",\"total_tokens\":" + std::to_string(Call.PromptTokens + Length) +
         "}";
}

void answer_writer::appendEvent(std::string &Text, std::uint32_t Index) const {
  const bool Last = Index + 1 >= Length;
  Text += "data: ";
  Text += Head;
  Text += Call.Chat ? "{\"index\":0,\"delta\":{\"content\":\""
                    : "{\"index\":0,\"text\":\"";
  appendAnswerToken(Text, Seed, Index);
  Text += Call.Chat ? "\"},\"finish_reason\":" : "\",\"finish_reason\":";
  Text += Last ? finishReason() : "null";
  Text += "}]";
  if (Last && !Call.IncludeUsage) {
    Text += ',';
    Text += usage();
  }
  Text += "}\n\n";
}

void answer_writer::appendEnd(std::string &Text) const {
  if (Call.IncludeUsage) {
    Text += "data: ";
    Text += Head;
    Text += "],";
    Text += usage();
    Text += "}\n\n";
  }
  Text += "data: [DONE]\n\n";
}

std::string answer_writer::whole() const {
  std::string Text = Head;
  Text += Call.Chat ? "{\"index\":0,\"message\":{\"role\":\"assistant\","
                      "\"content\":\""
                    : "{\"index\":0,\"text\":\"";
  Text += answerText(Call.Model, Call.Prompt, Length);
  Text += Call.Chat ? "\"},\"finish_reason\":" : "\",\"finish_reason\":";
  Text += finishReason();
  Text += "}],";
  Text += usage();
  Text += "}";
  return Text;
}

} // namespace spindle
