#include "LibHost/model_response.h"

#include "LibEngine/answer_verifier.h"
#include "LibEngine/event_stream_reader.h"

#include <nlohmann/json.hpp>

namespace spindle {

// A response that is not streamed is buffered in full until it is verified.
static constexpr std::size_t MaxResponseBytes = 16U << 20U;
static constexpr std::size_t ReadBufferBytes = 16U << 10U;
static constexpr int HttpOk = 200;

void forwardErrorResponse(request_context &Context, http_call &Call) {
  const std::string Body = Call.readAll(MaxResponseBytes);
  http_response_head Head = Call.head();
  Head.Fields = {{"Content-Type", "application/json"}};
  Context.Exchange.respond(Head, Body);
}

static tokens usedTokens(const model_run &Run,
                         const answer_verifier &Verifier) {
  const std::uint64_t Prompt = Verifier.promptTokens();
  const tokens PromptTokens = Prompt > 0
                                  ? tokens{static_cast<std::int64_t>(Prompt)}
                                  : Run.Request.PromptTokens;
  return PromptTokens +
         tokens{static_cast<std::int64_t>(Verifier.completionTokens())};
}

tokens forwardResponse(request_context &Context, const model_run &Run,
                       http_call &Call) {
  answer_verifier Verifier(Run.AdapterName, Run.RequestId);
  const std::string Body = Call.readAll(MaxResponseBytes);
  Verifier.acceptWhole(Body);
  throwIfCancelled(Context);
  Context.Exchange.respond({HttpOk, {{"Content-Type", "application/json"}}},
                           Body);
  return usedTokens(Run, Verifier);
}

static void startEvents(request_context &Context) {
  Context.Exchange.startStream(
      {HttpOk,
       {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}}});
}

tokens forwardEvents(request_context &Context, const model_run &Run,
                     upstream_attempt &Attempt, http_call &Call) {
  answer_verifier Verifier(Run.AdapterName, Run.RequestId);
  event_stream_reader Reader;
  std::string Accepted;
  char Buffer[ReadBufferBytes];
  time_point LastRead = Context.Services.Clock.now();
  while (const std::size_t Count = Call.readSome(Buffer)) {
    const time_point Now = Context.Services.Clock.now();
    if (Context.Exchange.started())
      Context.Services.Health.noteNextBytes(Run.Avoid.back(), Now - LastRead);
    else
      Attempt.noteFirstByte();
    LastRead = Now;
    Reader.feed(std::string_view(Buffer, Count));
    Accepted.clear();
    stream_event Event;
    while (Reader.next(Event)) {
      Verifier.accept(Event);
      if (!Verifier.lastWasUsageOnly() || Run.Request.IncludeUsage)
        Accepted += Event.Raw;
    }
    throwIfCancelled(Context);
    if (!Accepted.empty() && !Context.Exchange.started())
      startEvents(Context);
    Context.Exchange.writeSome(Accepted);
  }
  Verifier.finish();
  if (!Context.Exchange.started())
    startEvents(Context);
  Context.Exchange.finishStream();
  return usedTokens(Run, Verifier);
}

void endStreamWithError(request_context &Context, const spindle_error &Error) {
  if (!Context.Exchange.started())
    return;
  nlohmann::ordered_json Event;
  Event["error"]["code"] = static_cast<int>(Error.code());
  Event["error"]["name"] = describe(Error.code()).Name;
  Event["error"]["state"] = toText(Error.state());
  Event["error"]["message"] = Error.what();
  try {
    Context.Exchange.writeSome("data: " + Event.dump() + "\n\n");
  } catch (const spindle_error &) {
    // The caller has disconnected; the connection is closed in any case.
    return;
  }
}

} // namespace spindle
