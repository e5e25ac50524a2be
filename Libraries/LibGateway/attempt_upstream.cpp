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
/// A request that can still be retried waits for the first byte for this
/// multiple of the route's latency objective, or for this fraction of the time
/// left, whichever is longer.
constexpr int PatienceInObjectives = 2;
constexpr int PatiencePartOfTime = 3;
constexpr milliseconds SuspectSilence{1'500};

bool isSuccess(int Status) {
  return Status >= FirstSuccess && Status < FirstRedirect;
}

/// Registers a request as in flight at an upstream for as long as the object
/// exists.
class load_booking {
public:
  load_booking(forwarded_request &Request, const upstream_entry &Upstream)
      : Request(Request), Upstream(Upstream),
        Unread(Request.Description.PromptTokens) {
    Request.Services.Fleet.noteSent(Upstream.Id, Request.Description);
    Request.Services.Hub.suspects().noteRunStarted(Upstream.Id,
                                                   Request.Fingerprint);
  }
  ~load_booking() {
    noteRead();
    Request.Services.Fleet.noteDone(Upstream.Id, Request.Description);
    Request.Services.Hub.suspects().noteRunEnded(Upstream.Id,
                                                 Request.Fingerprint, End);
  }
  load_booking(const load_booking &) = delete;
  load_booking &operator=(const load_booking &) = delete;

  void noteRead() {
    if (Unread > 0)
      Request.Services.Fleet.noteRead(Upstream.Id, Unread);
    Unread = 0;
  }
  void setEnd(run_end NewEnd) { End = NewEnd; }

private:
  forwarded_request &Request;
  const upstream_entry &Upstream;
  std::int64_t Unread;
  run_end End = run_end::Failed;
};

upstream_request_metadata
describeCall(const forwarded_request &Request, const upstream_entry &Upstream,
             std::optional<std::uint64_t> AdapterVersion) {
  upstream_request_metadata Call;
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
  if (!LastTry && Request.Route.retryable())
    Limits.FirstByte =
        std::min(Left, std::max(Request.Route.Objective * PatienceInObjectives,
                                Left / PatiencePartOfTime));
  Limits.BetweenBytes = Left;
  Limits.Until = Request.Deadline;
  Limits.Cancellation = Request.Cancellation;
  Limits.IsOwnAnswer = [&Request](const http_response_head &Head) {
    const upstream_response_metadata Answer =
        Request.Services.Codec.ReadResponse(Head);
    return Answer.AttemptId.empty() ||
           Answer.AttemptId == Request.Description.AttemptId;
  };
  return Limits;
}

/// Forwards only complete events and records the id of the last one, so that
/// the stream can be resumed after any event.
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
    Booking.noteRead();
    Request.Services.Fleet.noteHeard(Upstream.Id);
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

attempt_report reportOfAnswer(attempt_outcome End, int Status) {
  attempt_report Report;
  Report.Outcome = End;
  Report.Status = Status;
  return Report;
}

/// Handles the head of a response; reads and forwards the body if the response
/// is meant for the caller.
attempt_report passAnswer(forwarded_request &Request,
                          const upstream_entry &Upstream, http_call &Call,
                          load_booking &Booking, bool LastTry) {
  Request.Services.Fleet.noteHeard(Upstream.Id);
  const http_response_head Head = Call.head();
  const upstream_response_metadata Answer =
      Request.Services.Codec.ReadResponse(Head);
  if (Answer.NotRun || Head.Status == HttpMisdirected) {
    Call.readAll(AnswerLimitBytes);
    return reportOfAnswer(Head.Status == HttpMisdirected
                              ? attempt_outcome::AdapterMissing
                              : attempt_outcome::NotRun,
                          Head.Status);
  }
  Request.MayHaveRun = true;
  if (!Answer.Signed)
    throw spindle_error(result_code::UpstreamLost,
                        "the response carries no signature of the upstream");
  if (isSuccess(Head.Status) && Request.Route.Kind == call_kind::Stream) {
    passStream(Request, Upstream, Call, Booking);
    return reportOfAnswer(attempt_outcome::Answered, Head.Status);
  }
  if (Request.StreamStarted)
    throw spindle_error(result_code::UpstreamFailed,
                        "the upstream refused to resume the stream: status " +
                            std::to_string(Head.Status));
  std::string Body = Call.readAll(AnswerLimitBytes);
  if (Head.Status >= FirstServerError && !LastTry &&
      Request.Route.retryable()) {
    attempt_report Report =
        reportOfAnswer(attempt_outcome::Failed, Head.Status);
    Report.Answer = http_response{Head, std::move(Body)};
    return Report;
  }
  Request.Exchange.respond(Head, Body);
  return reportOfAnswer(attempt_outcome::Answered, Head.Status);
}

/// Counts a failure of the upstream and drops its idle connections if the
/// caller left after a long wait for the first byte: the upstream, or the
/// connection to it, is probably dead.
void noteIfSilent(forwarded_request &Request, const upstream_entry &Upstream,
                  time_point SentAt) {
  if (Request.StreamStarted ||
      Request.Services.Clock.now() - SentAt < SuspectSilence)
    return;
  Request.Services.Client.discardIdle(Upstream.Address);
  Request.Services.Fleet.noteOutcome(Upstream.Id, call_outcome::Failure);
}

/// Maps an error of the HTTP client to the outcome of the attempt.
attempt_outcome endOf(const forwarded_request &Request,
                      const spindle_error &Error) {
  if (Error.code() == result_code::UpstreamUnreachable)
    return attempt_outcome::NotReached;
  return Request.StreamStarted ? attempt_outcome::Broken
                               : attempt_outcome::Lost;
}

} // namespace

attempt_report attemptUpstream(forwarded_request &Request,
                               const upstream_entry &Upstream,
                               std::optional<std::uint64_t> AdapterVersion,
                               bool LastTry) {
  gateway_services &Services = Request.Services;
  const http_request_head Head = Services.Codec.WriteUpstreamRequest(
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
    if (Report.Outcome == attempt_outcome::Answered && !IsFailure)
      Booking.setEnd(run_end::Completed);
    if (Report.Outcome == attempt_outcome::Answered && Request.isModelCall())
      Services.Fleet.notePrompt(Upstream.Id, Request.Description);
    if (Report.Outcome == attempt_outcome::Answered ||
        Report.Outcome == attempt_outcome::Failed)
      Services.Fleet.noteOutcome(Upstream.Id, IsFailure
                                                  ? call_outcome::Failure
                                                  : call_outcome::Success);
    return Report;
  } catch (const spindle_error &Error) {
    // A failure on the caller's side is no failure of the upstream.
    if (Request.Cancellation->reason() ||
        Error.code() == result_code::CallerTooSlow) {
      noteIfSilent(Request, Upstream, SentAt);
      throw;
    }
    attempt_report Report;
    Report.Outcome = endOf(Request, Error);
    Report.Cause = Error.what();
    if (Report.Outcome == attempt_outcome::NotReached)
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
