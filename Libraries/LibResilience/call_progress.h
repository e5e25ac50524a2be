#ifndef PARSLEYSPINDLE_LIBRESILIENCE_CALL_PROGRESS_H
#define PARSLEYSPINDLE_LIBRESILIENCE_CALL_PROGRESS_H

#include <cstdint>

namespace spindle {

/// How an attempt to call an upstream failed.
enum class attempt_failure {
  /// No connection could be made; no byte was sent.
  NotConnected,
  /// The upstream said that it did not run the request.
  Refused,
  /// The upstream answered with an error of its own and may have run it.
  Errored,
  /// The connection was lost after a byte may have left.
  ConnectionLost,
  /// No answer, or no further byte, came before a deadline.
  TimedOut,
};

/// What all attempts of one call have come to. Starts empty.
struct call_progress {
  /// Whether the route allows the system to repeat the call.
  bool Idempotent = false;
  /// Whether the upstream can go on with a broken answer elsewhere.
  bool Resumable = false;
  std::uint32_t Attempts = 0;
  /// Whether a byte of any attempt may have reached an upstream that ran it.
  bool MayHaveRun = false;
  /// Whether any byte of an answer has been passed to the caller.
  bool AnswerBegun = false;
  /// Attempts that ended with the loss of their upstream's connection, as a
  /// crash of the upstream does.
  std::uint32_t LostAttempts = 0;
};

/// Adds a failed attempt to \p Progress. \p AnswerBegun tells whether a byte
/// of an answer was passed on to the caller by now. Not thread-safe.
void noteFailedAttempt(call_progress &Progress, attempt_failure Failure,
                       bool AnswerBegun);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_CALL_PROGRESS_H
