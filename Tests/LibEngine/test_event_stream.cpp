#include "LibCore/result_code.h"
#include "LibEngine/answer_verifier.h"
#include "LibEngine/event_stream_reader.h"

#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

struct seen_event {
  std::string Raw;
  std::string Data;
  bool Done = false;
  bool operator==(const seen_event &) const = default;
};

static void takeAll(event_stream_reader &Reader,
                    std::vector<seen_event> &Seen) {
  stream_event Event;
  while (Reader.next(Event))
    Seen.push_back(
        {std::string(Event.Raw), std::string(Event.Data), Event.Done});
}

/// Reads \p Text cut into parts of the given sizes, over and over.
static std::vector<seen_event> readInParts(std::string_view Text,
                                           const std::vector<int> &Sizes) {
  event_stream_reader Reader;
  std::vector<seen_event> Seen;
  for (std::size_t Turn = 0; !Text.empty(); ++Turn) {
    const auto Size = std::min(
        Text.size(), static_cast<std::size_t>(Sizes[Turn % Sizes.size()]));
    Reader.feed(Text.substr(0, Size));
    Text.remove_prefix(Size);
    takeAll(Reader, Seen);
  }
  return Seen;
}

static std::string chunk(std::string_view Model, std::string_view Text,
                         std::string_view Finish = "null") {
  return R"({"id":"cmpl-7","object":"text_completion","model":")" +
         std::string(Model) + R"(","choices":[{"index":0,"text":")" +
         std::string(Text) + R"(","finish_reason":)" + std::string(Finish) +
         "}]}";
}

static void verify(answer_verifier &Verifier, std::string_view Stream) {
  event_stream_reader Reader;
  Reader.feed(Stream);
  stream_event Event;
  while (Reader.next(Event))
    Verifier.accept(Event);
  Verifier.finish();
}

static result_code verdict(std::string_view Stream,
                           std::string_view RequestId = {}) {
  answer_verifier Verifier("lid@3", RequestId);
  try {
    verify(Verifier, Stream);
  } catch (const spindle_error &Error) {
    return Error.code();
  }
  return result_code{};
}

/// Makes an event of one or two data lines.
static seen_event makeEvent() {
  const std::string End = *rc::gen::element<std::string>("\n", "\r\n");
  const std::string Data = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ab{}\": [\\é")));
  const std::string Second = *rc::gen::element<std::string>("", "2", "3:");
  std::string Raw = *rc::gen::element<std::string>("", ": ping", "id: 1");
  Raw += Raw.empty() ? "" : End;
  Raw += "data: " + Data + End;
  Raw += Second.empty() ? "" : "data:" + Second + End;
  Raw += End;
  return {Raw, Second.empty() ? Data : Data + "\n" + Second, false};
}

TEST_CASE("events are the same however their bytes are cut") {
  rc::prop("any cut of any stream", [] {
    std::string Text;
    std::vector<seen_event> Expected;
    const int Count = *rc::gen::inRange(1, 12);
    for (int Index = 0; Index < Count; ++Index) {
      Expected.push_back(makeEvent());
      Text += Expected.back().Raw;
    }
    Text += "data: [DONE]\n\n";
    Expected.push_back({"data: [DONE]\n\n", "[DONE]", true});
    const std::vector<int> Sizes = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40)));
    RC_ASSERT(readInParts(Text, Sizes) == Expected);
  });
}

