#include "engine_stand_in/answer_sender.h"

#include "LibStandIn/json_exchange.h"
#include "engine_stand_in/answer_text.h"

#include <algorithm>
#include <string>

namespace spindle {

/// How often a waiting request checks whether its caller has left.
static constexpr milliseconds CallerCheckInterval{100};

answer_sender::answer_sender(http_exchange &Exchange, engine_batch &Batch,
                             engine_switches &Switches,
                             const request_faults &Drawn, std::uint64_t Request,
                             std::uint32_t EventsPerWrite)
    : Exchange(Exchange), Batch(Batch), Switches(Switches), Drawn(Drawn),
      Request(Request), EventsPerWrite(EventsPerWrite) {}

answer_sender::~answer_sender() { Batch.end(Request, Sent); }

/// The call that a crossed answer belongs to.
static engine_call otherCall(const engine_call &Call) {
  engine_call Other = Call;
  Other.RequestId = "of-another-request";
  Other.Prompt += " of another caller";
  return Other;
}

void answer_sender::send(const engine_call &Call) {
  if (Drawn.Late > milliseconds(0))
    sleepFor(Drawn.Late);
  const engine_call Answered = Drawn.Crossed ? otherCall(Call) : Call;
  const std::string Model = Drawn.WrongAdapter ? "another@0" : Call.Model;
  const std::uint32_t Length =
      answerLength(Call.Prompt, std::max(1U, Call.MaxTokens));
  const answer_writer Writer(Answered, Model, Length);
  const bool Whole =
      Call.Stream ? sendStream(Writer, Length) : sendWhole(Writer, Length);
  if (!Whole)
    Exchange.abort();
}

/// Waits for further tokens and sets \p Tokens to all there are; returns false
/// if the answer has to be cut.
bool answer_sender::waitForTokens(std::uint32_t &Tokens) {
  const answer_progress Progress =
      Batch.wait(Request, Sent, CallerCheckInterval);
  if (Progress.Cut || Exchange.callerGone() || !Switches.passSilence(Exchange))
    return false;
  Tokens = Progress.Tokens;
  return true;
}

/// Appends the events of the tokens up to \p End.
void answer_sender::appendEvents(std::string &Text, const answer_writer &Writer,
                                 std::uint32_t End) {
  for (; Sent < End; ++Sent) {
    Writer.appendEvent(Text, Sent);
    if (Drawn.Duplicate && Sent == 0)
      Writer.appendEvent(Text, Sent);
  }
}

/// Sends a stream; returns false if it has to be cut.
bool answer_sender::sendStream(const answer_writer &Writer,
                               std::uint32_t Length) {
  Exchange.startStream({200, {{"Content-Type", "text/event-stream"}}});
  const std::uint32_t End =
      Drawn.Truncate ? std::min(Drawn.TruncateAfter, Length) : Length;
  std::string Text;
  while (Sent < End) {
    std::uint32_t Tokens = 0;
    if (!waitForTokens(Tokens))
      return false;
    Text.clear();
    appendEvents(Text, Writer, std::min({Tokens, End, Sent + EventsPerWrite}));
    if (!Drawn.Truncate && Sent == Length)
      Writer.appendEnd(Text);
    if (!Text.empty())
      Exchange.writeSome(Text);
  }
  if (Drawn.Truncate && !Drawn.TruncateCleanly)
    return false;
  Exchange.finishStream();
  return true;
}

/// Sends an answer as one document; returns false if it has to be cut.
bool answer_sender::sendWhole(const answer_writer &Writer,
                              std::uint32_t Length) {
  while (Sent < Length)
    if (!waitForTokens(Sent))
      return false;
  const std::string Text = Writer.whole();
  if (!Drawn.Truncate) {
    respondText(Exchange, 200, Text);
    return true;
  }
  Exchange.startStream({200, {{"Content-Type", "application/json"}}});
  Exchange.writeSome(std::string_view(Text).substr(0, Text.size() / 2));
  if (!Drawn.TruncateCleanly)
    return false;
  Exchange.finishStream();
  return true;
}

} // namespace spindle
