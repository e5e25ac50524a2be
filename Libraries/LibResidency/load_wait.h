#ifndef PARSLEYSPINDLE_LIBRESIDENCY_LOAD_WAIT_H
#define PARSLEYSPINDLE_LIBRESIDENCY_LOAD_WAIT_H

#include "LibCore/runtime_clock.h"

namespace spindle {

/// A moving average of how long requests recently waited for a load, from the
/// request to the loaded adapter. Decays to the base load time while no request
/// waits.
struct load_wait {
  double BaseLoadMilliseconds = 250;
  double ExcessMilliseconds = 0;
  time_point Updated;
};

/// Records that a request waited for \p Waited. Not thread-safe.
void noteLoadWait(load_wait &Wait, nanoseconds Waited, time_point Now);
/// Estimates the wait for a load that is requested now. Not thread-safe.
double expectedLoadWait(const load_wait &Wait, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_LOAD_WAIT_H
