#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_HOSTS_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_HOSTS_H

// Starts the project's daemon as separate processes with settings made from the
// deploy file's template, and keeps the record of a case.

#include "net.h"

#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>

namespace review {

/// Exit codes of a case.
enum verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Lines with the time since the start, on standard output; run.sh writes them
/// to record.txt.
inline void record(const char *Format, ...) {
  static std::mutex Mutex;
  static const steady::time_point Start = steady::now();
  const double Seconds =
      std::chrono::duration<double>(steady::now() - Start).count();
  char Line[2048];
  va_list Arguments;
  va_start(Arguments, Format);
  std::vsnprintf(Line, sizeof Line, Format, Arguments);
  va_end(Arguments);
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::printf("%9.3f %s\n", Seconds, Line);
  std::fflush(stdout);
}

inline bool wantsTrouble() {
  const char *const Value = std::getenv("TROUBLE");
  return !Value || std::string(Value) != "0";
}

/// Replaces each "{{name}}" of the settings template; sections without a value
/// are dropped.
inline std::string
fillTemplate(std::string Text,
             const std::map<std::string, std::string> &Values) {
  std::size_t Start = 0;
  while ((Start = Text.find("{{#")) != std::string::npos) {
    const std::string Name =
        Text.substr(Start + 3, Text.find("}}", Start) - Start - 3);
    const std::string End = "{{/" + Name + "}}";
    Text.erase(Start, Text.find(End, Start) + End.size() - Start);
  }
  while ((Start = Text.find("{{")) != std::string::npos) {
    const std::size_t End = Text.find("}}", Start);
    const std::string Name = Text.substr(Start + 2, End - Start - 2);
    const auto Found = Values.find(Name);
    if (Found == Values.end())
      throw std::runtime_error("the template names " + Name);
    Text.replace(Start, End + 2 - Start, Found->second);
  }
  return Text;
}

/// Starts a program with \p Output as its standard output and error. It ends
/// with this process at the latest.
inline pid_t startProcess(char *const *Words, int Output) {
  const pid_t Process = ::fork();
  if (Process < 0)
    throw std::runtime_error("no process can be started");
  if (Process > 0)
    return Process;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execv(Words[0], Words);
  ::_exit(127);
}

inline void endProcess(pid_t Process) {
  ::kill(Process, SIGKILL);
  ::waitpid(Process, nullptr, 0);
}

/// One process of the daemon.
class host {
public:
  /// Ports stay the same when the process is started again.
  host(std::string Name, std::string Zone, const std::string &Store,
       const std::string &Folder)
      : Name(std::move(Name)), Zone(std::move(Zone)), Store(Store),
        Folder(Folder), Callers(freePort()), Ready(freePort()),
        Link(freePort()), Metrics(freePort()) {}
  ~host() {
    if (Process > 0)
      endProcess(Process);
  }
  host(const host &) = delete;
  host &operator=(const host &) = delete;

  /// Starts the process with the command of the deploy file.
  void start(const std::vector<std::uint16_t> &Seeds) {
    const std::string Settings = Folder + "/" + Name + ".settings";
    std::ofstream(Settings) << settings(Seeds);
    std::string Program = "target/bin/spindled";
    std::string Option = "--settings";
    std::string File = Settings;
    char *Words[] = {Program.data(), Option.data(), File.data(), nullptr};
    const std::string Log = Folder + "/" + Name + ".log";
    const int Output =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    Process = startProcess(Words, Output);
    ::close(Output);
    limitDescriptors();
    ++Starts;
    record("host %s started", Name.c_str());
  }

  void signal(int Number) const {
    if (Process > 0)
      ::kill(Process, Number);
  }

  /// Whether the process has ended by itself; tells how in the record.
  bool hasEnded() {
    int Status = 0;
    if (Process <= 0 || ::waitpid(Process, &Status, WNOHANG) != Process)
      return false;
    Process = -1;
    record("host %s ended: %s %d", Name.c_str(),
           WIFSIGNALED(Status) ? "signal" : "exit",
           WIFSIGNALED(Status) ? WTERMSIG(Status) : WEXITSTATUS(Status));
    return true;
  }

