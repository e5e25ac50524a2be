#include "LibGateway/forwarded_request.h"

#include "LibCore/result_code.h"
#include "LibEngine/event_stream_reader.h"
#include "LibLog/log.h"

#include <algorithm>
#include <array>

namespace spindle {

int urgencyOf(const forwarded_request &Request) {
  static constexpr int LeastUrgent = 9;
  const std::optional<int> Own =
      Request.Customer ? Request.Customer->Priority : std::nullopt;
  return std::clamp(Own.value_or(Request.Route.Priority), 0, LeastUrgent);
}

namespace {

constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
constexpr int FirstServerError = 500;
constexpr int HttpMisdirected = 421;
constexpr milliseconds ConnectLimit{350};
constexpr std::size_t AnswerLimitBytes = 8U << 20U;
constexpr std::size_t PartBytes = 16'384;
/// A request that may be sent elsewhere waits so many objectives for the first
/// byte, and at least a part of the time that it has.
constexpr int PatienceInObjectives = 2;
constexpr int PatiencePartOfTime = 3;
constexpr milliseconds SuspectSilence{1'500};

bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

/// Books what is under way at an upstream, until its end.
class load_booking {
public:
  load_booking(forwarded_request &Request, const upstream_entry &Upstream)
      : Request(Request), Upstream(Upstream),
        Unread(Request.Description.PromptTokens) {
    Request.Services.Fleet.noteRequestSent(Upstream.Id, Request.Description);
    Request.Services.Hub.suspects().noteRunStarted(Upstream.Id,
                                                   Request.Fingerprint);
  }
  ~load_booking() {
    notePrefillDone();
    Request.Services.Fleet.noteRequestEnd(Upstream.Id, Request.Description);
    Request.Services.Hub.suspects().noteRunEnded(Upstream.Id,
                                                 Request.Fingerprint, End);
  }
  load_booking(const load_booking &) = delete;
  load_booking &operator=(const load_booking &) = delete;

  void notePrefillDone() {
    if (Unread > 0)
      Request.Services.Fleet.notePrefillDone(Upstream.Id, Unread);
    Unread = 0;
  }
  void setEnd(run_end NewEnd) { End = NewEnd; }

private:
  forwarded_request &Request;
  const upstream_entry &Upstream;
  std::int64_t Unread;
  run_end End = run_end::Failed;
};

upstream_call describeCall(const forwarded_request &Request,
                           const upstream_entry &Upstream,
                           std::optional<std::uint64_t> AdapterVersion) {
  upstream_call Call;
  Call.Upstream = Upstream.Name;
  if (Request.Customer)
    Call.Customer = Request.Customer->Name;
  Call.TimeLeft = Request.timeLeft();
  if (Request.isModelCall())
    Call.Urgency = urgencyOf(Request);
  Call.AdapterVersion = AdapterVersion;
  Call.LastEventId = Request.LastEventId;
  return Call;
}

http_call_limits limitsOf(const forwarded_request &Request, bool LastTry) {
  const milliseconds Left = std::max(milliseconds(1), Request.timeLeft());
  http_call_limits Limits;
  Limits.Connect = std::min(ConnectLimit, Left);
  Limits.FirstByte = Left;
  if (!LastTry && Request.Route.repeatable())
    Limits.FirstByte =
        std::min(Left, std::max(Request.Route.Objective * PatienceInObjectives,
                                Left / PatiencePartOfTime));
  Limits.BetweenBytes = Left;
  Limits.Until = Request.Deadline;
  Limits.Cancellation = Request.Cancellation;
  Limits.IsOwnAnswer = [&Request](const http_response_head &Head) {
    const upstream_answer Answer = Request.Services.Wire.ReadAnswer(Head);
    return Answer.AttemptId.empty() ||
           Answer.AttemptId == Request.Description.AttemptId;
  };
  return Limits;
}

/// Passes whole events on, and remembers the last one, so that the stream can
/// be resumed after any of them.
void passWholeEvents(forwarded_request &Request, event_stream_reader &Reader) {
  stream_event Event;
  while (Reader.next(Event)) {
    Request.Exchange.writeSome(Event.Raw);
    if (!Event.Id.empty())
      Request.LastEventId = Event.Id;
  }
}

void passStream(forwarded_request &Request, const upstream_entry &Upstream,
                http_call &Call, load_booking &Booking) {
  std::array<char, PartBytes> Part{};
  event_stream_reader Reader;
  const bool Resumable = Request.Route.Resumable;
  if (!Request.StreamStarted)
    Request.Exchange.startStream(Call.head());
  Request.StreamStarted = true;
  while (const std::size_t Count = Call.readSome(Part)) {
    Booking.notePrefillDone();
    Request.Services.Fleet.noteActivity(Upstream.Id);
    const std::string_view Bytes(Part.data(), Count);
    if (!Resumable) {
      Request.Exchange.writeSome(Bytes);
      continue;
    }
    Reader.feed(Bytes);
    passWholeEvents(Request, Reader);
  }
  Request.Exchange.writeSome(Reader.remainder());
  Request.Exchange.finishStream();
}

attempt_report reportOfAnswer(attempt_end End, int Status) {
  attempt_report Report;
  Report.End = End;
  Report.Status = Status;
  return Report;
}

/// Deals with an answer's head; reads and passes on the body if it is for the
/// caller.
attempt_report passAnswer(forwarded_request &Request,
                          const upstream_entry &Upstream, http_call &Call,
                          load_booking &Booking, bool LastTry) {
  Request.Services.Fleet.noteActivity(Upstream.Id);
  const http_response_head Head = Call.head();
  const upstream_answer Answer = Request.Services.Wire.ReadAnswer(Head);
  if (Answer.NotRun || Head.Status == HttpMisdirected) {
    Call.readAll(AnswerLimitBytes);
    return reportOfAnswer(Head.Status == HttpMisdirected
                              ? attempt_end::AdapterMissing
                              : attempt_end::NotRun,
                          Head.Status);
  }
  Request.MayHaveRun = true;
  if (!Answer.Signed)
    throw spindle_error(result_code::UpstreamLost,
                        "the answer is not signed by the upstream");
  if (isSuccess(Head.Status) && Request.Route.Kind == call_kind::Stream) {
    passStream(Request, Upstream, Call, Booking);
    return reportOfAnswer(attempt_end::Answered, Head.Status);
  }
  if (Request.StreamStarted)
    throw spindle_error(result_code::UpstreamFailed,
                        "the stream was not resumed: status " +
                            std::to_string(Head.Status));
  std::string Body = Call.readAll(AnswerLimitBytes);
  if (Head.Status >= FirstServerError && !LastTry &&
      Request.Route.repeatable()) {
    attempt_report Report = reportOfAnswer(attempt_end::Failed, Head.Status);
    Report.Answer = http_response{Head, std::move(Body)};
    return Report;
  }
  Request.Exchange.respond(Head, Body);
  return reportOfAnswer(attempt_end::Answered, Head.Status);
}

/// A caller that leaves after a long wait for the first byte has probably met
/// an upstream, or a connection, that says nothing any more.
void noteIfSilent(forwarded_request &Request, const upstream_entry &Upstream,
                  time_point SentAt) {
  if (Request.StreamStarted ||
      Request.Services.Clock.now() - SentAt < SuspectSilence)
    return;
  Request.Services.Client.discardIdle(Upstream.Address);
  Request.Services.Fleet.noteOutcome(Upstream.Id, call_outcome::Failure);
}

/// What an error of the client tells of the attempt.
attempt_end endOf(const forwarded_request &Request,
                  const spindle_error &Error) {
  if (Error.code() == result_code::UpstreamUnreachable)
    return attempt_end::NotReached;
  return Request.StreamStarted ? attempt_end::Broken : attempt_end::Lost;
}

} // namespace

attempt_report attemptUpstream(forwarded_request &Request,
                               const upstream_entry &Upstream,
                               std::optional<std::uint64_t> AdapterVersion,
                               bool LastTry) {
  gateway_services &Services = Request.Services;
  const http_request_head Head = Services.Wire.WriteUpstreamRequest(
      Request.Exchange.request(),
      describeCall(Request, Upstream, AdapterVersion));
  load_booking Booking(Request, Upstream);
  const bool MayHaveRunBefore = Request.MayHaveRun;
  const time_point SentAt = Services.Clock.now();
  ++Request.Sends;
  try {
    Request.MayHaveRun = true;
    const std::unique_ptr<http_call> Call = Services.Client.start(
        Upstream.Address, Head, Request.Body, limitsOf(Request, LastTry),
        connection_use::PooledOnce);
    Request.MayHaveRun = MayHaveRunBefore;
    attempt_report Report =
        passAnswer(Request, Upstream, *Call, Booking, LastTry);
    const bool IsFailure = Report.Status >= FirstServerError;
    if (Report.End == attempt_end::Answered && !IsFailure)
      Booking.setEnd(run_end::Completed);
    if (Report.End == attempt_end::Answered && Request.isModelCall())
      Services.Fleet.notePrompt(Upstream.Id, Request.Description);
    if (Report.End == attempt_end::Answered ||
        Report.End == attempt_end::Failed)
      Services.Fleet.noteOutcome(Upstream.Id, IsFailure
                                                  ? call_outcome::Failure
                                                  : call_outcome::Success);
    return Report;
  } catch (const spindle_error &Error) {
    // The caller's own troubles say nothing of the upstream.
    if (Request.Cancellation->reason() ||
        Error.code() == result_code::CallerTooSlow) {
      noteIfSilent(Request, Upstream, SentAt);
      throw;
    }
    attempt_report Report;
    Report.End = endOf(Request, Error);
    Report.Cause = Error.what();
    if (Report.End == attempt_end::NotReached)
      Request.MayHaveRun = MayHaveRunBefore;
    if (Error.code() == result_code::UpstreamLost ||
        Error.code() == result_code::AnswerCutShort)
      Booking.setEnd(run_end::Lost);
    if (Error.code() == result_code::UpstreamTimeout)
      Services.Client.discardIdle(Upstream.Address);
    Services.Fleet.noteOutcome(Upstream.Id, call_outcome::Failure);
    return Report;
  }
}

} // namespace spindle
