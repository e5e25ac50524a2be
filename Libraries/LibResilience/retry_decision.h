#ifndef PARSLEYSPINDLE_LIBRESILIENCE_RETRY_DECISION_H
#define PARSLEYSPINDLE_LIBRESILIENCE_RETRY_DECISION_H

#include "LibCore/result_code.h"
#include "LibResilience/call_progress.h"

namespace spindle {

enum class retry_action {
  /// Send the whole call again, to another upstream if there is one.
  Retry,
  /// Ask another upstream to go on after what the caller has.
  Resume,
  GiveUp,
};

/// What else bears on a retry.
struct retry_circumstances {
  /// Whether the customer's and the host's budgets have a retry left.
  bool BudgetLeft = false;
  /// Whether the caller's deadline leaves time for another attempt.
  bool TimeLeft = false;
};

struct retry_decision {
  retry_action Action = retry_action::GiveUp;
  /// What to tell the caller; meaningful for GiveUp only.
  result_code Code = result_code::UpstreamLost;
  run_state State = run_state::MaybeRun;
};

/// The most attempts of one call, the first included.
inline constexpr std::uint32_t MostAttempts = 3;
/// A call that lost this many upstreams is not sent again: it may be what
/// crashes them.
inline constexpr std::uint32_t MostLostAttempts = 2;

/// Decides what follows a failed attempt. A call that is not idempotent is
/// never repeated once a byte of it may have left; NotRun is told only if no
/// attempt may have run. Thread-safe.
/// Precondition: noteFailedAttempt() has added \p LastFailure to \p Progress.
retry_decision decideRetry(const call_progress &Progress,
                           attempt_failure LastFailure,
                           const retry_circumstances &Circumstances);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_RETRY_DECISION_H
