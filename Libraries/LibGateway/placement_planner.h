#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_PLANNER_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_PLANNER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/placement_plan.h"
#include "LibGateway/work_request.h"
#include "LibGateway/zone_view.h"
#include "LibGateway/zone_work.h"

#include <optional>

namespace spindle {

/// Plans on which engines of the view the request may run, given what is
/// placed there. Returns none if none of them has room now. Thread-safe.
/// \throws spindle_error AdapterNotLoaded if no engine is expected to have room
/// while the first event is of use.
std::optional<placement_plan>
planPlacement(zone_work &Zone, const fleet_table &Fleet, const zone_view &View,
              const work_request &Request, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_PLANNER_H
