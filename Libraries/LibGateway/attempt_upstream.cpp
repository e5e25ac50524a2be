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

constexpr int FirstSuccessStatus = 200;
constexpr int FirstRedirectStatus = 300;
constexpr int FirstServerErrorStatus = 500;
constexpr int HttpMisdirectedRequest = 421;
constexpr milliseconds ConnectTimeout{350};
constexpr std::size_t MaxResponseBytes = 8U << 20U;
constexpr std::size_t ReadBufferBytes = 16'384;
/// A request that can still be retried waits for the first byte for this
/// multiple of the route's latency objective, or for this fraction of the time
/// left, whichever is longer.
constexpr int FirstByteObjectiveFactor = 2;
constexpr int FirstByteTimeDivisor = 3;
constexpr milliseconds SilenceThreshold{1'500};

bool isSuccess(int Status) {
  return Status >= FirstSuccessStatus && Status < FirstRedirectStatus;
}

/// Registers a request as in flight at an upstream for as long as the object
/// exists.
class in_flight_guard {
public:
  in_flight_guard(forwarded_request &Request, const upstream_entry &Upstream)
      : Request(Request), Upstream(Upstream),
        SentAt(Request.Services.Clock.now()),
        UnprocessedTokens(Request.Description.PromptTokens) {
    Request.Services.Fleet.noteRequestSent(Upstream.Id, Request.Description);
    Request.Services.Coordinator.suspects().noteRunStarted(Upstream.Id,
                                                           Request.Fingerprint);
  }
  ~in_flight_guard() {
    markPromptProcessed();
    Request.Services.Fleet.noteRequestEnd(Upstream.Id, Request.Description);
    Request.Services.Coordinator.suspects().noteRunEnded(
        Upstream.Id, Request.Fingerprint, End);
    shared_part_suspects &Parts = Request.Services.Coordinator.partSuspects();
    if (End == run_end::Lost)
      Parts.noteLost(Upstream, Request.SharedParts);
    if (End == run_end::Completed)
      Parts.noteCompleted(Request.SharedParts);
  }
  in_flight_guard(const in_flight_guard &) = delete;
  in_flight_guard &operator=(const in_flight_guard &) = delete;

  void markPromptProcessed() {
    if (UnprocessedTokens > 0)
      Request.Services.Fleet.notePrefillDone(Upstream.Id, UnprocessedTokens);
    UnprocessedTokens = 0;
  }
  void setRunEnd(run_end NewEnd) { End = NewEnd; }
  time_point sentAt() const { return SentAt; }

private:
  forwarded_request &Request;
  const upstream_entry &Upstream;
  const time_point SentAt;
  std::int64_t UnprocessedTokens;
  run_end End = run_end::Failed;
};

upstream_request_metadata
makeRequestMetadata(const forwarded_request &Request,
                    const upstream_entry &Upstream,
                    std::optional<std::uint64_t> AdapterVersion) {
  upstream_request_metadata RequestMetadata;
  RequestMetadata.Upstream = Upstream.Name;
  if (Request.Customer)
    RequestMetadata.Customer = Request.Customer->Name;
  RequestMetadata.TimeLeft = Request.callerTimeLeft();
  if (Request.isModelCall())
    RequestMetadata.Urgency = urgencyOf(Request);
  RequestMetadata.AdapterVersion = AdapterVersion;
  RequestMetadata.LastEventId = Request.LastEventId;
  return RequestMetadata;
}

http_call_limits callLimits(const forwarded_request &Request,
                            bool IsLastAttempt) {
  const milliseconds Left = std::max(milliseconds(1), Request.callerTimeLeft());
  http_call_limits Limits;
  Limits.Connect = std::min(ConnectTimeout, Left);
  Limits.FirstByte = Left;
  if (!IsLastAttempt && Request.Route.retryable())
    Limits.FirstByte = std::min(
        Left, std::max(Request.Route.Objective * FirstByteObjectiveFactor,
                       Left / FirstByteTimeDivisor));
  Limits.BetweenBytes = Left;
  Limits.Until = Request.Deadline;
  Limits.Cancellation = Request.Cancellation;
  Limits.AvoidedConnections = Request.UsedConnections;
  Limits.IsOwnAnswer = [&Request](const http_response_head &Head) {
    const upstream_response_metadata ResponseMetadata =
        Request.Services.Codec.ReadResponse(Head);
    return ResponseMetadata.AttemptId.empty() ||
           ResponseMetadata.AttemptId == Request.Description.AttemptId;
  };
  return Limits;
}

/// Forwards the complete events of a resumable stream and records the id of the
/// last one, so that the stream can be resumed after any event. Other streams
/// are forwarded as they arrive; \p Reader only follows them.
void forwardBytes(forwarded_request &Request, std::string_view Bytes,
                  event_stream_reader &Reader) {
  const bool Resumable = Request.Route.Resumable;
  if (!Resumable)
    Request.Exchange.writeSome(Bytes);
  Reader.feed(Bytes);
  stream_event Event;
  while (Reader.next(Event)) {
    if (!Event.Data.empty() && !Event.Done)
      ++Request.EventCount;
    if (!Resumable)
      continue;
    Request.Exchange.writeSome(Event.Raw);
    if (!Event.Id.empty())
      Request.LastEventId = Event.Id;
  }
}

/// Records the output of a stream that the caller has received whole.
void noteOutput(forwarded_request &Request) {
  // A stream that the caller resumes is only the rest of one.
  if (!Request.isModelCall() || !Request.Description.LastEventId.empty())
    return;
  const std::int64_t OutputTokens = Request.outputTokens();
  Request.Services.Costs.noteOutput(costFeatures(Request), OutputTokens);
  const metric_labels Labels{{"service", Request.Service.Name}};
  const auto Count = [&](std::string_view Name, std::int64_t Tokens) {
    Request.Services.Metrics.count(Name, Labels, static_cast<double>(Tokens));
  };
  Count("spindle_output_tokens_total", OutputTokens);
  Count("spindle_expected_output_tokens_total",
        Request.ExpectedCost.OutputTokens);
}

/// Records when events arrive, and with the first how long the upstream has
/// read the prompt.
void noteProgress(forwarded_request &Request, const upstream_entry &Upstream,
                  time_point SentAt) {
  // Shorter times depend on the network more than on the upstream.
  static constexpr milliseconds MinReading{100};
  const time_point Now = Request.Services.Clock.now();
  const bool IsFirst = !Request.Timing.FirstEventAt;
  noteEvents(Request.Timing, Now);
  if (!IsFirst || Request.UsualReading < MinReading)
    return;
  const std::chrono::duration<double, std::milli> Taken = Now - SentAt;
  Request.Services.Fleet.noteReadTime(
      Upstream.Id, static_cast<double>(Request.UsualReading.count()),
      Taken.count());
}

void forwardStream(forwarded_request &Request, const upstream_entry &Upstream,
                   http_call &Call, in_flight_guard &InFlight) {
  std::array<char, ReadBufferBytes> Buffer{};
  event_stream_reader Reader;
  if (!Request.StreamStarted)
    Request.Exchange.startStream(Call.head());
  Request.StreamStarted = true;
  Request.Stage.enter(request_stage::Streaming);
  while (const std::size_t Count = Call.readSome(Buffer)) {
    InFlight.markPromptProcessed();
    Request.Services.Fleet.noteActivity(Upstream.Id);
    noteProgress(Request, Upstream, InFlight.sentAt());
    forwardBytes(Request, std::string_view(Buffer.data(), Count), Reader);
  }
  if (Reader.hasRemainder())
    throw spindle_error(result_code::AnswerCutShort,
                        "the stream ended inside an event");
  Request.Exchange.finishStream();
  noteOutput(Request);
}

attempt_report makeReport(attempt_outcome Outcome, int Status) {
  attempt_report Report;
  Report.Outcome = Outcome;
  Report.Status = Status;
  return Report;
}

/// Applies what the upstream states of itself, whatever it responds.
void noteStatement(forwarded_request &Request, const upstream_entry &Upstream,
                   const upstream_statement &Statement, time_point SentAt) {
  const std::string &AttemptId = Request.Description.AttemptId;
  if (Statement.IsMalformed)
    logEvent(log_event::UpstreamStatementMalformed,
             {{"request", AttemptId}, {"upstream", Upstream.Name}});
  if (Statement.RefusesFor)
    logEvent(log_event::UpstreamRefuses,
             {{"upstream", Upstream.Name},
              {"for_ms", std::to_string(Statement.RefusesFor->count())},
              {"request", AttemptId}});
  const statement_changes Changes =
      Request.Services.Fleet.noteStatement(Upstream.Id, Statement, SentAt);
  if (Changes.Leaving)
    logEvent(log_event::UpstreamLeavingStated,
             {{"upstream", Upstream.Name}, {"request", AttemptId}});
  if (!Changes.Limit)
    return;
  const std::optional<double> &Limit = Statement.RequestsPerSecond;
  logEvent(log_event::UpstreamLimitStated,
           {{"upstream", Upstream.Name},
            {"per_second", Limit ? std::to_string(*Limit) : "none"},
            {"request", AttemptId}});
}

/// Records the load that an engine states, whatever it responds.
void noteReading(forwarded_request &Request, const upstream_entry &Upstream,
                 const upstream_response_metadata &Metadata) {
  gateway_services &Services = Request.Services;
  if (Metadata.HasMalformedReading) {
    Services.Metrics.count("spindle_malformed_loads_total");
    logEvent(log_event::UpstreamLoadMalformed,
             {{"request", Request.Description.AttemptId},
              {"upstream", Upstream.Name}});
  }
  if (!Metadata.Reading)
    return;
  Services.Metrics.count("spindle_engine_loads_total");
  Services.Fleet.noteReading(Upstream.Id, *Metadata.Reading,
                             Services.Clock.now());
}

/// Handles the head of a response; reads and forwards the body if the response
/// is meant for the caller.
attempt_report forwardResponse(forwarded_request &Request,
                               const upstream_entry &Upstream, http_call &Call,
                               in_flight_guard &InFlight, bool IsLastAttempt) {
  Request.Services.Fleet.noteActivity(Upstream.Id);
  const http_response_head Head = Call.head();
  const upstream_response_metadata ResponseMetadata =
      Request.Services.Codec.ReadResponse(Head);
  noteStatement(Request, Upstream, ResponseMetadata.Statement,
                InFlight.sentAt());
  noteReading(Request, Upstream, ResponseMetadata);
  if (ResponseMetadata.NotRun || Head.Status == HttpMisdirectedRequest) {
    Call.readAll(MaxResponseBytes);
    return makeReport(Head.Status == HttpMisdirectedRequest
                          ? attempt_outcome::AdapterMissing
                          : attempt_outcome::NotRun,
                      Head.Status);
  }
  Request.MayHaveRun = true;
  if (!ResponseMetadata.Signed)
    throw spindle_error(result_code::UpstreamLost,
                        "the response carries no signature of the upstream");
  if (isSuccess(Head.Status) && Request.Route.Kind == call_kind::Stream) {
    forwardStream(Request, Upstream, Call, InFlight);
    return makeReport(attempt_outcome::Answered, Head.Status);
  }
  if (Request.StreamStarted)
    throw spindle_error(result_code::UpstreamFailed,
                        "the upstream refused to resume the stream: status " +
                            std::to_string(Head.Status));
  std::string Body = Call.readAll(MaxResponseBytes);
  if (Head.Status >= FirstServerErrorStatus && !IsLastAttempt &&
      Request.Route.retryable()) {
    attempt_report Report = makeReport(attempt_outcome::Failed, Head.Status);
    Report.Response = http_response{Head, std::move(Body)};
    return Report;
  }
  Request.Exchange.respond(Head, Body);
  if (isSuccess(Head.Status) && !Request.isModelCall())
    Request.Services.Costs.notePlain(costFeatures(Request), InFlight.sentAt());
  return makeReport(attempt_outcome::Answered, Head.Status);
}

/// Counts a failure of the upstream and drops its idle connections if the
/// caller left after a long wait for the first byte: the upstream, or the
/// connection to it, is probably dead.
void noteFailureIfSilent(forwarded_request &Request,
                         const upstream_entry &Upstream, time_point SentAt) {
  if (Request.StreamStarted ||
      Request.Services.Clock.now() - SentAt < SilenceThreshold)
    return;
  Request.Services.Client.discardIdle(Upstream.Address);
  Request.Services.Fleet.noteOutcome(Upstream.Id, call_outcome::Failure);
}

/// Maps an error of the HTTP client to the outcome of the attempt.
attempt_outcome outcomeOf(const forwarded_request &Request,
                          const spindle_error &Error) {
  if (Error.code() == result_code::UpstreamUnreachable)
    return attempt_outcome::NotReached;
  return Request.StreamStarted ? attempt_outcome::StreamInterrupted
                               : attempt_outcome::Lost;
}

} // namespace

