#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLATFORM_AVAILABILITY_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLATFORM_AVAILABILITY_H

#include "LibCore/runtime_clock.h"

namespace spindle {

/// What a host knows about the platform's availability.
struct platform_availability {
  bool Available = true;
  /// When the platform first responded, or responded again after its last
  /// outage.
  time_point Since;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLATFORM_AVAILABILITY_H
