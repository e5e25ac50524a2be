#include "LibHost/upstream_attempt.h"

namespace spindle {

upstream_attempt::upstream_attempt(request_services &Services,
                                   upstream_id Upstream, endpoint Address,
                                   request_fingerprint Fingerprint)
    : Services(Services), Upstream(Upstream), Address(std::move(Address)),
      Fingerprint(Fingerprint), StartedAt(Services.Clock.now()) {
  WasLostAtStart = Services.Health.isLost(Upstream);
  Services.Suspects.noteStart(Upstream, Fingerprint);
  Services.Upstreams.noteDispatch(Upstream);
}

upstream_attempt::~upstream_attempt() {
  if (!Ended)
    end(run_end::Failed);
}

void upstream_attempt::end(run_end End) {
  Ended = true;
  Pause = Services.Suspects.noteEnd(Upstream, Fingerprint, End);
  Services.Upstreams.noteFinish(Upstream, Services.Clock.now() - StartedAt);
}

void upstream_attempt::noteFirstByte() {
  Services.Health.noteFirstByte(Upstream, Services.Clock.now() - StartedAt);
}

void upstream_attempt::succeed() {
  end(run_end::Completed);
  Services.Health.noteOutcome(Upstream, call_outcome::Success);
}

void upstream_attempt::handleTimeout() {
  Services.Health.noteMissedDeadline(Upstream);
  Services.Client.discardIdle(Address);
}

void upstream_attempt::fail(attempt_failure Failure) {
  if (Failure == attempt_failure::TimedOut)
    handleTimeout();
  if (Failure != attempt_failure::ConnectionLost) {
    end(run_end::Failed);
    if (Failure != attempt_failure::Refused)
      Services.Health.noteOutcome(Upstream, call_outcome::Failure);
    return;
  }
  const bool WasSuspect = Services.Suspects.isSuspect(Fingerprint);
  end(WasLostAtStart ? run_end::Failed : run_end::Lost);
  Services.Health.noteLost(Upstream);
  Services.Health.noteOutcome(Upstream, WasSuspect ? call_outcome::LostToSuspect
                                                   : call_outcome::Failure);
  Services.Suspects.shareOnce();
}

std::optional<attempt_failure> failureOf(const spindle_error &Error) {
  switch (Error.code()) {
  case result_code::UpstreamUnreachable:
    return attempt_failure::NotConnected;
  case result_code::UpstreamFailed:
    return attempt_failure::Errored;
  case result_code::UpstreamLost:
  case result_code::AnswerCutShort:
    return attempt_failure::ConnectionLost;
  // A response to another request means, as a time-out does, that the
  // connection can't be trusted any more.
  case result_code::WrongAdapterAnswered:
  case result_code::UpstreamTimeout:
    return attempt_failure::TimedOut;
  default:
    return std::nullopt;
  }
}

http_call_limits limitsFor(const request_context &Context,
                           upstream_id Upstream) {
  const call_deadlines Route{Context.Route.FirstByteTimeout,
                             Context.Route.BetweenBytesTimeout};
  const call_deadlines Adapted =
      Context.Services.Health.deadlinesFor(Upstream, Route);
  http_call_limits Limits;
  Limits.Connect = Context.Services.ConnectTimeout;
  Limits.FirstByte = Adapted.FirstByte;
  Limits.BetweenBytes = Adapted.BetweenBytes;
  Limits.Cancellation = Context.Cancellation;
  return Limits;
}

connection_use connectionFor(const request_context &Context,
                             upstream_id Upstream, bool Idempotent) {
  const connection_choice Choice =
      Context.Services.Health.chooseConnection(Upstream, Idempotent);
  return Choice == connection_choice::Pooled ? connection_use::PooledOnce
                                             : connection_use::FreshOnce;
}

} // namespace spindle
