#ifndef PARSLEYSPINDLE_SPINDLECTL_CHANGE_FLOW_H
#define PARSLEYSPINDLE_SPINDLECTL_CHANGE_FLOW_H

#include "LibConfiguration/configuration_plan.h"
#include "spindlectl/exit_code.h"
#include "spindlectl/operator_context.h"

#include <optional>

namespace spindle {

/// Writes what a plan changes.
void showChanges(operator_context &Context,
                 const std::vector<intent_change> &Changes);
/// Shows a plan and applies it once the operator confirms; nullopt if not.
/// \throws spindle_error as confirmPlan().
std::optional<configuration_head>
confirmAndApply(operator_context &Context, const configuration_plan &Plan);
/// Waits until \p Version is in force on every host, at most the context's
/// limit, and names the hosts that are missing. \p IsolationLimit: after how
/// long a host that is cut off stops acting by an older version, if ever.
exit_code waitUntilInForce(operator_context &Context, std::uint64_t Version,
                           const std::vector<zone_declaration> &Zones,
                           std::optional<seconds> IsolationLimit);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLECTL_CHANGE_FLOW_H
