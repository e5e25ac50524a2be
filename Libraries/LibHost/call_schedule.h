#ifndef PARSLEYSPINDLE_LIBHOST_CALL_SCHEDULE_H
#define PARSLEYSPINDLE_LIBHOST_CALL_SCHEDULE_H

#include "LibCore/runtime_clock.h"

#include <random>

namespace spindle {

/// When a kind of call is due, with a random spread so that hosts that started
/// together, or met the same failure, don't call at the same time.
///
/// Not thread-safe.
class call_schedule {
public:
  bool isDue(time_point Now) const { return Now >= Due; }
  /// Makes the first call due at a random time within \p Limit.
  void startWithin(nanoseconds Limit, time_point Now, std::mt19937_64 &Random);
  /// Makes the next call due after about \p Interval.
  void noteSuccess(time_point Now, nanoseconds Interval,
                   std::mt19937_64 &Random);
  /// Makes the next call due after a back-off that doubles with each failure in
  /// a row, up to a maximum.
  void noteFailure(time_point Now, std::mt19937_64 &Random);
  /// Makes the next call due immediately, unless the last one failed.
  void hasten(time_point Now);

private:
  time_point Due{};
  int Failures = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_CALL_SCHEDULE_H
