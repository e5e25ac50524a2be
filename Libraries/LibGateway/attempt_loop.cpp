#include "LibGateway/attempt_loop.h"

#include "LibCore/retry_after_error.h"
#include "LibLog/log.h"
#include "LibRouting/engine_placement.h"

#include <algorithm>

namespace spindle {

milliseconds partsHeldBackFor(const forwarded_request &Request) {
  return Request.Services.Coordinator.partSuspects().heldBackFor(
      Request.SharedParts);
}

namespace {

constexpr milliseconds RetryAfterShort{400};
/// Other hosts may serve a request earlier than this one knows.
constexpr milliseconds MaxRetryAfter{2'000};
/// Unreachable upstreams that are tried before the request fails; no byte of
/// the request has been sent to them.
constexpr std::uint32_t MaxUnreachable = 4;
/// No attempt is started with less time than this left, since it could not
/// succeed.
constexpr milliseconds MinAttemptTime{5};
/// Estimated size of a response, added to the body size to get the traffic
/// between zones.
constexpr std::size_t EstimatedResponseBytes = 2'000;
/// How often one request is sent to upstreams that refuse it.
constexpr std::uint32_t MaxSends = 4;
/// Zones whose engines are asked to hold an adapter.
constexpr std::uint32_t MaxZonesAsked = 3;
/// Timeout of one call to a zone's leader for an adapter. The leader replies
/// within this time even if the adapter is not loaded yet, so that a dead
/// leader is detected.
constexpr milliseconds HoldCallTimeout{400};

/// When a repeat of a request that found no upstream may succeed.
milliseconds retryTime(const forwarded_request &Request) {
  if (Request.UntilSlot)
    return *Request.UntilSlot;
  const std::optional<milliseconds> Wait =
      Request.Services.Fleet.timeUntilSend(Request.Service.Name);
  return std::clamp(Wait.value_or(RetryAfterShort), RetryAfterShort,
                    MaxRetryAfter);
}

/// Throws the error that the caller gets when no attempts remain.
[[noreturn]] void throwFinalError(const forwarded_request &Request,
                                  const std::string &Cause) {
  if (!Request.MayHaveRun && Request.IsEndedByDrain)
    throw retry_after_error(result_code::HostStops,
                            "this host stops before it could serve the "
                            "request: " +
                                Cause,
                            milliseconds(0));
  if (!Request.MayHaveRun)
    throw retry_after_error(result_code::NoUpstream, Cause, retryTime(Request));
  if (Request.timeLeft() <= MinAttemptTime)
    throw spindle_error(result_code::UpstreamTimeout, Cause);
  throw spindle_error(result_code::UpstreamLost, Cause);
}

std::optional<chosen_upstream> choose(const forwarded_request &Request,
                                      upstream_id Only) {
  std::vector<upstream_id> Avoid = Request.SentTo;
  Avoid.insert(Avoid.end(), Request.Avoid.begin(), Request.Avoid.end());
  upstream_query Query;
  Query.Service = Request.Service.Name;
  Query.Objective = Request.Route.Objective;
  Query.Remaining = Request.Route.Objective -
                    std::chrono::duration_cast<milliseconds>(
                        Request.Services.Clock.now() - Request.Start);
  Query.BodyBytes = Request.Body.size() + EstimatedResponseBytes;
  Query.Only = Only;
  if (!Only)
    Query.Avoid = Avoid;
  if (Request.isModelCall()) {
    Query.Model = &Request.Description;
    Query.AdapterVersion = Request.Services.Releases.newestVersion(
        {Request.Description.Model, Request.Description.Adapter});
  }
  return Request.Services.Fleet.choose(Query);
}

time_point addMilliseconds(time_point Start, double Milliseconds) {
  return Start + std::chrono::duration_cast<nanoseconds>(
                     std::chrono::duration<double, std::milli>(Milliseconds));
}

/// The latest time at which the first event of a stream is of use to the
/// caller.
time_point firstEventDeadline(const forwarded_request &Request) {
  const milliseconds MaxSilence = Request.Route.MaxSilence;
  if (MaxSilence.count() == 0 || Request.StreamStarted)
    return Request.Deadline;
  return std::min(Request.Deadline, Request.Start + MaxSilence);
}

/// The latest time at which the first event may come if this host stops, so
/// that the stream is expected to end before the host does. One that has begun
/// goes on as far as it can.
time_point firstEventBeforeDrain(const forwarded_request &Request) {
  if (Request.StreamStarted)
    return Request.Services.Drain.get();
  const double Writing =
      static_cast<double>(Request.ExpectedCost.OutputTokens) *
      placement_costs{}.MillisecondsPerOutputToken;
  return addMilliseconds(Request.Services.Drain.get(), -Writing);
}

/// Whether the host stops before the first event is of no more use.
bool isBoundByDrain(const forwarded_request &Request) {
  return firstEventBeforeDrain(Request) < firstEventDeadline(Request);
}

/// Until when an engine that holds the adapter is of use.
time_point usefulUntil(const forwarded_request &Request,
                       const chosen_upstream &Chosen, bool IsPlaced) {
  const time_point FirstEvent =
      std::min(firstEventDeadline(Request), firstEventBeforeDrain(Request));
  // A leader that places the request counts its service time itself.
  return IsPlaced ? FirstEvent
                  : addMilliseconds(FirstEvent, -Chosen.ServiceMilliseconds);
}

hold_query makeHoldQuery(const forwarded_request &Request,
                         const chosen_upstream &Chosen) {
  const adapter_name Name{Request.Description.Model,
                          Request.Description.Adapter};
  hold_query Query;
  Query.Engines = Chosen.Engines;
  Query.Wanted = {Name, Request.Services.Releases.newestVersion(Name)};
  Query.OnTimeUntil = addMilliseconds(Request.Start + Request.Route.Objective,
                                      -Chosen.ServiceMilliseconds);
  Query.Urgency = urgencyOf(Request);
  if (Request.Customer)
    Query.Customer = customer_id::ofName(Request.Customer->Name);
  return Query;
}

/// Describes the request's work, so that the leader of the chosen engine's zone
/// can choose among all of the zone's engines.
hold_work makeHoldWork(const forwarded_request &Request,
                       const chosen_upstream &Chosen) {
  const request_description &Description = Request.Description;
  hold_work Work;
  Work.Service = Request.Service.Name;
  Work.Description = &Description;
  Work.Query.PromptTokens = Description.PromptTokens;
  Work.Query.OutputTokens = Request.ExpectedCost.OutputTokens;
  Work.Query.HighOutputTokens = Request.ExpectedCost.HighOutputTokens;
  Work.Query.GapObjective = Request.Route.GapObjective;
  Work.Query.Objective = Request.Route.Objective;
  upstream_query Query;
  Query.Service = Request.Service.Name;
  Query.Model = &Description;
  std::vector<upstream_id> Avoid = Request.SentTo;
  Avoid.insert(Avoid.end(), Request.Avoid.begin(), Request.Avoid.end());
  Query.Avoid = Avoid;
  Work.Avoid = Request.Services.Fleet.unusable(Query, Chosen.Upstream->Zone);
  return Work;
}

/// Waits until one of the chosen engines holds the requested adapter.
/// \throws spindle_error if none does while the response is still of use to
/// the caller.
held_engine holdAdapter(const forwarded_request &Request,
                        const chosen_upstream &Chosen, bool IsPlaced) {
  const bool NamesAdapter =
      Request.isModelCall() && !Request.Description.Adapter.empty();
  if (!NamesAdapter && !IsPlaced)
    return {Chosen.Upstream, 0};
  Request.Stage.enter(request_stage::WaitingForEngine);
  const waiting_requests::registration Wait(
      Request.Services.Waits,
      {Request.Service.Name, Request.Customer ? Request.Customer->Name : ""});
  hold_query Query = makeHoldQuery(Request, Chosen);
  if (IsPlaced) {
    Query.Work = makeHoldWork(Request, Chosen);
    Query.OnTimeUntil = Request.Start + Request.Route.Objective;
  }
  while (true) {
    if (Request.callerHasLeft())
      throw spindle_error(result_code::CallerTooSlow,
                          "the caller closed the connection");
    const time_point Now = Request.Services.Clock.now();
    // The host may have begun to stop since the last pass.
    Query.UsefulUntil = usefulUntil(Request, Chosen, IsPlaced);
    if (Now >= Query.UsefulUntil)
      throw spindle_error(
          result_code::AdapterNotLoaded,
          "the adapter was not loaded in time to serve the request");
    const std::optional<held_engine> Held = Request.Services.Holds.hold(
        Query, std::min(Query.UsefulUntil, Now + HoldCallTimeout));
    if (Held)
      return *Held;
  }
}

void logAttempt(const forwarded_request &Request,
                const upstream_entry &Upstream, const attempt_report &Report) {
  const bool Served = Report.Outcome == attempt_outcome::Answered;
  if (Served)
    return;
  logEvent(log_event::AttemptFailed,
           {{"request", Request.Description.AttemptId},
            {"route", Request.Route.Name},
            {"upstream", Upstream.Name},
            {"send", std::to_string(Request.SendCount)},
            {"end", std::to_string(static_cast<int>(Report.Outcome))},
            {"status", std::to_string(Report.Status)},
            {"left_ms", std::to_string(Request.timeLeft().count())},
            {"cause", Report.Cause}});
}

/// Whether the request may be retried after an attempt with this outcome.
bool mayRetry(const forwarded_request &Request, const attempt_report &Report) {
  switch (Report.Outcome) {
  case attempt_outcome::Answered:
    return false;
  case attempt_outcome::NotReached:
  case attempt_outcome::NotRun:
  case attempt_outcome::AdapterMissing:
    return true;
  case attempt_outcome::Lost:
  case attempt_outcome::Failed:
    return Request.Route.retryable();
  case attempt_outcome::StreamInterrupted:
    return Request.Route.Resumable;
  }
  return false;
}

/// Which upstreams the next attempt may use.
struct next_target {
  /// The only one if set, otherwise any.
  upstream_id Only;
};

std::optional<next_target> nextTarget(const forwarded_request &Request,
                                      const attempt_report &Report) {
  if (Request.SendCount >= MaxSends)
    return std::nullopt;
  if (Report.Outcome == attempt_outcome::AdapterMissing)
    return next_target{Request.SentTo.back()};
  if (Request.SentTo.size() >= Request.Route.Attempts)
    return std::nullopt;
  return next_target{};
}

/// Selects upstreams and sends the request until the caller has a response.
class attempt_loop {
public:
  explicit attempt_loop(forwarded_request &Request) : Request(Request) {}

  void run() {
    while (!attemptOnce()) {
    }
  }

private:
  bool attemptOnce();
  bool isPlaced(const chosen_upstream &Chosen) const;
  void excludeTried(const chosen_upstream &Chosen);
  std::optional<held_engine> hold(const chosen_upstream &Chosen);
  void recordSent(const upstream_entry &Upstream);
  void finishWithoutRetry(const std::string &Cause);

  forwarded_request &Request;
  next_target Target;
  std::optional<http_response> FallbackResponse;
  std::uint32_t ZonesAsked = 0;
  std::uint32_t UnreachableCount = 0;
  bool IsFinished = false;
};

/// Sends the stored response of an earlier attempt, or throws if there is none.
void attempt_loop::finishWithoutRetry(const std::string &Cause) {
  if (Request.StreamStarted)
    throw spindle_error(result_code::AnswerCutShort, Cause);
  if (!FallbackResponse)
    throwFinalError(Request, Cause);
  Request.Exchange.respond(FallbackResponse->Head, FallbackResponse->Body);
}

void attempt_loop::recordSent(const upstream_entry &Upstream) {
  if (std::find(Request.SentTo.begin(), Request.SentTo.end(), Upstream.Id) ==
      Request.SentTo.end())
    Request.SentTo.push_back(Upstream.Id);
}

bool attempt_loop::isPlaced(const chosen_upstream &Chosen) const {
  return !Target.Only && Request.isModelCall() &&
         Request.Services.Placement.appliesTo(Chosen.EnginesInZone);
}

/// Excludes the engines on which the adapter could not be held from the next
/// choice: all of the zone if its leader has compared them.
void attempt_loop::excludeTried(const chosen_upstream &Chosen) {
  if (isPlaced(Chosen)) {
    const std::vector<upstream_id> Engines = Request.Services.Fleet.enginesIn(
        Chosen.Upstream->Zone, Request.Service.Name);
    Request.Avoid.insert(Request.Avoid.end(), Engines.begin(), Engines.end());
    return;
  }
  for (const upstream_pointer &Engine : Chosen.Engines)
    Request.Avoid.push_back(Engine->Id);
}

/// Holds the adapter on one of the chosen engines. If that fails, excludes
/// these engines from the next choice, or ends the request if no other zones
/// may be asked.
std::optional<held_engine> attempt_loop::hold(const chosen_upstream &Chosen) {
  try {
    return holdAdapter(Request, Chosen, isPlaced(Chosen));
  } catch (const spindle_error &Error) {
    logEvent(log_event::AdapterHoldFailed,
             {{"request", Request.Description.AttemptId},
              {"upstream", Chosen.Upstream->Name},
              {"engines", std::to_string(Chosen.Engines.size())},
              {"adapter", Request.Description.Adapter},
              {"expected_ms", std::to_string(Chosen.ExpectedMilliseconds)},
              {"left_ms", std::to_string(Request.timeLeft().count())},
              {"cause", Error.what()}});
    if (Request.callerHasLeft())
      throw;
    if (Error.code() == result_code::AdapterNotLoaded &&
        isBoundByDrain(Request))
      Request.IsEndedByDrain = true;
    if (const retry_after_error *const Refusal =
            dynamic_cast<const retry_after_error *>(&Error))
      Request.UntilSlot = Refusal->retryAfter();
    excludeTried(Chosen);
    IsFinished = Target.Only || ++ZonesAsked >= MaxZonesAsked;
    if (IsFinished)
      finishWithoutRetry(Error.what());
    return std::nullopt;
  }
}

bool attempt_loop::attemptOnce() {
  Request.Stage.enter(request_stage::Choosing);
  if (Request.timeLeft() <= MinAttemptTime) {
    const bool HasTime = Request.callerTimeLeft() > MinAttemptTime;
    Request.IsEndedByDrain = Request.IsEndedByDrain || HasTime;
    finishWithoutRetry(HasTime ? "the host's time for requests has passed"
                               : "the deadline of the request has passed");
    return true;
  }
  const std::optional<chosen_upstream> Chosen = choose(Request, Target.Only);
  if (!Chosen) {
    finishWithoutRetry("no upstream is available for the request");
    return true;
  }
  const std::optional<held_engine> Held = hold(*Chosen);
  if (!Held)
    return IsFinished;
  const upstream_entry &Upstream = *Held->Engine;
  Request.UsualReading = Held->UsualReading;
  // Upstreams may have crashed on it while it waited, or on its last attempt.
  if (partsHeldBackFor(Request) > milliseconds(0)) {
    finishWithoutRetry("a part of the prompt is suspected of crashing "
                       "upstreams");
    return true;
  }
  if (!Request.Services.Fleet.admit(Upstream.Id)) {
    Request.Avoid.push_back(Upstream.Id);
    Target = next_target{};
    return false;
  }
  const bool IsLastAttempt =
      Request.SentTo.size() + 1 >= Request.Route.Attempts;
  const attempt_report Report = attemptUpstream(
      Request, Upstream,
      Held->Version > 0 ? std::optional(Held->Version) : std::nullopt,
      IsLastAttempt);
  logAttempt(Request, Upstream, Report);
  if (Report.Outcome == attempt_outcome::Answered)
    return true;
  if (Report.Response)
    FallbackResponse = Report.Response;
  if (Report.Outcome == attempt_outcome::NotReached) {
    Request.Services.Fleet.noteUnreachable(Upstream.Id);
    Request.Avoid.push_back(Upstream.Id);
    const bool IsLast = ++UnreachableCount >= MaxUnreachable;
    if (IsLast)
      finishWithoutRetry(Report.Cause);
    return IsLast;
  }
  recordSent(Upstream);
  if (Report.Outcome == attempt_outcome::AdapterMissing)
    Request.Services.Holds.invalidate(
        Upstream, {Request.Description.Model, Request.Description.Adapter});
  const std::optional<next_target> Next = nextTarget(Request, Report);
  if (!mayRetry(Request, Report) || !Next ||
      !Request.Services.RetryBudgets.spend(Request.Service.Name)) {
    finishWithoutRetry(Report.Cause.empty()
                           ? "the upstream refused the request with status " +
                                 std::to_string(Report.Status)
                           : Report.Cause);
    return true;
  }
  Target = *Next;
  return false;
}

} // namespace

void runAttempts(forwarded_request &Request) { attempt_loop(Request).run(); }

} // namespace spindle
