#include "LibEngine/answer_verifier.h"

#include "LibCore/result_code.h"

namespace spindle {

answer_verifier::answer_verifier(std::string_view Adapter,
                                 std::string_view RequestId)
    : Adapter(Adapter), RequestId(RequestId) {}

[[noreturn]] static void cutShort(const std::string &Message) {
  throw spindle_error(result_code::AnswerCutShort, Message);
}

void answer_verifier::check(const answer_fields &Fields) {
  if (!Fields.Valid)
    cutShort("the upstream's answer is not JSON");
  if (Fields.HasError)
    cutShort("the upstream reported an error instead of the answer");
  if (Fields.FinishReason == "abort" || Fields.FinishReason == "error")
    cutShort("the upstream aborted the answer");
  if (!sameJsonText(Fields.Model, Adapter))
    throw spindle_error(result_code::WrongAdapterAnswered,
                        "\"" + std::string(Fields.Model) +
                            "\" answered instead of \"" + Adapter + "\"");
  if (Id.empty())
    Id = Fields.Id;
  if (Fields.Id != Id || !Id.ends_with(RequestId))
    throw spindle_error(result_code::WrongAdapterAnswered,
                        "the answer belongs to another request");
  Finished = Finished || !Fields.FinishReason.empty();
  ReportedTokens = Fields.CompletionTokens.value_or(ReportedTokens);
  PromptTokens = Fields.PromptTokens.value_or(PromptTokens);
}

void answer_verifier::accept(const stream_event &Event) {
  LastUsageOnly = false;
  if (Event.Data.empty())
    return;
  if (Done)
    cutShort("the upstream sent data after the end of its answer");
  if (Event.Done) {
    checkEnd();
    Done = true;
    return;
  }
  const answer_fields Fields = readAnswerFields(Event.Data);
  check(Fields);
  ChoiceEvents += Fields.HasChoices ? 1 : 0;
  TextEvents += Fields.HasText ? 1 : 0;
  LastUsageOnly = !Fields.HasChoices && Fields.CompletionTokens.has_value();
}

void answer_verifier::acceptWhole(std::string_view Body) {
  const answer_fields Fields = readAnswerFields(Body);
  check(Fields);
  if (!Fields.HasChoices || !Finished)
    cutShort("the upstream's answer holds no finished choice");
  Done = true;
}

/// Callers treat "[DONE]" as the end of a whole answer.
void answer_verifier::checkEnd() const {
  if (!Finished)
    cutShort("the upstream's stream ended without a finish reason");
  // Each part with text holds at least one token.
  if (ReportedTokens != 0 && TextEvents > ReportedTokens)
    cutShort("the upstream repeated a part of its answer");
}

void answer_verifier::finish() const {
  if (!Done)
    cutShort("the upstream's stream ended without [DONE]");
}

std::uint64_t answer_verifier::completionTokens() const {
  return ReportedTokens != 0 ? ReportedTokens : ChoiceEvents;
}

} // namespace spindle
