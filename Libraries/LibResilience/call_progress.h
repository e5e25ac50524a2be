#ifndef PARSLEYSPINDLE_LIBRESILIENCE_CALL_PROGRESS_H
#define PARSLEYSPINDLE_LIBRESILIENCE_CALL_PROGRESS_H

#include <cstdint>

namespace spindle {

/// How an attempt to call an upstream failed.
enum class attempt_failure {
  /// No connection could be made; no byte was sent.
  NotConnected,
  /// The upstream reported that it did not run the request.
  Refused,
  /// The upstream responded with an error and may have run the request.
  Errored,
  /// The connection was lost when some of the request may have been sent.
  ConnectionLost,
  /// A deadline passed without a response or without its next bytes.
  TimedOut,
};

/// The combined outcome of all attempts of one call so far.
struct call_progress {
  /// Whether the route allows the call to be retried.
  bool Idempotent = false;
  /// Whether another upstream can continue an interrupted response.
  bool Resumable = false;
  std::uint32_t Attempts = 0;
  /// Whether any attempt may have been run by an upstream.
  bool MayHaveRun = false;
  /// Whether any byte of a response has been passed to the caller.
  bool ResponseStarted = false;
  /// Attempts that ended because the connection to the upstream was lost, as
  /// it is when the upstream crashes.
  std::uint32_t LostAttempts = 0;
};

/// Adds a failed attempt to \p Progress. \p ResponseStarted states whether a
/// byte of a response has been passed to the caller so far. Not thread-safe.
void noteFailedAttempt(call_progress &Progress, attempt_failure Failure,
                       bool ResponseStarted);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_CALL_PROGRESS_H