  bool isRunning() const { return Process > 0; }
  /// How many descriptors the process has open.
  int descriptors() const {
    const std::string Folder = "/proc/" + std::to_string(Process) + "/fd";
    std::error_code Error;
    const std::filesystem::directory_iterator First(Folder, Error);
    return static_cast<int>(
        std::distance(First, std::filesystem::directory_iterator()));
  }
  double processorSeconds() const {
    std::ifstream File("/proc/" + std::to_string(Process) + "/stat");
    std::string Word;
    double Ticks = 0;
    for (int Index = 1; Index <= 15 && File >> Word; ++Index)
      if (Index >= 14)
        Ticks += std::atof(Word.c_str());
    return Ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  int starts() const { return Starts; }
  const std::string &name() const { return Name; }
  std::uint16_t callers() const { return Callers; }
  std::uint16_t link() const { return Link; }

  /// What the balancer sees.
  bool isReady() const {
    const int Socket = dial(Ready);
    if (Socket < 0)
      return false;
    connection Peer(Socket);
    message Answer;
    return Peer.send("GET /readiness HTTP/1.1\r\nHost: balancer\r\n"
                     "Connection: close\r\n\r\n") &&
           Peer.readHead(Answer, milliseconds(1'000)) && Answer.Status == 200;
  }

  /// The max-fds of the machine, which the platform enforces; 0 for the
  /// limit that the process inherits.
  rlim_t MaxDescriptors = 0;

private:
  void limitDescriptors() const {
    if (MaxDescriptors == 0)
      return;
    rlimit Limit{};
    ::prlimit(Process, RLIMIT_NOFILE, nullptr, &Limit);
    Limit.rlim_max = std::min(Limit.rlim_max, MaxDescriptors);
    Limit.rlim_cur = Limit.rlim_max;
    ::prlimit(Process, RLIMIT_NOFILE, &Limit, nullptr);
  }

  std::string settings(const std::vector<std::uint16_t> &Seeds) const {
    std::ifstream File("deploy/settings.template.json");
    std::stringstream Text;
    Text << File.rdbuf();
    std::string SeedList;
    for (const std::uint16_t Seed : Seeds)
      SeedList += (SeedList.empty() ? "\"127.0.0.1:" : ",\"127.0.0.1:") +
                  std::to_string(Seed) + "\"";
    const auto At = [](std::uint16_t Port) {
      return "127.0.0.1:" + std::to_string(Port);
    };
    return fillTemplate(Text.str(), {{"node-name", Name},
                                     {"zone", Zone},
                                     {"seeds|json", "[" + SeedList + "]"},
                                     {"listen.front", At(Callers)},
                                     {"listen.ready", At(Ready)},
                                     {"listen.control", At(Link)},
                                     {"ip", "127.0.0.1"},
                                     {"port-range.0", std::to_string(Metrics)},
                                     {"platform.address", Store},
                                     {"bounds.retry-budget-slack", "174"},
                                     {"bounds.budget-window-s", "10"},
                                     {"bounds.config-apply-ms", "3000"},
                                     {"bounds.drain-ms", "3000"}});
  }

  const std::string Name;
  const std::string Zone;
  const std::string Store;
  const std::string Folder;
  const std::uint16_t Callers;
  const std::uint16_t Ready;
  const std::uint16_t Link;
  const std::uint16_t Metrics;
  pid_t Process = -1;
  int Starts = 0;
};

/// Waits until all hosts are ready; false after \p Limit.
inline bool waitUntilReady(const std::vector<std::unique_ptr<host>> &Hosts,
                           milliseconds Limit = milliseconds(15'000)) {
  const steady::time_point Until = steady::now() + Limit;
  while (steady::now() < Until) {
    if (std::all_of(Hosts.begin(), Hosts.end(),
                    [](const auto &Host) { return Host->isReady(); }))
      return true;
    pauseFor(milliseconds(50));
  }
  return false;
}

/// Makes and starts hosts in one zone, and returns their seeds. Waits until
/// they are ready and know the engines; false if they don't get ready.
inline bool startHosts(std::vector<std::unique_ptr<host>> &Hosts, int Count,
                       const std::string &Store, const std::string &Folder,
                       std::vector<std::uint16_t> &Seeds) {
  for (int Number = 1; Number <= Count; ++Number) {
    Hosts.push_back(std::make_unique<host>(
        "front-gent-a-" + std::to_string(Number), "gent-a", Store, Folder));
    Seeds.push_back(Hosts.back()->link());
  }
  for (const std::unique_ptr<host> &Host : Hosts)
    Host->start(Seeds);
  if (!waitUntilReady(Hosts))
    return false;
  pauseFor(milliseconds(4'000));
  return true;
}

/// Starts processes that have ended by themselves again after a pause, as the
/// platform does, and counts the ends.
class restarter {
public:
  restarter(std::vector<std::unique_ptr<host>> &Hosts,
            std::vector<std::uint16_t> Seeds)
      : Hosts(Hosts), Seeds(std::move(Seeds)), Ends(Hosts.size()),
        EndedAt(Hosts.size()) {}

  void look() {
    static constexpr milliseconds RestartPause{1'000};
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
      host &Host = *Hosts[Index];
      if (Host.hasEnded()) {
        ++Ends[Index];
        EndedAt[Index] = steady::now();
      } else if (!Host.isRunning() &&
                 steady::now() - EndedAt[Index] > RestartPause) {
        Host.start(Seeds);
      }
    }
  }

  /// How often each process has ended.
  const std::vector<int> &ends() const { return Ends; }

private:
  std::vector<std::unique_ptr<host>> &Hosts;
  const std::vector<std::uint16_t> Seeds;
  std::vector<int> Ends;
  std::vector<steady::time_point> EndedAt;
};

/// Ends the hosts and this process, whatever threads still run.
[[noreturn]] inline void finish(std::vector<std::unique_ptr<host>> &Hosts,
                                verdict Verdict) {
  Hosts.clear();
  std::fflush(stdout);
  std::_Exit(Verdict);
}

/// The temporary folder of a case, made by run.sh.
inline std::string caseFolder() {
  const char *const Folder = std::getenv("CASE_FOLDER");
  if (!Folder)
    throw std::runtime_error("CASE_FOLDER is not set");
  return Folder;
}

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_HOSTS_H
