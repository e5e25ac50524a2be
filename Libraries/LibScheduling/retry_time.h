#ifndef PARSLEYSPINDLE_LIBSCHEDULING_RETRY_TIME_H
#define PARSLEYSPINDLE_LIBSCHEDULING_RETRY_TIME_H

#include "LibCore/runtime_clock.h"

#include <optional>

namespace spindle {

/// Callers return after the stated time if it is at most the time that they
/// have left divided by this; after a longer one they don't return.
inline constexpr int AcceptedWaitDivisor = 3;

/// What the time of return of a refused caller is computed from.
struct retry_facts {
  /// Until there is room for a request like this one.
  milliseconds UntilRoom{0};
  /// Callers that were refused and are expected to return, this one included.
  double Returning = 1;
  /// The rate at which requests are served; 0 if it is unknown.
  double ServedPerSecond = 0;
  /// How long the caller still waits for its answer.
  milliseconds TimeLeft{0};
};

/// How long a refused caller should wait before it returns: until there is
/// room, and then over the time that serving all who return takes. Answers the
/// load pattern in which many callers are refused at the same moment: with the
/// same stated time they return together, and most are refused again.
///
/// For a caller that can be served before its time is over, it is at most what
/// AcceptedWaitDivisor allows. For one that can't, it is not shortened, and the
/// caller doesn't return.
/// \p Draw is a random number in [0, 1). Thread-safe. Never throws.
milliseconds retryAfter(const retry_facts &Facts, double Draw);

/// The pace at which requests of a kind are served and callers are refused,
/// with decay over RetryPaceTime. Changed only through the functions below,
/// none of which is thread-safe.
struct retry_pace {
  double Served = 0;
  double Refused = 0;
  time_point At;
};

/// The time over which the counts of a pace decay.
inline constexpr milliseconds RetryPaceTime{1'000};

void noteServed(retry_pace &Pace, time_point Now);
void noteRefused(retry_pace &Pace, time_point Now);
/// The requests served per second; 0 if there were too few to state a rate.
double servedPerSecond(const retry_pace &Pace, time_point Now);
/// The callers that were refused lately.
double returningCount(const retry_pace &Pace, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_RETRY_TIME_H
