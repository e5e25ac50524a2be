#ifndef PARSLEYSPINDLE_LIBGATEWAY_STREAM_TIMING_H
#define PARSLEYSPINDLE_LIBGATEWAY_STREAM_TIMING_H

#include "LibCore/runtime_clock.h"

#include <optional>

namespace spindle {

/// When a request was sent to an upstream and its stream proceeded, over all
/// attempts. Used by one fiber.
struct stream_timing {
  /// When the request was last sent; none if it was not sent.
  std::optional<time_point> SentAt;
  std::optional<time_point> FirstEventAt;
  time_point LastEventAt;
  /// The longest pause between two events.
  nanoseconds LongestGap{0};
};

/// Records that events were received.
void noteEvents(stream_timing &Timing, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_STREAM_TIMING_H
