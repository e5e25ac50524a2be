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
  /// Questions to other owners a second, however large the fleet is.
  double PollsPerSecond = 8;
  /// The most questions that are saved up while none was due.
  double MostSaved = 4;
  /// One owner is not asked more often than this.
  milliseconds LeastInterval{500};
  /// An owner of the own zone is asked as if it had waited so much longer.
  double OwnZoneFactor = 8;
};

/// Which other owners of engines a host asks for their reports, and when. The
/// cost stays the same as the fleet grows; what grows is the age of what is
/// known of other zones. Changed through choosePolls() only; not thread-safe.
struct poll_schedule {
  poll_schedule_settings Settings;
  double Saved = 0;
  time_point SavedAt;
  std::unordered_map<host_id, time_point> AskedAt;
};

/// An owner that may be asked.
struct poll_candidate {
  host_id Owner;
  bool IsOwnZone = false;
};

/// Returns the owners to ask now: those that waited longest, weighted by
/// distance, as many as the budget allows. Forgets owners that are no
/// candidates any more.
std::vector<host_id> choosePolls(poll_schedule &Schedule,
                                 std::span<const poll_candidate> Candidates,
                                 time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_POLL_SCHEDULE_H
