#ifndef PARSLEYSPINDLE_SPINDLELOAD_STAND_IN_CONTROL_H
#define PARSLEYSPINDLE_SPINDLELOAD_STAND_IN_CONTROL_H

#include "LibHTTP/http_client.h"
#include "LibLoad/load_summary.h"
#include "load_targets.h"

#include <span>

namespace spindle {

/// Triggers an event: sets a stand-in's switches, or sends SIGTERM to a
/// process. Blocks the calling fiber; failures are reported on standard error.
void applyEvent(http_client &Http, const load_targets &Targets,
                const load_event &Event);
/// Sums the work of all engines since their start, as far as they answer.
/// Blocks the calling fiber.
engine_work readEngineWork(http_client &Http, const load_targets &Targets);
/// The work from \p Before to \p After. Thread-safe.
engine_work workBetween(const engine_work &Before, const engine_work &After);
/// Compares the services' own records of a run's orders with the answers.
/// Blocks the calling fiber.
order_audit auditOrders(http_client &Http, const load_targets &Targets,
                        const std::string &RunName,
                        std::span<const load_record> Records);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_STAND_IN_CONTROL_H
