#include "LibScheduling/retry_time.h"

#include <algorithm>
#include <cmath>

namespace spindle {

using fractional_milliseconds = std::chrono::duration<double, std::milli>;

// Callers that were refused together are spread over at least this time.
static constexpr milliseconds MinSpread{200};
// With a longer spread, callers that are refused once more would have too
// little time left.
static constexpr milliseconds MaxSpread{5'000};
// The time that the response to the caller and its next request may take.
static constexpr milliseconds TravelReserve{20};
// With fewer requests served lately the rate is unknown.
static constexpr double MinServed = 3;

static milliseconds spreadOf(const retry_facts &Facts) {
  if (Facts.ServedPerSecond <= 0)
    return std::max(MinSpread, Facts.UntilRoom / 2);
  const double Milliseconds = 1'000 * Facts.Returning / Facts.ServedPerSecond;
  if (Milliseconds >= static_cast<double>(MaxSpread.count()))
    return MaxSpread;
  return std::max(MinSpread,
                  milliseconds(static_cast<std::int64_t>(Milliseconds)));
}

milliseconds retryAfter(const retry_facts &Facts, double Draw) {
  milliseconds First = std::max(Facts.UntilRoom, milliseconds(0));
  milliseconds Last = First + spreadOf(Facts);
  const bool HasTime = First < Facts.TimeLeft;
  const milliseconds Longest = std::max(
      Facts.TimeLeft / AcceptedWaitDivisor - TravelReserve, milliseconds(1));
  if (HasTime && Last > Longest) {
    Last = Longest;
    // Only the last half of the time, as earlier returns find no room.
    First = std::min(First, Longest / 2);
  }
  const fractional_milliseconds Spread = Last - First;
  return First + milliseconds(static_cast<std::int64_t>(Spread.count() * Draw));
}

/// Decays the counts to \p Now.
static retry_pace paceAt(const retry_pace &Pace, time_point Now) {
  const fractional_milliseconds Passed = Now - Pace.At;
  const fractional_milliseconds Reach = RetryPaceTime;
  const double Left = std::exp(-std::max(0.0, Passed.count()) / Reach.count());
  return {Pace.Served * Left, Pace.Refused * Left, std::max(Pace.At, Now)};
}

void noteServed(retry_pace &Pace, time_point Now) {
  Pace = paceAt(Pace, Now);
  Pace.Served += 1;
}

void noteRefused(retry_pace &Pace, time_point Now) {
  Pace = paceAt(Pace, Now);
  Pace.Refused += 1;
}

double servedPerSecond(const retry_pace &Pace, time_point Now) {
  const double Served = paceAt(Pace, Now).Served;
  if (Served < MinServed)
    return 0;
  const std::chrono::duration<double> Reach = RetryPaceTime;
  return Served / Reach.count();
}

double returningCount(const retry_pace &Pace, time_point Now) {
  return paceAt(Pace, Now).Refused;
}

} // namespace spindle
