#ifndef PARSLEYSPINDLE_SPINDLECTL_COMMANDS_H
#define PARSLEYSPINDLE_SPINDLECTL_COMMANDS_H

#include "spindlectl/exit_code.h"
#include "spindlectl/operator_context.h"

#include <string>
#include <vector>

namespace spindle {

/// Runs the command that \p Words name, such as {"keys", "withdraw", "k1"}.
/// \p File is the value of --output, --key-file or --against. Errors are
/// written to the context's error stream and become exit codes. One command at
/// a time uses a context.
exit_code runCommand(operator_context &Context,
                     const std::vector<std::string> &Words,
                     const std::string &File);

/// Shows what an intent file would change and writes the plan to \p Output.
exit_code planIntent(operator_context &Context, const std::string &IntentFile,
                     const std::string &Output);
/// Confirms a plan and waits until it is in force.
exit_code applyPlan(operator_context &Context, const std::string &PlanFile);
/// Shows hosts, shares and owners.
exit_code showStatus(operator_context &Context);
/// Shows the intent in force, or one of its lists.
exit_code showIntent(operator_context &Context, const std::string &What);
/// Grants a key, which is read from \p KeyFile, or made and printed once.
exit_code grantKey(operator_context &Context, const std::string &Customer,
                   const std::string &Name, const std::string &KeyFile);
/// Withdraws a key and waits until no host accepts it.
exit_code withdrawKey(operator_context &Context, const std::string &Name);
/// Requests that a host drains and waits until it does.
exit_code drainHost(operator_context &Context, const std::string &Host);
/// Checks a configuration of the forwarding interface as its hosts read it, and
/// compares it with the one in \p InForceFile, or the store's if that is empty
/// and the context can read it. Refused if there are findings, BadInput if it
/// can't be checked.
exit_code checkFile(operator_context &Context, const std::string &File,
                    const std::string &InForceFile);
/// Shows the newest changes.
exit_code showAudit(operator_context &Context);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLECTL_COMMANDS_H
