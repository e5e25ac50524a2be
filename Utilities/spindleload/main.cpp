#include "LibCore/result_code.h"
#include "LibLoad/load_scenario.h"
#include "LibLoad/svg_plot.h"
#include "LibLoad/text_file.h"
#include "closed_loop.h"
#include "open_loop.h"

#include <cstdio>
#include <iostream>

#include <popt.h>

using namespace spindle;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitForeignAnswer = 3;

/// The options of the command line; the pointers belong to popt.
struct command_line {
  const char *Scenarios = nullptr;
  const char *Targets = nullptr;
  const char *Only = nullptr;
  const char *Json = nullptr;
  const char *Markdown = nullptr;
  const char *Plot = nullptr;
  const char *Target = nullptr;
  const char *Method = "POST";
  const char *Path = "/v1/completions";
  const char *Body = "";
  const char *Key = "";
  int Connections = 1;
  int Requests = 1'000;
  int Threads = 2;
};

} // namespace

/// Writes a file unless \p Path is null.
static void writeIfNamed(const char *Path, const std::string &Text) {
  if (Path != nullptr)
    writeTextFile(Path, Text);
}

static std::string drawSummaries(const std::vector<load_summary> &Summaries) {
  std::vector<plot_line> Lines;
  Lines.reserve(Summaries.size());
  for (const load_summary &Summary : Summaries)
    Lines.push_back({Summary.Scenario, Summary.FirstByteP99BySecond});
  return drawPlot(
      {"First byte, 99th percentile", "seconds since the start", "ms"}, Lines);
}

/// Whether \p Name is in a list separated by commas; null: any name is.
static bool isSelected(const char *Only, const std::string &Name) {
  if (Only == nullptr)
    return true;
  const std::string List = "," + std::string(Only) + ",";
  return List.find("," + Name + ",") != std::string::npos;
}

static int runScenarios(fiber_runtime &Runtime, const command_line &Line) {
  const load_scenarios Common =
      parseScenarios(readTextFile(Line.Scenarios), Line.Scenarios);
  const load_targets Targets =
      parseTargets(readTextFile(Line.Targets), Line.Targets);
  std::vector<load_summary> Summaries;
  std::size_t Foreign = 0;
  for (const load_scenario &Scenario : Common.Scenarios) {
    if (!isSelected(Line.Only, Scenario.Name))
      continue;
    Summaries.push_back(runOpenLoop(Runtime, Common, Scenario, Targets));
    for (const auto &[Kind, Group] : Summaries.back().Kinds)
      Foreign += Group.Foreign;
  }
  std::cout << writeMarkdown(Summaries);
  writeIfNamed(Line.Json, writeJson(Summaries));
  writeIfNamed(Line.Markdown, writeMarkdown(Summaries));
  writeIfNamed(Line.Plot, drawSummaries(Summaries));
  return Foreign == 0 ? 0 : ExitForeignAnswer;
}

static int runLoop(fiber_runtime &Runtime, const command_line &Line) {
  closed_loop_settings Settings;
  Settings.Target = parseEndpoint(Line.Target);
  Settings.Connections = static_cast<std::uint32_t>(Line.Connections);
  Settings.Requests = static_cast<std::uint64_t>(Line.Requests);
  Settings.Method = Line.Method;
  Settings.Path = Line.Path;
  Settings.Body = Line.Body;
  Settings.Key = Line.Key;
  const closed_loop_result Result = runClosedLoop(Runtime, Settings);
  std::cout << "| connections | requests | failed | min ms | p50 ms | p99 ms | "
               "requests/s | events/s |\n"
            << describeResult(Settings, Result) << "\n";
  return 0;
}

static int run(int Count, const char **Arguments) {
  command_line Line;
  const poptOption Options[] = {
      {"scenarios", 's', POPT_ARG_STRING, &Line.Scenarios, 0,
       "file of scenarios to run", "FILE"},
      {"targets", 't', POPT_ARG_STRING, &Line.Targets, 0,
       "file that names the running programs", "FILE"},
      {"only", 'o', POPT_ARG_STRING, &Line.Only, 0, "run only this scenario",
       "NAME"},
      {"json", 'j', POPT_ARG_STRING, &Line.Json, 0, "write results as JSON",
       "FILE"},
      {"markdown", 'm', POPT_ARG_STRING, &Line.Markdown, 0,
       "write results as tables", "FILE"},
      {"plot", 'p', POPT_ARG_STRING, &Line.Plot, 0, "write a plot as SVG",
       "FILE"},
      {"target", 0, POPT_ARG_STRING, &Line.Target, 0,
       "run a closed loop against this address", "IP:PORT"},
      {"connections", 0, POPT_ARG_INT, &Line.Connections, 0,
       "closed loop: connections", "N"},
      {"requests", 0, POPT_ARG_INT, &Line.Requests, 0,
       "closed loop: requests in all", "N"},
      {"method", 0, POPT_ARG_STRING, &Line.Method, 0, "closed loop: method",
       "METHOD"},
      {"path", 0, POPT_ARG_STRING, &Line.Path, 0, "closed loop: path", "PATH"},
      {"body", 0, POPT_ARG_STRING, &Line.Body, 0, "closed loop: body", "TEXT"},
      {"key", 0, POPT_ARG_STRING, &Line.Key, 0, "closed loop: key", "KEY"},
      {"threads", 0, POPT_ARG_INT, &Line.Threads, 0, "threads", "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext Context =
      poptGetContext("spindleload", Count, Arguments, Options, 0);
  const int Result = poptGetNextOpt(Context);
  if (Result < -1) {
    std::cerr << poptBadOption(Context, 0) << ": " << poptStrerror(Result)
              << "\n";
    poptFreeContext(Context);
    return ExitUsage;
  }
  poptFreeContext(Context);
  const bool IsLoop = Line.Target != nullptr;
  const bool IsPlan = Line.Scenarios != nullptr && Line.Targets != nullptr;
  if (IsLoop == IsPlan || Line.Threads < 1 || Line.Connections < 1 ||
      Line.Requests < 1) {
    std::cerr << "give either --scenarios and --targets, or --target; counts "
                 "are at least 1\n";
    return ExitUsage;
  }
  fiber_runtime Runtime(static_cast<std::size_t>(Line.Threads));
  return IsLoop ? runLoop(Runtime, Line) : runScenarios(Runtime, Line);
}

int main(int Count, const char **Arguments) {
  try {
    return run(Count, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << "\n";
    return 1;
  }
}
