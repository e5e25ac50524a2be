#include "LibEngine/completion_request.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"

#include <algorithm>
#include <array>
#include <limits>

#include <nlohmann/json.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace spindle {

using nlohmann::json;

static constexpr std::size_t BytesPerToken = 4;
static constexpr std::array<std::string_view, 4> PriorityNames{
    "rush", "chat", "plain", "batch"};

[[noreturn]] static void refuse(std::string_view Field,
                                std::string_view Problem) {
  throw spindle_error(result_code::BadRequest, "field \"" + std::string(Field) +
                                                   "\" " +
                                                   std::string(Problem));
}

tokens estimateTokens(std::size_t TextBytes) {
  const std::size_t Count = (TextBytes + BytesPerToken - 1) / BytesPerToken;
  return {static_cast<std::int64_t>(std::max<std::size_t>(Count, 1))};
}

std::uint64_t prefixHash(std::string_view Prompt) {
  const std::string_view Prefix = Prompt.substr(0, PrefixHashBytes);
  return XXH3_64bits(Prefix.data(), Prefix.size());
}

std::optional<priority_class> parsePriority(std::string_view Text) {
  const auto Found =
      std::find(PriorityNames.begin(), PriorityNames.end(), Text);
  if (Found == PriorityNames.end())
    return std::nullopt;
  return static_cast<priority_class>(Found - PriorityNames.begin());
}

static json parseBody(std::string_view Body) {
  try {
    json Parsed = parseBoundedJson(Body);
    if (!Parsed.is_object())
      throw spindle_error(result_code::BadRequest,
                          "the body is not a JSON object");
    return Parsed;
  } catch (const json_too_deep &Error) {
    throw spindle_error(result_code::BadRequest,
                        "the body is nested too deeply at byte " +
                            std::to_string(Error.place() + 1));
  } catch (const json::exception &Error) {
    throw spindle_error(result_code::BadRequest,
                        std::string("the body is not valid JSON: ") +
                            Error.what());
  }
}

/// Removes and returns a member; null counts as absent.
static json take(json &Object, const char *Field) {
  const auto Found = Object.find(Field);
  if (Found == Object.end())
    return nullptr;
  json Value = std::move(*Found);
  Object.erase(Found);
  return Value;
}

static std::string takeModel(json &Body) {
  const json Value = take(Body, "model");
  if (Value.is_null())
    refuse("model", "is missing");
  if (!Value.is_string() || Value.get_ref<const std::string &>().empty())
    refuse("model", "must be a non-empty string");
  return Value.get<std::string>();
}

static bool takeFlag(json &Body, const char *Field) {
  const json Value = take(Body, Field);
  if (Value.is_null())
    return false;
  if (!Value.is_boolean())
    refuse(Field, "must be true or false");
  return Value.get<bool>();
}

static std::optional<std::uint32_t> takeBound(json &Body, const char *Field) {
  const json Value = take(Body, Field);
  if (Value.is_null())
    return std::nullopt;
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() == 0 ||
      Value.get<std::uint64_t>() > std::numeric_limits<std::int32_t>::max())
    refuse(Field, "must be an integer from 1 to 2147483647");
  return Value.get<std::uint32_t>();
}

static std::optional<std::uint32_t> takeMaxTokens(json &Body) {
  const std::optional<std::uint32_t> Old = takeBound(Body, "max_tokens");
  const std::optional<std::uint32_t> New =
      takeBound(Body, "max_completion_tokens");
  if (Old && New && *Old != *New)
    refuse("max_completion_tokens", "contradicts \"max_tokens\"");
  return Old ? Old : New;
}

static std::optional<priority_class> takePriority(json &Body) {
  const json Value = take(Body, "priority");
  if (Value.is_null())
    return std::nullopt;
  const std::optional<priority_class> Priority =
      Value.is_string() ? parsePriority(Value.get_ref<const std::string &>())
                        : std::nullopt;
  if (!Priority)
    refuse("priority", "must be \"rush\", \"chat\", \"plain\" or \"batch\"");
  return Priority;
}

static bool takeIncludeUsage(json &Body) {
  json Options = take(Body, "stream_options");
  if (Options.is_null())
    return false;
  if (!Options.is_object())
    refuse("stream_options", "must be an object");
  return takeFlag(Options, "include_usage");
}

/// One request gives one answer, so that what is reserved bounds its tokens.
static void requireOne(const json &Body, const char *Field) {
  const auto Found = Body.find(Field);
  if (Found != Body.end() && !Found->is_null() && *Found != 1)
    refuse(Field, "must be 1");
}

