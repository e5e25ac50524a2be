#include "LibCore/listen_error.h"
#include "LibLog/log.h"
#include "LibSettings/host_settings.h"
#include "running_host.h"
#include "settings_watch.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include <popt.h>
#include <unistd.h>

using namespace spindle;

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;
constexpr milliseconds SignalPause{100};
constexpr milliseconds ListenMargin{2'000};
constexpr milliseconds ListenPause{500};

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

/// Blocks the signals that the main thread alone waits for.
sigset_t blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  sigaddset(&Signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

/// Waits a short time; returns the signal that came, or 0.
int nextSignal(const sigset_t &Signals) {
  timespec Wait{};
  Wait.tv_nsec = std::chrono::nanoseconds(SignalPause).count();
  return std::max(0, sigtimedwait(&Signals, nullptr, &Wait));
}

void logAddresses(const running_host &Host) {
  for (const auto &[Purpose, Address] : Host.Addresses)
    logEvent(log_event::Listening,
             {{"for", Purpose}, {"address", toText(Address)}});
}

/// One line for programs that start this one with ports chosen by the kernel.
void printAddresses(const running_host &Host) {
  std::cout << "listening";
  for (const auto &[Purpose, Address] : Host.Addresses)
    std::cout << " " << toText(Address);
  std::cout << std::endl;
}

bool asksToStop(int Signal) { return Signal == SIGTERM || Signal == SIGINT; }

/// Waits until \p Until, or until a signal asks to stop; returns whether one
/// did.
bool waitForStop(const sigset_t &Signals, const runtime_clock &Clock,
                 time_point Until) {
  while (Clock.now() < Until)
    if (asksToStop(nextSignal(Signals)))
      return true;
  return false;
}

void logAddressInUse(const listen_error &Error, nanoseconds Waited) {
  logEvent(log_event::AddressInUse,
           {{"address", toText(Error.address())},
            {"waited_ms",
             std::to_string(
                 std::chrono::duration_cast<milliseconds>(Waited).count())},
            {"reason", Error.what()}});
}

/// Starts the host; repeats this while an address can't be listened at. Returns
/// nullopt if a signal asks to stop meanwhile.
/// \throws listen_error if an address can't be had for too long.
std::optional<running_host> startWhenFree(const runtime_clock &Clock,
                                          fiber_runtime &Runtime,
                                          const host_settings &Settings,
                                          const sigset_t &Signals) {
  // An earlier process of this host may still drain.
  const milliseconds MaxWait = Settings.Timeouts.Drain + ListenMargin;
  const time_point Start = Clock.now();
  std::optional<endpoint> LoggedAddress;
  while (true) {
    try {
      return startHost(Clock, Runtime, Settings);
    } catch (const listen_error &Error) {
      const nanoseconds Waited = Clock.now() - Start;
      if (LoggedAddress != Error.address())
        logAddressInUse(Error, Waited);
      LoggedAddress = Error.address();
      if (Waited >= MaxWait)
        throw;
    }
    if (waitForStop(Signals, Clock, Clock.now() + ListenPause))
      return std::nullopt;
  }
}

[[noreturn]] void serveUntilStopped(const host_settings &Settings,
                                    const std::string &SettingsFile,
                                    const sigset_t &Signals) {
  const runtime_clock Clock;
  fiber_runtime Runtime(Settings.Threads);
  const std::optional<running_host> Started =
      startWhenFree(Clock, Runtime, Settings, Signals);
  if (!Started)
    _exit(EXIT_SUCCESS);
  const running_host &Host = *Started;
  logAddresses(Host);
  printAddresses(Host);
  settings_watch Watch(Clock, SettingsFile, Settings);
  int Signal = 0;
  while (!asksToStop(Signal) && !Host.StopWanted()) {
    Signal = nextSignal(Signals);
    Watch.look(Signal == SIGHUP);
  }
  Host.StartDrain();
  while (!Host.Drained()) {
    Signal = nextSignal(Signals);
    // A supervisor may send SIGTERM to a process group and to its members.
    if (Signal == SIGTERM)
      logEvent(log_event::StopRepeated, {});
    if (Signal != SIGINT)
      continue;
    logEvent(log_event::StoppedAtOnce, {});
    _exit(ExitFailure);
  }
  // All is handed over and answered. Waiting for open watches of the platform
  // would only delay the end.
  _exit(EXIT_SUCCESS);
}

} // namespace

int main(int Count, char **Words) {
  // First of all: until then, a SIGHUP ends the process.
  const sigset_t Signals = blockSignals();
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
    startLogging(Settings.Log);
    logEvent(log_event::ProcessStarted,
             {{"host", Settings.Name}, {"zone", Settings.Zone}});
    serveUntilStopped(Settings, Line.SettingsFile, Signals);
  } catch (const std::exception &Error) {
    logEvent(log_event::StartFailed, {{"reason", Error.what()}});
    std::cerr << "spindled: " << Error.what() << "\n";
    return ExitUsage;
  }
}
