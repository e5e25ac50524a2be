#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_2_HOSTS_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_2_HOSTS_H

#include "store.h"

#include <csignal>
#include <fstream>
#include <memory>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// One process of the deploy file's role, with the settings that its template
/// gives on a small site.
class host {
public:
  host(std::string Name, std::string Zone)
      : Name(std::move(Name)), Zone(std::move(Zone)), Callers(freePort()),
        Ready(freePort()), Link(freePort()), Metrics(freePort()) {}
  ~host() { stop(SIGKILL); }
  host(const host &) = delete;
  host &operator=(const host &) = delete;

  void writeSettings(const std::string &Folder, int StorePort,
                     const json &Seeds) {
    const auto At = [](int Port) {
      return "127.0.0.1:" + std::to_string(Port);
    };
    const json Settings = {
        {"name", Name},
        {"zone", Zone},
        {"interface", "forwarding"},
        {"threads", 1},
        {"seeds", Seeds},
        {"listen",
         {{"callers", At(Callers)},
          {"ready", At(Ready)},
          {"hostLink", At(Link)},
          {"metrics", At(Metrics)}}},
        {"platform",
         {{"servers", json::array({At(StorePort)})}, {"callTimeoutMs", 700}}},
        {"log", {{"json", true}}},
        {"timeouts", {{"drainMs", 7500}, {"drainDelayMs", 2500}}},
        {"routing", {{"placementMinEngines", 8}}},
        {"repeats", {{"percent", 18}, {"extra", 54}, {"windowS", 10}}},
        {"reaction", {{"configurationMs", 2000}, {"upstreamMs", 2000}}}};
    File = Folder + "/" + Name + ".json";
    Log = Folder + "/" + Name + ".log";
    std::ofstream(File) << Settings.dump(2) << "\n";
  }

  void start() {
    Pid = ::fork();
    if (Pid != 0)
      return;
    // The process ends with the scenario, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int Output =
        ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(Output, STDOUT_FILENO);
    ::dup2(Output, STDERR_FILENO);
    ::execl("target/bin/spindled", "spindled", "--settings", File.c_str(),
            static_cast<char *>(nullptr));
    ::_exit(127);
  }

  void signal(int Signal) const {
    if (Pid > 0)
      ::kill(Pid, Signal);
  }
  void stop(int Signal) {
    if (Pid <= 0)
      return;
    ::kill(Pid, Signal);
    ::waitpid(Pid, nullptr, 0);
    Pid = -1;
  }
  bool hasEnded() {
    if (Pid > 0 && ::waitpid(Pid, nullptr, WNOHANG) == Pid)
      Pid = -1;
    return Pid <= 0;
  }

  bool isReady() const {
    const int Socket = connectTo(Ready);
    if (Socket < 0)
      return false;
    sendAll(Socket, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
    reader Reader(Socket);
    message Answer;
    const bool IsReady = Reader.read(Answer) && Answer.status() == 200;
    ::close(Socket);
    return IsReady;
  }
  bool waitUntilReady(double Limit) const {
    const double Until = now() + Limit;
    while (!isReady()) {
      if (now() > Until)
        return false;
      sleepSeconds(0.05);
    }
    return true;
  }

  const std::string Name;
  const std::string Zone;
  const int Callers;
  const int Ready;
  const int Link;
  const int Metrics;

private:
  std::string File;
  std::string Log;
  pid_t Pid = -1;
};

/// The configuration of a small site: one route of each kind.
inline json makeConfiguration(int AdapterSlots) {
  const auto Route = [](const char *Path, const char *Kind, const char *Service,
                        int Attempts, bool Resumable, int TimeoutMs,
                        int ObjectiveMs, int Priority) {
    return json{{"name", std::string("r-") + Kind},
                {"host", "ficu95.example"},
                {"path-prefix", Path},
                {"kind", Kind},
                {"timeout-ms", TimeoutMs},
                {"slo-ms", ObjectiveMs},
                {"priority", Priority},
                {"service", Service},
                {"attempts", Attempts},
                {"public", false},
                {"sticky", true},
                {"can-resume", Resumable},
                {"gap-slo-ms", 400}};
  };
  json Configuration;
  Configuration["version"] = 7;
  Configuration["routes"] = {
      Route("/chat/", "stream", "models", 1, false, 15'000, 800, 0),
      Route("/order/", "non_idempotent", "shop", 1, false, 1'000, 150, 2)};
  Configuration["services"] = {{{"name", "models"},
                                {"health-path", "/health"},
                                {"max-conns", 360},
                                {"protocol", "h1"},
                                {"tls", false},
                                {"engine",
                                 {{"slots", 64},
                                  {"kv-capacity", 255'303},
                                  {"stride", 5},
                                  {"weights-mb", 66'500.0},
                                  {"adapter-slots", AdapterSlots},
                                  {"loads-per-s", 2.1},
                                  {"models",
                                   {{{"name", "m0"},
                                     {"weights-mb", 65'100.0},
                                     {"load-time-s", 1.9},
                                     {"adapters", 3'000},
                                     {"adapter-mb", 12.0}}}}}}},
                               {{"name", "shop"},
                                {"health-path", "/health"},
                                {"max-conns", 100},
                                {"protocol", "h1"},
                                {"tls", false}}};
  Configuration["limits"] = {{"max-header-bytes", 16'384},
                             {"max-body-bytes", 4'194'304},
                             {"header-timeout-ms", 3'000},
                             {"idle-timeout-ms", 15'000}};
  Configuration["tenants"] = {{{"name", "hule930"},
                               {"api-keys", {"i9n73hh2b9wu3fexd9dn"}},
                               {"priority", 1},
                               {"unit", "tokens"},
                               {"plain-tokens", 200},
                               {"rate-per-s", 86'954},
                               {"burst", 86'954}}};
  return Configuration;
}

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_2_HOSTS_H
