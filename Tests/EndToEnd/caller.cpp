#include "EndToEnd/caller.h"

#include "LibCore/result_code.h"
#include "engine_stand_in/answer_text.h"

#include <sstream>

namespace spindle {

using json = nlohmann::json;

static constexpr milliseconds LookInterval{20};
static constexpr std::string_view EventStart = "data: ";

/// How long a caller waits; longer than any of the hosts' deadlines.
static http_call_limits patientLimits() {
  http_call_limits Limits;
  Limits.FirstByte = milliseconds(40'000);
  Limits.BetweenBytes = milliseconds(40'000);
  return Limits;
}

static void noteError(caller_answer &Answer, const json &Error) {
  Answer.Code = Error.at("code").get<int>();
  Answer.State = Error.at("state").get<std::string>();
}

/// Calls a host once and reads its answer; a failed connection is recorded, not
/// thrown.
static caller_answer callHost(fleet &Fleet, std::size_t Host,
                              const http_request_head &Request,
                              const std::string &Body) {
  caller_answer Answer;
  try {
    const http_response Response =
        Fleet.call(Host, Request, Body, patientLimits());
    Answer.Status = Response.Head.Status;
    Answer.Text = Response.Body;
    Answer.Whole = Answer.Status == 200;
    if (!Answer.Whole)
      noteError(Answer, json::parse(Response.Body).at("error"));
  } catch (const spindle_error &) {
    Answer.Cut = true;
  }
  return Answer;
}

static std::string toBody(const completion_question &Question) {
  return json{{"model", Question.Model},
              {"prompt", Question.Prompt},
              {"max_tokens", Question.Tokens},
              {"stream", Question.Stream}}
      .dump();
}

std::string describe(const caller_answer &Answer) {
  std::ostringstream Text;
  Text << "status " << Answer.Status << " code " << Answer.Code << " state \""
       << Answer.State << "\" whole " << Answer.Whole << " cut " << Answer.Cut
       << " text \"" << Answer.Text.substr(0, 400) << "\"";
  return Text.str();
}

http_fields callerFields() {
  return {{"Authorization", std::string("Bearer ") + fleet::KeyOfAalst},
          {"Content-Type", "application/json"}};
}

std::unique_ptr<http_call> startStream(fleet &Fleet, std::size_t Host,
                                       const completion_question &Question) {
  completion_question Streamed = Question;
  Streamed.Stream = true;
  return Fleet.client().start(
      Fleet.hostAddress(Host), {"POST", "/v1/completions", callerFields()},
      toBody(Streamed), patientLimits(), connection_use::FreshOnce);
}

static void noteEvent(caller_answer &Answer, const std::string &Data) {
  if (Data == "[DONE]") {
    Answer.Whole = true;
    return;
  }
  const json Event = json::parse(Data);
  if (Event.contains("error"))
    return noteError(Answer, Event["error"]);
  for (const json &Choice : Event.at("choices"))
    Answer.Text += Choice.at("text").get<std::string>();
}

caller_answer readStream(http_call &Call) {
  caller_answer Answer;
  Answer.Status = Call.head().Status;
  std::string Body;
  char Space[16384];
  try {
    while (const std::size_t Count = Call.readSome(Space))
      Body.append(Space, Count);
  } catch (const spindle_error &) {
    Answer.Cut = true;
  }
  if (Answer.Status != 200) {
    noteError(Answer, json::parse(Body).at("error"));
    return Answer;
  }
  std::size_t Start = 0;
  while (true) {
    const std::size_t End = Body.find("\n\n", Start);
    if (End == std::string::npos)
      return Answer;
    const std::string Event = Body.substr(Start, End - Start);
    if (Event.starts_with(EventStart))
      noteEvent(Answer, Event.substr(EventStart.size()));
    Start = End + 2;
  }
}

caller_answer requestCompletion(fleet &Fleet, std::size_t Host,
                                const completion_question &Question) {
  caller_answer Answer;
  if (!Question.Stream) {
    Answer = callHost(Fleet, Host, {"POST", "/v1/completions", callerFields()},
                      toBody(Question));
    if (Answer.Whole)
      Answer.Text = json::parse(Answer.Text)
                        .at("choices")
                        .at(0)
                        .at("text")
                        .get<std::string>();
    return Answer;
  }
  Fleet.run([&] {
    try {
      Answer = readStream(*startStream(Fleet, Host, Question));
    } catch (const spindle_error &) {
      Answer.Cut = true;
    }
  });
  return Answer;
}

caller_answer sendOrder(fleet &Fleet, std::size_t Host,
                        const std::string &OrderKey) {
  http_fields Fields = callerFields();
  Fields.push_back({"Idempotency-Key", OrderKey});
  return callHost(Fleet, Host, {"POST", "/orders/lids", Fields},
                  "{\"lids\": 2}");
}

caller_answer checkStock(fleet &Fleet, std::size_t Host) {
  return callHost(Fleet, Host, {"GET", "/stock/7", callerFields()}, "");
}

bool isOwnOrError(const caller_answer &Answer,
                  const completion_question &Question) {
  const std::string Right =
      answerText(Question.Model, Question.Prompt, Question.Tokens);
  if (Answer.Whole)
    return Answer.Code == 0 && Answer.Text == Right;
  if (Answer.Code == 0)
    return false;
  return Answer.Status != 200 || Right.starts_with(Answer.Text);
}

std::uint64_t sumOfRecords(fleet &Fleet, const std::vector<endpoint> &StandIns,
                           const std::string &Name) {
  std::uint64_t Sum = 0;
  for (const endpoint &StandIn : StandIns)
    Sum +=
        Fleet.control(StandIn, "/control/record").at(Name).get<std::uint64_t>();
  return Sum;
}

std::uint64_t effectsOf(fleet &Fleet, const std::string &OrderKey) {
  std::uint64_t Sum = 0;
  for (const endpoint &Service : Fleet.Services)
    Sum += Fleet.control(Service, "/control/orders")
               .value(OrderKey, std::uint64_t{0});
  return Sum;
}

bool holdsWithin(nanoseconds Limit, const std::function<bool()> &Condition) {
  const time_point Until = boot_clock::now() + Limit;
  while (!Condition()) {
    if (boot_clock::now() >= Until)
      return false;
    sleepFor(LookInterval);
  }
  return true;
}

} // namespace spindle
