#include "LibCore/result_code.h"
#include "LibHost/host.h"
#include "LibLog/log.h"
#include "LibSettings/host_settings.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>

#include <popt.h>
#include <unistd.h>

using namespace spindle;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;
constexpr milliseconds SignalPause{100};

/// What the command line asks for.
struct command_line {
  std::string SettingsFile;
  bool CheckOnly = false;
  bool PrintReference = false;
  bool ShowVersion = false;
};

command_line readCommandLine(int Count, const char **Words) {
  char *File = nullptr;
  int Check = 0;
  int Reference = 0;
  int Version = 0;
  const poptOption Options[] = {
      {"settings", 's', POPT_ARG_STRING, &File, 0,
       "settings file, JSON with comments", "FILE"},
      {"check-settings", 0, POPT_ARG_NONE, &Check, 0,
       "check the settings and exit", nullptr},
      {"settings-reference", 0, POPT_ARG_NONE, &Reference, 0,
       "print the table of settings and exit", nullptr},
      {"version", 0, POPT_ARG_NONE, &Version, 0, "print the version and exit",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> Context(
      poptGetContext("spindled", Count, Words, Options, 0), &poptFreeContext);
  const int Last = poptGetNextOpt(Context.get());
  const char *const Extra = poptGetArg(Context.get());
  if (Last < -1 || Extra) {
    std::cerr << "spindled: "
              << (Extra ? Extra : poptBadOption(Context.get(), 0)) << ": "
              << (Extra ? "unexpected argument" : poptStrerror(Last)) << "\n";
    std::exit(ExitUsage);
  }
  command_line Line{File ? File : "", Check != 0, Reference != 0, Version != 0};
  std::free(File);
  return Line;
}

host_settings readSettings(const std::string &File) {
  std::ifstream Stream(File);
  if (!Stream)
    throw spindle_error(result_code::InvalidSettings,
                        "settings file \"" + File + "\" can't be read");
  std::stringstream Text;
  Text << Stream.rdbuf();
  return parseHostSettings(Text.str(), File);
}

/// Blocks the signals that stop the process in all threads, so that the main
/// thread alone waits for them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

bool signalCame(const sigset_t &Signals) {
  timespec Wait{};
  Wait.tv_nsec = std::chrono::nanoseconds(SignalPause).count();
  return sigtimedwait(&Signals, nullptr, &Wait) > 0;
}

void logAddresses(const host_addresses &Addresses) {
  logEvent(log_event::Listening,
           {{"for", "callers"}, {"address", toText(Addresses.Callers)}});
  logEvent(log_event::Listening,
           {{"for", "hosts"}, {"address", toText(Addresses.HostLink)}});
  logEvent(log_event::Listening,
           {{"for", "metrics"}, {"address", toText(Addresses.Metrics)}});
}

/// One line for programs that start this one with ports chosen by the kernel.
void printAddresses(const host_addresses &Addresses) {
  std::cout << "listening " << toText(Addresses.Callers) << " "
            << toText(Addresses.HostLink) << " " << toText(Addresses.Metrics)
            << std::endl;
}

[[noreturn]] void serveUntilStopped(const host_settings &Settings,
                                    const sigset_t &Signals) {
  const runtime_clock Clock;
  std::random_device Random;
  const std::uint64_t Incarnation =
      (static_cast<std::uint64_t>(Random()) << 32U) | Random();
  fiber_runtime Runtime(Settings.Threads);
  host Host(Clock, Runtime, Settings, Incarnation);
  logAddresses(Host.addresses());
  printAddresses(Host.addresses());
  while (!signalCame(Signals) && !Host.stopWanted()) {
    // The work is done by the runtime's threads.
  }
  Host.startDrain();
  while (!Host.drained())
    if (signalCame(Signals)) {
      logEvent(log_event::StoppedAtOnce, {});
      _exit(ExitFailure);
    }
  // All is handed over and answered. Waiting for open watches of the platform
  // would only delay the end.
  _exit(EXIT_SUCCESS);
}

} // namespace

int main(int Count, char **Words) {
  const command_line Line =
      readCommandLine(Count, const_cast<const char **>(Words));
  if (Line.ShowVersion) {
    std::cout << "spindled " << SPINDLE_VERSION << "\n";
    return EXIT_SUCCESS;
  }
  if (Line.PrintReference) {
    std::cout << printSettingsReference();
    return EXIT_SUCCESS;
  }
  if (Line.SettingsFile.empty()) {
    std::cerr << "spindled: --settings FILE is missing\n";
    return ExitUsage;
  }
  try {
    const host_settings Settings = readSettings(Line.SettingsFile);
    if (Line.CheckOnly) {
      std::cout << Line.SettingsFile << ": settings are valid\n";
      return EXIT_SUCCESS;
    }
    const sigset_t Signals = blockStopSignals();
    startLogging(Settings.Log);
    logEvent(log_event::ProcessStarted,
             {{"host", Settings.Name}, {"zone", Settings.Zone}});
    serveUntilStopped(Settings, Signals);
  } catch (const std::exception &Error) {
    std::cerr << "spindled: " << Error.what() << "\n";
    return ExitUsage;
  }
}
