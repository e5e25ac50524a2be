#include "LibResilience/retry_decision.h"

namespace spindle {

static run_state runStateOf(const call_progress &Progress) {
  if (Progress.ResponseStarted)
    return run_state::RunAnswerLost;
  return Progress.MayHaveRun ? run_state::MaybeRun : run_state::NotRun;
}

static result_code codeOf(const call_progress &Progress,
                          attempt_failure LastFailure) {
  if (Progress.ResponseStarted)
    return result_code::AnswerCutShort;
  switch (LastFailure) {
  case attempt_failure::NotConnected:
    return result_code::UpstreamUnreachable;
  case attempt_failure::Refused:
    return result_code::NoUpstream;
  case attempt_failure::Errored:
    return result_code::UpstreamFailed;
  case attempt_failure::ConnectionLost:
    return result_code::UpstreamLost;
  case attempt_failure::TimedOut:
    return result_code::UpstreamTimeout;
  }
  return result_code::UpstreamLost;
}

/// Whether the call may be sent again, regardless of budgets and deadlines.
static bool isRetryable(const call_progress &Progress) {
  if (Progress.Attempts >= MaxAttempts)
    return false;
  if (Progress.LostAttempts >= MaxLostAttempts)
    return false;
  if (!Progress.MayHaveRun)
    return true;
  if (!Progress.Idempotent)
    return false;
  return !Progress.ResponseStarted || Progress.Resumable;
}

retry_decision decideRetry(const call_progress &Progress,
                           attempt_failure LastFailure,
                           const retry_conditions &Conditions) {
  retry_decision Decision;
  Decision.State = runStateOf(Progress);
  Decision.Code = codeOf(Progress, LastFailure);
  if (!isRetryable(Progress) || !Conditions.HasTime)
    return Decision;
  if (!Conditions.HasBudget) {
    Decision.Code = result_code::RetryBudgetExhausted;
    return Decision;
  }
  Decision.Action =
      Progress.ResponseStarted ? retry_action::Resume : retry_action::Retry;
  return Decision;
}

} // namespace spindle
