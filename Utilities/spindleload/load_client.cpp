#include "load_client.h"

#include "LibCore/result_code.h"
#include "answer_check.h"
#include "call_limits.h"

#include <array>

namespace spindle {

/// Longer than any deadline of the system, so that its own refusals arrive.
static const http_call_limits CallLimits = makeCallLimits(
    milliseconds(2'000), milliseconds(60'000), milliseconds(30'000));
static constexpr std::size_t MostAnswerBytes = 16U << 20U;

/// Reads the rest of the body, noting when its first part came.
static std::string readBody(http_call &Call, const load_client &Client,
                            load_record &Record) {
  std::string Body;
  std::array<char, 16'384> Buffer{};
  while (const std::size_t Count = Call.readSome(Buffer)) {
    if (Body.empty())
      Record.FirstByteAt = Client.Clock.now() - Client.Start;
    Body.append(Buffer.data(), Count);
    if (Body.size() > MostAnswerBytes)
      break;
  }
  return Body;
}

static void readAnswer(http_call &Call, const load_client &Client,
                       const request_text &Text, load_record &Record) {
  const std::string Body = readBody(Call, Client, Record);
  if (Call.head().Status != 200) {
    readRefusal(Record, Body);
    return;
  }
  const bool IsStream = !Text.Adapter.empty();
  Record.Outcome =
      IsStream ? checkStream(Text, Body) : checkService(Text, Body);
  // An error event ends a stream that the system can't complete.
  if (IsStream && Record.Outcome == load_outcome::Broken) {
    const std::size_t Place = Body.rfind("data: {\"error\"");
    if (Place != std::string::npos)
      readRefusal(Record, std::string_view(Body).substr(
                              Place + 6, Body.find('\n', Place) - Place - 6));
  }
}

load_record load_client::send(const planned_request &Request) {
  const request_text Text = writeRequest(Common, Request, RunName);
  load_record Record;
  Record.Request = Request;
  Record.ReservedTokens = Text.PromptTokens + Text.MostAnswerTokens;
  Record.UsedTokens = Text.PromptTokens;
  const connection_use Use = Request.Kind == load_kind::Order
                                 ? connection_use::FreshOnce
                                 : connection_use::PooledIdempotent;
  std::size_t Host = Request.Host;
  for (std::size_t Tried = 0; Tried < Balancer.hostCount(); ++Tried) {
    Host = Balancer.readyHost(Host);
    Record.SentAt = Clock.now() - Start;
    try {
      const std::unique_ptr<http_call> Call = Http.start(
          Balancer.address(Host), Text.Head, Text.Body, CallLimits, Use);
      readAnswer(*Call, *this, Text, Record);
      break;
    } catch (const spindle_error &Error) {
      Record.CodeName = describe(Error.code()).Name;
      // The balancer tries another host if no connection can be made.
      if (Error.code() != result_code::UpstreamUnreachable)
        break;
      Balancer.noteUnreachable(Host);
    }
  }
  Record.EndedAt = Clock.now() - Start;
  if (Record.Outcome == load_outcome::Whole)
    Record.UsedTokens += Request.AnswerTokens;
  return Record;
}

} // namespace spindle
