#include "LibCore/result_code.h"
#include "spindlectl/commands.h"

#include <ostream>

namespace spindle {

static constexpr std::string_view DefaultPlanFile = "plan.json";

[[noreturn]] static void rejectUsage() {
  throw spindle_error(
      result_code::BadRequest,
      "commands: plan FILE [-o PLAN], apply PLAN, status, "
      "get [intent|zones|customers|keys|adapters|upstreams|routes|policy], "
      "keys grant CUSTOMER NAME [--key-file FILE], keys withdraw NAME, "
      "keys list, drain HOST, audit, check FILE [--against FILE]");
}

static exit_code runKeys(operator_context &Context,
                         const std::vector<std::string> &Words,
                         const std::string &File) {
  const std::string Verb = Words.size() > 1 ? Words[1] : "";
  if (Verb == "grant" && Words.size() == 4)
    return grantKey(Context, Words[2], Words[3], File);
  if (Verb == "withdraw" && Words.size() == 3)
    return withdrawKey(Context, Words[2]);
  if (Verb == "list" && Words.size() == 2)
    return showIntent(Context, "keys");
  rejectUsage();
}

static exit_code dispatch(operator_context &Context,
                          const std::vector<std::string> &Words,
                          const std::string &File) {
  const std::string Command = Words.empty() ? "" : Words[0];
  if (Command == "plan" && Words.size() == 2)
    return planIntent(Context, Words[1],
                      File.empty() ? std::string(DefaultPlanFile) : File);
  if (Command == "apply" && Words.size() == 2)
    return applyPlan(Context, Words[1]);
  if (Command == "status" && Words.size() == 1)
    return showStatus(Context);
  if (Command == "get" && Words.size() <= 2)
    return showIntent(Context, Words.size() == 2 ? Words[1] : "");
  if (Command == "keys")
    return runKeys(Context, Words, File);
  if (Command == "drain" && Words.size() == 2)
    return drainHost(Context, Words[1]);
  if (Command == "check" && Words.size() == 2)
    return checkFile(Context, Words[1], File);
  if (Command == "audit" && Words.size() == 1)
    return showAudit(Context);
  rejectUsage();
}

static exit_code exitCodeOf(result_code Code) {
  switch (Code) {
  case result_code::BadRequest:
  case result_code::InvalidIntent:
  case result_code::InvalidSettings:
    return exit_code::BadInput;
  case result_code::PlanOutdated:
    return exit_code::PlanOutdated;
  case result_code::PlatformUnavailable:
  case result_code::PlatformRateLimited:
    return exit_code::PlatformUnreachable;
  default:
    return exit_code::Refused;
  }
}

exit_code runCommand(operator_context &Context,
                     const std::vector<std::string> &Words,
                     const std::string &File) {
  try {
    return dispatch(Context, Words, File);
  } catch (const spindle_error &Error) {
    Context.Errors << "spindlectl: " << Error.what() << "\n";
    return exitCodeOf(Error.code());
  }
}

} // namespace spindle
