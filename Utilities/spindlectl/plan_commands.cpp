#include "LibConfiguration/intent_text.h"
#include "LibCore/result_code.h"
#include "spindlectl/change_flow.h"
#include "spindlectl/commands.h"

#include <ostream>

namespace spindle {

/// Random bytes in a plan's nonce.
static constexpr std::size_t NonceBytes = 16;

exit_code planIntent(operator_context &Context, const std::string &IntentFile,
                     const std::string &Output) {
  const std::optional<stored_configuration> Stored =
      readConfiguration(Context.Platform);
  const std::vector<key_grant> Keys =
      Stored ? Stored->Intent.Keys : std::vector<key_grant>{};
  const configuration_plan Plan = makePlan(
      Stored, parseIntent(Context.ReadFile(IntentFile), IntentFile, Keys),
      Context.RandomHex(NonceBytes));
  showChanges(Context, Plan.Changes);
  if (Plan.Changes.empty()) {
    Context.Errors << "nothing changes\n";
    return exit_code::Done;
  }
  Context.WriteFile(Output, writePlan(Plan));
  Context.Errors << "plan against version " << Plan.BaseVersion
                 << " written to " << Output << "; confirm it with: "
                 << "spindlectl apply " << Output << "\n";
  return exit_code::Done;
}

/// Shows what an outdated plan would change now.
static void showAnew(operator_context &Context,
                     const configuration_plan &Plan) {
  const std::optional<stored_configuration> Stored =
      readConfiguration(Context.Platform);
  Context.Errors << "made anew now, the plan would change:\n";
  for (const intent_change &Change :
       compareIntents(Stored ? Stored->Intent : intent{}, Plan.Intent))
    Context.Errors << "  " << describeChange(Change) << "\n";
}

exit_code applyPlan(operator_context &Context, const std::string &PlanFile) {
  configuration_plan Plan = readPlan(Context.ReadFile(PlanFile), PlanFile);
  const std::optional<stored_configuration> Stored =
      readConfiguration(Context.Platform);
  Plan.Changes =
      compareIntents(Stored ? Stored->Intent : intent{}, Plan.Intent);
  try {
    const std::optional<configuration_head> Head =
        confirmAndApply(Context, Plan);
    if (!Head)
      return exit_code::Refused;
    return waitUntilInForce(Context, Head->Version, Plan.Intent.Zones,
                            std::nullopt);
  } catch (const spindle_error &Error) {
    if (Error.code() == result_code::PlanOutdated) {
      Context.Errors << "spindlectl: " << Error.what() << "\n";
      showAnew(Context, Plan);
      return exit_code::PlanOutdated;
    }
    throw;
  }
}

} // namespace spindle