attempt_report attemptUpstream(forwarded_request &Request,
                               const upstream_entry &Upstream,
                               std::optional<std::uint64_t> AdapterVersion,
                               bool IsLastAttempt) {
  gateway_services &Services = Request.Services;
  const http_request_head Head = Services.Codec.WriteUpstreamRequest(
      Request.Exchange.request(),
      makeRequestMetadata(Request, Upstream, AdapterVersion));
  in_flight_guard InFlight(Request, Upstream);
  const bool MayHaveRunBefore = Request.MayHaveRun;
  Request.Stage.enter(request_stage::WaitingForResponse);
  ++Request.SendCount;
  Request.Timing.SentAt = InFlight.sentAt();
  try {
    Request.MayHaveRun = true;
    const std::unique_ptr<http_call> Call = Services.Client.start(
        Upstream.Address, Head, Request.Body,
        callLimits(Request, IsLastAttempt), connection_use::PooledOnce);
    Request.MayHaveRun = MayHaveRunBefore;
    Request.UsedConnections.push_back(Call->connectionNumber());
    attempt_report Report =
        forwardResponse(Request, Upstream, *Call, InFlight, IsLastAttempt);
    const bool IsFailure = Report.Status >= FirstServerErrorStatus;
    if (Report.Outcome == attempt_outcome::Answered && !IsFailure)
      InFlight.setRunEnd(run_end::Completed);
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
    if (Request.callerHasLeft() || Error.code() == result_code::CallerTooSlow) {
      noteFailureIfSilent(Request, Upstream, InFlight.sentAt());
      throw;
    }
    attempt_report Report;
    Report.Outcome = outcomeOf(Request, Error);
    Report.Cause = Error.what();
    if (Report.Outcome == attempt_outcome::NotReached)
      Request.MayHaveRun = MayHaveRunBefore;
    if (Error.code() == result_code::UpstreamLost ||
        Error.code() == result_code::AnswerCutShort)
      InFlight.setRunEnd(run_end::Lost);
    if (Error.code() == result_code::UpstreamTimeout)
      Services.Client.discardIdle(Upstream.Address);
    if (Error.code() != result_code::HostStops)
      Services.Fleet.noteOutcome(Upstream.Id, call_outcome::Failure);
    return Report;
  }
}

} // namespace spindle
