#ifndef PARSLEYSPINDLE_LIBGATEWAY_DRAIN_DEADLINE_H
#define PARSLEYSPINDLE_LIBGATEWAY_DRAIN_DEADLINE_H

#include "LibCore/runtime_clock.h"

#include <atomic>

namespace spindle {

/// The time by which a host that stops must have begun its response to every
/// request that it has read. Thread-safe.
class drain_deadline {
public:
  /// time_point::max() as long as the host doesn't stop.
  time_point get() const { return Deadline.load(); }
  void set(time_point Time) { Deadline.store(Time); }

private:
  std::atomic<time_point> Deadline{time_point::max()};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_DRAIN_DEADLINE_H
