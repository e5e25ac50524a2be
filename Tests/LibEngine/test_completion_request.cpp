#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"
#include "LibEngine/completion_request.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace spindle;

static completion_request parse(std::string_view Body) {
  return parseCompletionRequest(completion_endpoint::Completions, Body);
}

static completion_request parseChat(std::string_view Body) {
  return parseCompletionRequest(completion_endpoint::ChatCompletions, Body);
}

static std::string refusal(completion_endpoint Endpoint,
                           std::string_view Body) {
  try {
    parseCompletionRequest(Endpoint, Body);
  } catch (const spindle_error &Error) {
    REQUIRE(Error.code() == result_code::BadRequest);
    return Error.what();
  }
  return "accepted";
}

TEST_CASE("a completion request is read with its bounds and class") {
  const completion_request Request =
      parse(R"({"model":"lid@3","prompt":"four score","max_tokens":12,)"
            R"("stream":true,"priority":"rush","temperature":0.5})");
  CHECK(Request.Model == "lid@3");
  CHECK(Request.Stream);
  CHECK(Request.MaxTokens == 12U);
  CHECK(Request.Priority == priority_class::Rush);
  CHECK(Request.PromptTokens == tokens{3});
  CHECK(Request.PrefixHash == prefixHash("four score"));
  CHECK(Request.OtherFields == R"({"prompt":"four score","temperature":0.5})");
}

TEST_CASE("the body for the engine names the adapter, bound and class") {
  const completion_request Request =
      parse(R"({"model":"lid","prompt":"x","max_tokens":900,"stream":true,)"
            R"("priority":"batch","max_completion_tokens":900})");
  const nlohmann::json Body = nlohmann::json::parse(
      upstreamBody(Request, "lid@3", 64, priority_class::Plain));
  CHECK(Body == nlohmann::json::parse(
                    R"({"model":"lid@3","prompt":"x","max_tokens":64,)"
                    R"("priority":2,"stream":true,)"
                    R"("stream_options":{"include_usage":true}})"));
}

TEST_CASE("the fingerprint covers what runs and nothing else") {
  const std::uint64_t Plain =
      parse(R"({"model":"a","prompt":"x"})").Fingerprint;
  CHECK(Plain == parse(R"({"prompt":"x","stream":true,"priority":"rush",)"
                       R"("model":"a"})")
                     .Fingerprint);
  CHECK(Plain != parse(R"({"model":"a","prompt":"y"})").Fingerprint);
  CHECK(Plain != parse(R"({"model":"b","prompt":"x"})").Fingerprint);
  CHECK(Plain !=
        parse(R"({"model":"a","prompt":"x","max_tokens":1})").Fingerprint);
}

TEST_CASE("requests with one preamble share a prefix hash") {
  const std::string Preamble(PrefixHashBytes, 'p');
  CHECK(prefixHash(Preamble + "one") == prefixHash(Preamble + "two"));
  CHECK(prefixHash("one") != prefixHash("two"));
  const completion_request Chat =
      parseChat(R"({"model":"a","messages":[{"role":"system","content":"s"},)"
                R"({"role":"user","content":"12345678"}]})");
  CHECK(Chat.PrefixHash == prefixHash("s"));
  CHECK(Chat.PromptTokens == tokens{3});
}

TEST_CASE("a refusal names field and place") {
  using Catch::Matchers::Contains;
  const completion_endpoint Text = completion_endpoint::Completions;
  const completion_endpoint Chat = completion_endpoint::ChatCompletions;
  CHECK_THAT(refusal(Text, "{\"model\":\n tru"), Contains("line 2"));
  CHECK_THAT(refusal(Text, "[1]"), Contains("not a JSON object"));
  CHECK_THAT(refusal(Text, R"({"prompt":"x"})"), Contains("\"model\""));
  CHECK_THAT(refusal(Text, R"({"model":"a"})"), Contains("\"prompt\""));
  CHECK_THAT(refusal(Text, R"({"model":"a","prompt":["x","y"]})"),
             Contains("\"prompt\""));
  CHECK_THAT(refusal(Text, R"({"model":"a","prompt":"x","max_tokens":-1})"),
             Contains("\"max_tokens\""));
  CHECK_THAT(refusal(Text, R"({"model":"a","prompt":"x","stream":1})"),
             Contains("\"stream\""));
  CHECK_THAT(refusal(Text, R"({"model":"a","prompt":"x","n":2})"),
             Contains("\"n\""));
  CHECK_THAT(refusal(Text, R"({"model":"a","prompt":"x","priority":"now"})"),
             Contains("\"priority\""));
  CHECK_THAT(refusal(Chat, R"({"model":"a","messages":[{"role":"user"},7]})"),
             Contains("messages[1]"));
  CHECK_THAT(refusal(Text, "{\"a\":" + std::string(100'000, '[')),
             Contains("nested too deeply at byte 69"));
  const std::string Quoted = R"("\"[[[[\\")";
  CHECK_THAT(refusal(Text, "{\"a\":" + Quoted + ",\"b\":" +
                               std::string(MaxJsonLevels, '[') + "7"),
             Contains("nested too deeply"));
  CHECK_THAT(refusal(Text, R"({"prompt":"\")" + std::string(70, '[') + "\"}"),
             Contains("\"model\""));
}
