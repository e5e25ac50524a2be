#ifndef PARSLEYSPINDLE_SPINDLECTL_EXIT_CODE_H
#define PARSLEYSPINDLE_SPINDLECTL_EXIT_CODE_H

namespace spindle {

/// The exit codes of spindlectl.
enum class exit_code : int {
  Done = 0,
  /// The platform or the operator refused, or a check has findings.
  Refused = 1,
  /// The command line or a file is wrong.
  BadInput = 2,
  /// The configuration has changed since the plan was made.
  PlanOutdated = 3,
  /// The platform did not answer; the message gives the outcome so far.
  PlatformUnreachable = 4,
  /// Accepted, but not yet in force on every host.
  NotInForceYet = 5
};

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLECTL_EXIT_CODE_H
