#include "LibStandIn/stand_in_program.h"

#include "LibCore/result_code.h"
#include "LibRuntime/fiber_runtime.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include <popt.h>

namespace spindle {

namespace {

using popt_context = std::unique_ptr<std::remove_pointer_t<poptContext>,
                                     decltype(&poptFreeContext)>;

/// An option as popt sets it, until its value is converted.
struct option_value {
  char *Text = nullptr;
  int Number = 0;
  double Real = 0;
};

} // namespace

static poptOption describe(const stand_in_option &Option, option_value &Value) {
  poptOption Entry{};
  Entry.longName = Option.Name;
  Entry.descrip = Option.Help;
  if (Option.Text != nullptr) {
    Entry.argInfo = POPT_ARG_STRING;
    Entry.arg = &Value.Text;
    return Entry;
  }
  if (Option.Real != nullptr) {
    Value.Real = *Option.Real;
    Entry.argInfo = POPT_ARG_DOUBLE;
    Entry.arg = &Value.Real;
    return Entry;
  }
  Value.Number = Option.Flag != nullptr ? int{*Option.Flag} : *Option.Number;
  Entry.argInfo = Option.Flag != nullptr ? POPT_ARG_NONE : POPT_ARG_INT;
  Entry.arg = &Value.Number;
  return Entry;
}

static void take(const stand_in_option &Option, const option_value &Value) {
  if (Option.Text != nullptr && Value.Text != nullptr)
    *Option.Text = Value.Text;
  if (Option.Number != nullptr)
    *Option.Number = Value.Number;
  if (Option.Real != nullptr)
    *Option.Real = Value.Real;
  if (Option.Flag != nullptr)
    *Option.Flag = Value.Number != 0;
}

static void parse(int Count, const char **Arguments,
                  const std::vector<stand_in_option> &Options) {
  std::vector<option_value> Values(Options.size());
  std::vector<poptOption> Table;
  for (std::size_t Index = 0; Index < Options.size(); ++Index)
    Table.push_back(describe(Options[Index], Values[Index]));
  const std::array<poptOption, 2> Tail{{POPT_AUTOHELP POPT_TABLEEND}};
  Table.insert(Table.end(), Tail.begin(), Tail.end());
  const popt_context Context(
      poptGetContext(nullptr, Count, Arguments, Table.data(), 0),
      &poptFreeContext);
  const int Result = poptGetNextOpt(Context.get());
  if (Result < -1)
    throw spindle_error(result_code::InvalidSettings,
                        std::string(poptBadOption(Context.get(), 0)) + ": " +
                            poptStrerror(Result));
  if (const char *const Extra = poptGetArg(Context.get()))
    throw spindle_error(result_code::InvalidSettings,
                        std::string("unexpected argument ") + Extra);
  for (std::size_t Index = 0; Index < Options.size(); ++Index) {
    take(Options[Index], Values[Index]);
    std::free(Values[Index].Text);
  }
}

stand_in_settings
readStandInSettings(int Count, const char **Arguments,
                    const std::vector<stand_in_option> &Options) {
  stand_in_settings Settings;
  std::string Listen = toText(Settings.Listen);
  int Threads = static_cast<int>(Settings.Threads);
  std::vector<stand_in_option> All = Options;
  All.push_back({.Name = "listen",
                 .Help = "where to listen, ADDRESS:PORT; port 0 is any",
                 .Text = &Listen});
  All.push_back(
      {.Name = "threads", .Help = "number of threads", .Number = &Threads});
  parse(Count, Arguments, All);
  if (Threads < 1)
    throw spindle_error(result_code::InvalidSettings,
                        "--threads must be at least 1");
  Settings.Listen = parseEndpoint(Listen);
  Settings.Threads = static_cast<std::size_t>(Threads);
  return Settings;
}

int runStandIn(const stand_in_settings &Settings, const stand_in_maker &Maker) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  fiber_runtime Runtime(Settings.Threads);
  const http_server Server(Runtime, Settings.Listen, http_server_limits{},
                           Maker(Runtime), writeErrorResponse);
  std::printf("listening %s\n", toText(Server.address()).c_str());
  std::fflush(stdout);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  // Exchanges that simulate a silent peer never end, so they are not awaited.
  std::quick_exit(0);
}

int guardMain(const std::function<int()> &Main) {
  try {
    return Main();
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return 1;
  }
}

} // namespace spindle
