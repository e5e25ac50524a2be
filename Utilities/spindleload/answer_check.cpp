#include "answer_check.h"

#include "LibCore/digest.h"
#include "LibCore/result_code.h"
#include "LibEngine/answer_verifier.h"

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

/// Appends the text of an event's choice.
static void appendText(std::string &Answer, std::string_view Data) {
  const json Event = json::parse(Data, nullptr, false);
  if (!Event.is_object() || !Event.contains("choices"))
    return;
  for (const json &Choice : Event["choices"])
    Answer += Choice.value("text", std::string());
}

load_outcome checkStream(const request_text &Request, std::string_view Body) {
  event_stream_reader Reader;
  answer_verifier Verifier(Request.Adapter);
  std::string Answer;
  try {
    Reader.feed(Body);
    stream_event Event;
    while (Reader.next(Event)) {
      if (Event.Data.empty())
        continue;
      Verifier.accept(Event);
      if (!Event.Done)
        appendText(Answer, Event.Data);
    }
    Verifier.finish();
  } catch (const spindle_error &Error) {
    return Error.code() == result_code::WrongAdapterAnswered
               ? load_outcome::Foreign
               : load_outcome::Broken;
  }
  return Answer == Request.ExpectedAnswer ? load_outcome::Whole
                                          : load_outcome::Foreign;
}

load_outcome checkService(const request_text &Request, std::string_view Body) {
  const json Answer = json::parse(Body, nullptr, false);
  if (!Answer.is_object())
    return load_outcome::Broken;
  const bool Own =
      Answer.value("order_key", std::string()) == Request.OrderKey &&
      Answer.value("body_sha256", std::string()) == sha256Hex(Request.Body);
  return Own ? load_outcome::Whole : load_outcome::Foreign;
}

void readRefusal(load_record &Record, std::string_view Body) {
  const json Parsed = json::parse(Body, nullptr, false);
  if (!Parsed.is_object() || !Parsed.contains("error"))
    return;
  const json &Error = Parsed["error"];
  if (!Error.is_object() || !Error.contains("code") ||
      !Error["code"].is_number_integer())
    return;
  Record.Outcome = load_outcome::Refused;
  Record.Code = Error["code"].get<int>();
  Record.CodeName = Error.value("name", std::string());
  Record.State = Error.value("state", std::string());
}

} // namespace spindle
