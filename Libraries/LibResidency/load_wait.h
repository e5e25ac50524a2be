#ifndef PARSLEYSPINDLE_LIBRESIDENCY_LOAD_WAIT_H
#define PARSLEYSPINDLE_LIBRESIDENCY_LOAD_WAIT_H

#include "LibCore/runtime_clock.h"

namespace spindle {

/// How long requests waited for loads lately, from the wish to the loaded
/// adapter. Falls back to the bare load time while nobody waits.
struct load_wait {
  double BareMilliseconds = 250;
  double ExcessMilliseconds = 0;
  time_point Updated;
};

/// Notes that a request waited for \p Waited. Not thread-safe.
void noteLoadWait(load_wait &Wait, nanoseconds Waited, time_point Now);
/// Estimates the wait for a load that is asked for now. Not thread-safe.
double expectedLoadWait(const load_wait &Wait, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESIDENCY_LOAD_WAIT_H
