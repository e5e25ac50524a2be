// Compares how engines are chosen and adapter slots assigned with simpler
// policies, under the load patterns of a settings file.
#include "LibCore/result_code.h"
#include "LibFleetModel/model_report.h"
#include "LibLoad/text_file.h"

#include <cstdio>
#include <iostream>

#include <popt.h>

using namespace spindle;

namespace {

constexpr int ExitUsage = 2;

/// The options of the command line; the pointers belong to popt.
struct command_line {
  const char *Settings = nullptr;
  const char *Pattern = nullptr;
  const char *Policy = nullptr;
  const char *Json = nullptr;
  const char *Plots = nullptr;
  int Seeds = 1;
  int ShowKinds = 0;
  int Describe = 0;
};

bool isSelected(const char *Only, const std::string &Name) {
  return Only == nullptr || Name == Only;
}

/// Runs the policies under one pattern, with each seed.
std::vector<model_report> runPattern(model_settings Settings,
                                     const model_pattern &Pattern,
                                     const command_line &Options) {
  std::vector<model_report> Reports;
  const std::uint64_t FirstSeed = Settings.Seed;
  for (const model_policy &Policy : modelPolicies()) {
    if (!isSelected(Options.Policy, Policy.Name))
      continue;
    for (int Seed = 0; Seed < Options.Seeds; ++Seed) {
      Settings.Seed = FirstSeed + static_cast<std::uint64_t>(Seed);
      Reports.push_back({Pattern.Name, Policy.Name,
                         runFleetModel(Settings, Pattern, Policy)});
    }
  }
  return Reports;
}

void runAll(const command_line &Options) {
  const model_settings Settings =
      parseModelSettings(readTextFile(Options.Settings), Options.Settings);
  std::vector<model_report> All;
  for (const model_pattern &Pattern : Settings.Patterns) {
    if (!isSelected(Options.Pattern, Pattern.Name))
      continue;
    const std::vector<model_report> Reports =
        runPattern(Settings, Pattern, Options);
    if (Options.Plots != nullptr)
      writeTextFile(std::string(Options.Plots) + Pattern.Name + ".svg",
                    drawReports(Reports, Pattern.Meaning));
    All.insert(All.end(), Reports.begin(), Reports.end());
  }
  if (All.empty())
    throw spindle_error(result_code::InvalidSettings,
                        "no such pattern or policy");
  std::cout << (Options.ShowKinds != 0 ? writeKindTable(All) : writeTable(All));
  if (Options.Json != nullptr)
    writeTextFile(Options.Json, writeJson(All));
}

} // namespace

int main(int ArgumentCount, const char **Arguments) {
  command_line Options;
  const poptOption Table[] = {
      {"settings", 's', POPT_ARG_STRING, &Options.Settings, 0,
       "What is modelled (JSON with comments)", "FILE"},
      {"pattern", 'p', POPT_ARG_STRING, &Options.Pattern, 0,
       "Only this load pattern", "NAME"},
      {"policy", 'o', POPT_ARG_STRING, &Options.Policy, 0, "Only this policy",
       "NAME"},
      {"seeds", 'n', POPT_ARG_INT, &Options.Seeds, 0,
       "Runs of each, with seeds that follow each other", "COUNT"},
      {"kinds", 'k', POPT_ARG_NONE, &Options.ShowKinds, 0,
       "Show each kind of requests", nullptr},
      {"json", 'j', POPT_ARG_STRING, &Options.Json, 0,
       "Write the results as JSON", "FILE"},
      {"plots", 'g', POPT_ARG_STRING, &Options.Plots, 0,
       "Write a plot of each pattern to PREFIXpattern.svg", "PREFIX"},
      {"describe-settings", 'd', POPT_ARG_NONE, &Options.Describe, 0,
       "Describe the settings file", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const poptContext Context =
      poptGetContext("spindlemodel", ArgumentCount, Arguments, Table, 0);
  const int Parsed = poptGetNextOpt(Context);
  if (Parsed < -1 || (Options.Settings == nullptr && Options.Describe == 0) ||
      Options.Seeds < 1) {
    poptPrintUsage(Context, stderr, 0);
    poptFreeContext(Context);
    return ExitUsage;
  }
  int Exit = 0;
  try {
    if (Options.Describe != 0)
      std::cout << describeModelSettings();
    else
      runAll(Options);
  } catch (const std::exception &Error) {
    std::cerr << "spindlemodel: " << Error.what() << "\n";
    Exit = ExitUsage;
  }
  poptFreeContext(Context);
  return Exit;
}
