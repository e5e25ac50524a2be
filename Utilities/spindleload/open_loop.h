#ifndef PARSLEYSPINDLE_SPINDLELOAD_OPEN_LOOP_H
#define PARSLEYSPINDLE_SPINDLELOAD_OPEN_LOOP_H

#include "LibLoad/load_summary.h"
#include "LibRuntime/fiber_runtime.h"
#include "load_targets.h"

namespace spindle {

/// Runs a scenario: sends each request at its planned time, whatever the
/// outcome of the earlier ones, triggers the scenario's events, and waits a
/// bounded time for the last answers. Precondition: not called from a thread of
/// \p Runtime.
load_summary runOpenLoop(fiber_runtime &Runtime, const load_scenarios &Common,
                         const load_scenario &Scenario,
                         const load_targets &Targets);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_OPEN_LOOP_H
