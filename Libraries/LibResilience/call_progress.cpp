#include "LibResilience/call_progress.h"

namespace spindle {

void noteFailedAttempt(call_progress &Progress, attempt_failure Failure,
                       bool ResponseStarted) {
  ++Progress.Attempts;
  if (ResponseStarted)
    Progress.ResponseStarted = true;
  if (Failure == attempt_failure::ConnectionLost)
    ++Progress.LostAttempts;
  if (Failure == attempt_failure::ConnectionLost ||
      Failure == attempt_failure::TimedOut ||
      Failure == attempt_failure::Errored)
    Progress.MayHaveRun = true;
}

} // namespace spindle