static void measureTokenPrompt(const json &Prompt,
                               completion_request &Request) {
  for (const json &Token : Prompt)
    if (!Token.is_number_unsigned())
      refuse("prompt", "must be a string, a list with one string, or a list "
                       "of token numbers");
  Request.PromptTokens = {static_cast<std::int64_t>(Prompt.size())};
  Request.PrefixHash = prefixHash(Prompt.dump());
}

static void measurePrompt(const json &Body, completion_request &Request) {
  const auto Found = Body.find("prompt");
  if (Found == Body.end())
    refuse("prompt", "is missing");
  const bool OneString =
      Found->is_array() && Found->size() == 1 && Found->front().is_string();
  const json &Prompt = OneString ? Found->front() : *Found;
  if (Prompt.is_array() && !Prompt.empty())
    return measureTokenPrompt(Prompt, Request);
  if (!Prompt.is_string())
    refuse("prompt", "must be a string, a list with one string, or a list of "
                     "token numbers");
  const std::string &Text = Prompt.get_ref<const std::string &>();
  Request.PromptTokens = estimateTokens(Text.size());
  Request.PrefixHash = prefixHash(Text);
}

/// The text of a message: a string, or the text parts of a list.
static std::string messageText(const json &Message, std::size_t Index) {
  const std::string Place = "messages[" + std::to_string(Index) + "]";
  if (!Message.is_object())
    refuse(Place, "must be an object");
  const auto Role = Message.find("role");
  if (Role == Message.end() || !Role->is_string())
    refuse(Place + ".role", "must be a string");
  const auto Content = Message.find("content");
  if (Content == Message.end() || Content->is_null())
    return {};
  if (Content->is_string())
    return Content->get<std::string>();
  if (!Content->is_array())
    refuse(Place + ".content", "must be a string or a list of parts");
  return Content->dump();
}

static void measureMessages(const json &Body, completion_request &Request) {
  const auto Found = Body.find("messages");
  if (Found == Body.end())
    refuse("messages", "is missing");
  if (!Found->is_array() || Found->empty())
    refuse("messages", "must be a non-empty list");
  std::size_t Bytes = 0;
  for (std::size_t Index = 0; Index < Found->size(); ++Index) {
    const std::string Text = messageText((*Found)[Index], Index);
    Bytes += Text.size();
    if (Index == 0)
      Request.PrefixHash = prefixHash(Text);
  }
  Request.PromptTokens = estimateTokens(Bytes);
}

static std::uint64_t fingerprint(const completion_request &Request) {
  const std::uint64_t Bound = Request.MaxTokens.value_or(0);
  const std::uint64_t Seed =
      XXH3_64bits_withSeed(Request.Model.data(), Request.Model.size(), Bound);
  return XXH3_64bits_withSeed(Request.OtherFields.data(),
                              Request.OtherFields.size(), Seed);
}

completion_request parseCompletionRequest(completion_endpoint Endpoint,
                                          std::string_view Body) {
  json Parsed = parseBody(Body);
  completion_request Request;
  Request.Endpoint = Endpoint;
  Request.Model = takeModel(Parsed);
  Request.Stream = takeFlag(Parsed, "stream");
  Request.MaxTokens = takeMaxTokens(Parsed);
  Request.Priority = takePriority(Parsed);
  Request.IncludeUsage = takeIncludeUsage(Parsed);
  requireOne(Parsed, "n");
  requireOne(Parsed, "best_of");
  if (Endpoint == completion_endpoint::Completions)
    measurePrompt(Parsed, Request);
  else
    measureMessages(Parsed, Request);
  Request.OtherFields = Parsed.dump();
  Request.Fingerprint = fingerprint(Request);
  return Request;
}

std::string upstreamBody(const completion_request &Request,
                         std::string_view Adapter, std::uint32_t MaxTokens,
                         priority_class Priority) {
  std::string Body = "{\"model\":" + json(Adapter).dump();
  Body += ",\"max_tokens\":" + std::to_string(MaxTokens);
  Body += ",\"priority\":" + std::to_string(static_cast<int>(Priority));
  if (Request.Stream)
    Body += ",\"stream\":true,\"stream_options\":{\"include_usage\":true}";
  // The other fields hold at least the prompt, so they are not empty.
  Body += ',';
  Body.append(Request.OtherFields, 1);
  return Body;
}

} // namespace spindle
