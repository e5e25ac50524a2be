#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLATFORM_AVAILABILITY_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLATFORM_AVAILABILITY_H

#include "LibCore/runtime_clock.h"

namespace spindle {

/// What a host knows about the platform's availability.
struct platform_availability {
  bool Available = true;
  /// When the platform responded again after its last outage; the epoch if no
  /// outage is known.
  time_point Since;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLATFORM_AVAILABILITY_H