TEST_CASE("every single byte boundary may split an event") {
  const std::string Text =
      "data: " + chunk("lid@3", "a") + "\r\n\r\n: ping\n\ndata: [DONE]\n\n";
  const std::vector<seen_event> Whole = readInParts(Text, {10'000});
  REQUIRE(Whole.size() == 3);
  for (int Cut = 1; Cut < static_cast<int>(Text.size()); ++Cut)
    REQUIRE(readInParts(Text, {Cut, 10'000}) == Whole);
}

TEST_CASE("an event without end is refused") {
  event_stream_reader Reader;
  stream_event Event;
  Reader.feed("data: " + std::string(event_stream_reader::MaxEventBytes, 'x'));
  REQUIRE_THROWS_AS(Reader.next(Event), spindle_error);
}

TEST_CASE("fields are read where they are and never inside of strings") {
  rc::prop("the reader agrees with a JSON library", [] {
    const std::string Text = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("model\":,{}[]\\u \n")));
    const std::string Model = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("ab@1\"\\/")));
    const nlohmann::json Body{
        {"aaa", {{"model", Text}, {Text, {1, nullptr, Text}}}},
        {"choices", {{{"text", Text}, {"finish_reason", "stop"}}}},
        {"id", "x"},
        {"model", Model},
        {"usage", {{"completion_tokens", 7}, {"details", {Text}}}}};
    const std::string Written = Body.dump(*rc::gen::inRange(-1, 3));
    const answer_fields Fields = readAnswerFields(Written);
    RC_ASSERT(Fields.Valid);
    RC_ASSERT(sameJsonText(Fields.Model, Model));
    RC_ASSERT(Fields.FinishReason == "stop");
    RC_ASSERT(Fields.CompletionTokens == 7U);
    RC_ASSERT(!Fields.HasError);
    const std::size_t Cut = *rc::gen::inRange<std::size_t>(0, Written.size());
    RC_ASSERT(!readAnswerFields(Written.substr(0, Cut)).Valid);
  });
}

TEST_CASE("a stream counts as whole only with its end and its own adapter") {
  const std::string First = "data: " + chunk("lid@3", "a") + "\n\n";
  const std::string Last = "data: " + chunk("lid@3", "b", "\"stop\"") + "\n\n";
  const std::string Done = "data: [DONE]\n\n";
  CHECK(verdict(First + Last + Done) == result_code{});
  CHECK(verdict(First + Last) == result_code::AnswerCutShort);
  CHECK(verdict(First + Done) == result_code::AnswerCutShort);
  CHECK(verdict(First + Last + Done + First) == result_code::AnswerCutShort);
  CHECK(verdict(First + "data: {\"error\":{}}\n\n" + Last + Done) ==
        result_code::AnswerCutShort);
  CHECK(verdict("data: " + chunk("lid@3", "b", "\"abort\"") + "\n\n" + Done) ==
        result_code::AnswerCutShort);
  CHECK(verdict(First + "data: {\"model\":\n\n") ==
        result_code::AnswerCutShort);
  CHECK(verdict(First + "data: " + chunk("lid@4", "b", "\"stop\"") + "\n\n" +
                Done) == result_code::WrongAdapterAnswered);
  CHECK(verdict(First + Last + Done, "-7") == result_code{});
  CHECK(verdict(First + Last + Done, "-8") ==
        result_code::WrongAdapterAnswered);
}

TEST_CASE("the end of an unfinished answer is not passed on") {
  answer_verifier Verifier("lid@3");
  const std::string Data = chunk("lid@3", "a");
  Verifier.accept({Data, Data, false});
  REQUIRE_THROWS_AS(Verifier.accept({"", "[DONE]", true}), spindle_error);
  REQUIRE_FALSE(Verifier.done());
}

TEST_CASE("tokens are counted by events unless the engine reports usage") {
  const std::string First = "data: " + chunk("lid@3", "a") + "\n\n";
  const std::string Last = "data: " + chunk("lid@3", "b", "\"stop\"") + "\n\n";
  answer_verifier Counted("lid@3");
  verify(Counted, First + First + Last + "data: [DONE]\n\n");
  CHECK(Counted.completionTokens() == 3);
  answer_verifier Reported("lid@3");
  verify(Reported, First + Last +
                       R"(data: {"id":"cmpl-7","model":"lid@3","choices":[],)"
                       R"("usage":{"prompt_tokens":4,"completion_tokens":9}})"
                       "\n\ndata: [DONE]\n\n");
  CHECK(Reported.completionTokens() == 9);
  CHECK(Reported.promptTokens() == 4);
  // One token can't come in two parts.
  CHECK(verdict(First + Last +
                R"(data: {"id":"cmpl-7","model":"lid@3","choices":[],)"
                R"("usage":{"completion_tokens":1}})"
                "\n\ndata: [DONE]\n\n") == result_code::AnswerCutShort);
  CHECK(readAnswerFields(R"({"choices":[{"delta":{"content":"x"}}]})").HasText);
  CHECK_FALSE(
      readAnswerFields(R"({"choices":[{"delta":{"content":""}}]})").HasText);
}

TEST_CASE("a whole answer is checked like a stream") {
  answer_verifier Verifier("lid@3");
  CHECK_NOTHROW(Verifier.acceptWhole(chunk("lid@3", "a", "\"stop\"")));
  answer_verifier Unfinished("lid@3");
  CHECK_THROWS_AS(Unfinished.acceptWhole(chunk("lid@3", "a")), spindle_error);
  answer_verifier Crossed("lid@4");
  CHECK_THROWS_AS(Crossed.acceptWhole(chunk("lid@3", "a", "\"stop\"")),
                  spindle_error);
}
