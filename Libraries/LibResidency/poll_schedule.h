#ifndef PARSLEYSPINDLE_LIBRESIDENCY_POLL_SCHEDULE_H
#define PARSLEYSPINDLE_LIBRESIDENCY_POLL_SCHEDULE_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace spindle {

struct poll_schedule_settings {
  /// Polls of other owners per second, independent of the size of the fleet.
  double PollsPerSecond = 8;
  /// How many unused polls can accumulate.
  double MaxAccumulatedPolls = 4;
  /// The minimum time between two polls of the same owner.
  milliseconds MinInterval{500};
  /// The time since the last poll of an owner in the own zone is weighted by
  /// this factor.
  double OwnZoneFactor = 8;
};

/// Schedules the polls of other engine owners for their reports. The number of
/// polls stays constant as the fleet grows, while the reports of other zones
/// become older. Modified by choosePolls() only; not thread-safe.
struct poll_schedule {
  poll_schedule_settings Settings;
  double AvailablePolls = 0;
  time_point RefilledAt;
  std::unordered_map<host_id, time_point> LastPolledAt;
};

/// An owner that may be polled.
struct poll_candidate {
  host_id Owner;
  bool IsOwnZone = false;
};

/// Returns the owners to poll now: those whose last poll is longest ago,
/// weighted by zone, as many as the budget allows. Drops the state of owners
/// that are no longer candidates.
std::vector<host_id> choosePolls(poll_schedule &Schedule,
                                 std::span<const poll_candidate> Candidates,
                                 time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_POLL_SCHEDULE_H
