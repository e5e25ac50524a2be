#include "LibCore/result_code.h"
#include "platform/configuration_text.h"
#include "platform/record_codec.h"
#include "spindlectl/commands.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

/// What a check shows, a line an element.
struct check_report {
  std::vector<std::string> Findings;
  std::vector<std::string> Differences;
};

static void show(operator_context &Context, const check_report &Report) {
  if (Context.Json) {
    Context.Out << json{{"findings", Report.Findings},
                        {"differences", Report.Differences}}
                       .dump()
                << "\n";
    return;
  }
  for (const std::string &Line : Report.Findings)
    Context.Out << Line << "\n";
  for (const std::string &Line : Report.Differences)
    Context.Out << Line << "\n";
  Context.Out << Report.Findings.size() << " findings\n";
}

static check_report inspect(const std::string &Text,
                            const gateway_configuration *InForce) {
  check_report Report;
  try {
    const gateway_configuration Next = readConfiguration(Text);
    for (const configuration_finding &Finding : checkConfiguration(Next))
      Report.Findings.push_back(describe(Finding));
    if (InForce == nullptr)
      return Report;
    for (const configuration_finding &Finding : checkSuccession(*InForce, Next))
      Report.Findings.push_back(describe(Finding));
    for (const configuration_difference &Difference :
         compareConfigurations(*InForce, Next))
      Report.Differences.push_back(describe(Difference));
  } catch (const spindle_error &Error) {
    Report.Findings.push_back(
        std::string("error: a host can't read the configuration: ") +
        Error.what());
  }
  return Report;
}

/// None if there is nothing to compare with.
static std::optional<gateway_configuration>
readInForce(operator_context &Context, const std::string &File) {
  if (File.empty() && !Context.ReadInForce)
    return std::nullopt;
  const std::string Text =
      File.empty() ? Context.ReadInForce() : Context.ReadFile(File);
  try {
    return readConfiguration(Text);
  } catch (const spindle_error &Error) {
    throw spindle_error(Error.code(),
                        (File.empty() ? "the version in force" : File) + ": " +
                            Error.what());
  }
}

exit_code checkFile(operator_context &Context, const std::string &File,
                    const std::string &InForceFile) {
  try {
    const std::optional<gateway_configuration> InForce =
        readInForce(Context, InForceFile);
    const std::string Text = Context.ReadFile(File);
    const check_report Report = inspect(Text, InForce ? &*InForce : nullptr);
    show(Context, Report);
    return Report.Findings.empty() ? exit_code::Done : exit_code::Refused;
  } catch (const spindle_error &Error) {
    Context.Errors << "spindlectl: can't be checked: " << Error.what() << "\n";
    return exit_code::BadInput;
  }
}

} // namespace spindle
