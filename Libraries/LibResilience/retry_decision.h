#ifndef PARSLEYSPINDLE_LIBRESILIENCE_RETRY_DECISION_H
#define PARSLEYSPINDLE_LIBRESILIENCE_RETRY_DECISION_H

#include "LibCore/result_code.h"
#include "LibResilience/call_progress.h"

namespace spindle {

enum class retry_action {
  /// Send the whole call again, to another upstream if there is one.
  Retry,
  /// Ask another upstream to continue after what the caller has received.
  Resume,
  GiveUp,
};

/// Further conditions for a retry.
struct retry_conditions {
  /// Whether both the customer's and the host's budget have a retry left.
  bool HasBudget = false;
  /// Whether the caller's deadline leaves time for another attempt.
  bool HasTime = false;
};

struct retry_decision {
  retry_action Action = retry_action::GiveUp;
  /// The error to return to the caller; used only with GiveUp.
  result_code Code = result_code::UpstreamLost;
  run_state State = run_state::MaybeRun;
};

/// Maximum number of attempts of one call, including the first.
inline constexpr std::uint32_t MaxAttempts = 3;
/// A call is not sent again after this many attempts lost their upstream, as
/// the call itself may crash upstreams.
inline constexpr std::uint32_t MaxLostAttempts = 2;

/// Decides what to do after a failed attempt. A call that is not idempotent is
/// never repeated once an attempt may have run. NotRun is reported only if no
/// attempt may have run. Thread-safe.
/// Precondition: noteFailedAttempt() has added \p LastFailure to \p Progress.
retry_decision decideRetry(const call_progress &Progress,
                           attempt_failure LastFailure,
                           const retry_conditions &Conditions);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_RETRY_DECISION_H
