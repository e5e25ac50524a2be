// Repeats a request that crashes engines without end among other requests,
// over hosts that send each other their suspects, on a virtual clock.
// Prints how many engines it crashes and how many other requests are affected.

#include "LibResilience/crash_suspects.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <queue>
#include <random>
#include <string>

using namespace spindle;

namespace {

constexpr int Hosts = 7;
constexpr int Engines = 9;
constexpr double RunSeconds = 1'200;
/// Other requests arrive at this rate over all hosts and run this long.
constexpr double OthersPerSecond = 10;
constexpr double OtherSeconds = 9;
/// From its start on an engine to the engine's crash.
constexpr double CrashSeconds = 0.3;
constexpr double RestartSeconds = 10;
/// The caller's pause before it repeats the request that crashes engines.
constexpr double RepeatSeconds = 2;
/// A message between hosts.
constexpr double ShareSeconds = 0.005;
constexpr int Runs = 30;

enum class crash_policy {
  /// Requests are retried once and never held back.
  None,
  /// Two losses hold a request back; retries run anywhere.
  CountOnly,
  /// A suspect runs on no engine with another suspect of the same host.
  Isolated,
  /// And the longer a lost request had run, the later it is retried.
  Paused,
};

struct run_request {
  request_fingerprint Fingerprint;
  bool IsCrashing = false;
  int Host = 0;
  int Attempts = 0;
  double Started = 0;
};

enum class event_kind { Arrive, Repeat, Retry, Finish, Crash, Share };

struct event {
  double Time = 0;
  std::uint64_t Order = 0;
  event_kind Kind = event_kind::Arrive;
  std::uint64_t Run = 0;
  run_request Request = {};
  int Engine = 0;
  std::vector<suspect_record> Records = {};

  bool operator<(const event &Other) const {
    if (Time != Other.Time)
      return Time > Other.Time;
    return Order > Other.Order;
  }
};

struct run_figures {
  double Crashes = 0;
  double Others = 0;
  double OthersLost = 0;
  /// Other requests lost twice: repeats of theirs are held back.
  double HeldBack = 0;
  /// Other requests that could not be retried anywhere.
  double NotRetried = 0;
  double PauseSeconds = 0;
};

class crash_run {
public:
  crash_run(crash_policy Policy, std::uint64_t Seed)
      : Policy(Policy), Random(Seed), Boards(Hosts) {}

  run_figures run() {
    push({drawGap(OthersPerSecond), 0, event_kind::Arrive});
    push({60, 0, event_kind::Repeat});
    while (!Events.empty() && Events.top().Time < RunSeconds) {
      event Next = Events.top();
      Events.pop();
      Now = Next.Time;
      handle(Next);
    }
    return Figures;
  }

private:
  void handle(event &Event) {
    switch (Event.Kind) {
    case event_kind::Arrive:
      push({Now + drawGap(OthersPerSecond), 0, event_kind::Arrive});
      ++Figures.Others;
      start({request_fingerprint{++LastFingerprint}, false, drawHost(), 0});
      return;
    case event_kind::Repeat:
      start({request_fingerprint{1}, true, drawHost(), 0});
      return;
    case event_kind::Retry:
      start(Event.Request);
      return;
    case event_kind::Finish:
      end(Event.Run, run_end::Completed);
      return;
    case event_kind::Crash:
      if (Running.count(Event.Run) != 0)
        crash(Event.Engine);
      return;
    case event_kind::Share:
      for (crash_suspects &Board : Boards)
        mergeSuspects(Board, Event.Records, clock());
      return;
    }
  }

  void start(run_request Request) {
    crash_suspects &Board = Boards[Request.Host];
    const bool HeldBack = Policy != crash_policy::None &&
                          isQuarantined(Board, Request.Fingerprint, clock());
    const int Engine = HeldBack ? -1 : chooseEngine(Board, Request);
    if (Engine < 0) {
      Figures.NotRetried += Request.IsCrashing ? 0 : 1;
      repeatCrashing(Request);
      return;
    }
    Request.Started = Now;
    ++Request.Attempts;
    noteRunStarted(Board, idOf(Engine), Request.Fingerprint, clock());
    Running[++LastRun] = {Request, Engine};
    if (Request.IsCrashing)
      push({Now + CrashSeconds, 0, event_kind::Crash, LastRun, {}, Engine});
    else
      push({Now + drawGap(1 / OtherSeconds), 0, event_kind::Finish, LastRun});
  }

  /// The caller of the request that crashes engines repeats it without end.
  void repeatCrashing(const run_request &Request) {
    if (Request.IsCrashing)
      push({Now + RepeatSeconds, 0, event_kind::Repeat});
  }

  int chooseEngine(const crash_suspects &Board, const run_request &Request) {
    std::vector<int> Allowed;
    for (int Engine = 0; Engine < Engines; ++Engine) {
      if (DownUntil[Engine] > Now)
        continue;
      if (Policy < crash_policy::Isolated ||
          mayStartOn(Board, idOf(Engine), Request.Fingerprint, clock()))
        Allowed.push_back(Engine);
    }
    if (Allowed.empty())
      return -1;
    std::uniform_int_distribution<std::size_t> Choice(0, Allowed.size() - 1);
    return Allowed[Choice(Random)];
  }

  void end(std::uint64_t Run, run_end End) {
    const auto Found = Running.find(Run);
    if (Found == Running.end())
      return;
    const auto [Request, Engine] = Found->second;
    Running.erase(Found);
    noteRunEnded(Boards[Request.Host], idOf(Engine), Request.Fingerprint, End,
                 clock());
    if (End != run_end::Lost)
      return;
    Figures.OthersLost += Request.IsCrashing ? 0 : 1;
    if (Request.Attempts >= 2) {
      Figures.HeldBack += Request.IsCrashing ? 0 : 1;
      repeatCrashing(Request);
      return;
    }
    // Hosts send each other their suspects before they retry.
    double Pause = 2 * ShareSeconds;
    if (Policy == crash_policy::Paused) {
      const nanoseconds Ran(
          static_cast<std::int64_t>((Now - Request.Started) * 1e9));
      Pause += std::chrono::duration<double>(pauseBeforeRetry(Ran)).count();
    }
    Figures.PauseSeconds += Request.IsCrashing ? 0 : Pause;
    push({Now + Pause, 0, event_kind::Retry, 0, Request});
  }

  void crash(int Engine) {
    ++Figures.Crashes;
    DownUntil[Engine] = Now + RestartSeconds;
    std::vector<std::uint64_t> Lost;
    for (const auto &[Run, Place] : Running)
      if (Place.second == Engine)
        Lost.push_back(Run);
    for (const std::uint64_t Run : Lost)
      end(Run, run_end::Lost);
    for (crash_suspects &Board : Boards) {
      event Share{Now + ShareSeconds, 0, event_kind::Share};
      Share.Records = takeUnshared(Board, clock());
      push(Share);
    }
  }

  void push(event Event) {
    Event.Order = ++LastOrder;
    Events.push(std::move(Event));
  }
  time_point clock() const {
    return time_point(nanoseconds(static_cast<std::int64_t>(Now * 1e9)));
  }
  static upstream_id idOf(int Engine) {
    return {static_cast<std::uint64_t>(Engine) + 1};
  }
  double drawGap(double PerSecond) {
    return std::exponential_distribution<double>(PerSecond)(Random);
  }
  int drawHost() {
    return std::uniform_int_distribution<int>(0, Hosts - 1)(Random);
  }

  crash_policy Policy;
  std::mt19937_64 Random;
  std::vector<crash_suspects> Boards;
  std::priority_queue<event> Events;
  std::map<std::uint64_t, std::pair<run_request, int>> Running;
  std::array<double, Engines> DownUntil{};
  double Now = 0;
  std::uint64_t LastFingerprint = 1;
  std::uint64_t LastRun = 0;
  std::uint64_t LastOrder = 0;
  run_figures Figures;
};

void print(const char *Name, crash_policy Policy) {
  run_figures Mean;
  double MostCrashes = 0;
  for (int Run = 0; Run < Runs; ++Run) {
    const run_figures One = crash_run(Policy, 20261204 + Run).run();
    MostCrashes = std::max(MostCrashes, One.Crashes);
    Mean.Crashes += One.Crashes / Runs;
    Mean.Others += One.Others / Runs;
    Mean.OthersLost += One.OthersLost / Runs;
    Mean.HeldBack += One.HeldBack / Runs;
    Mean.NotRetried += One.NotRetried / Runs;
    Mean.PauseSeconds += One.PauseSeconds / Runs;
  }
  std::printf("| %s | %.1f | %.0f | %.0f | %.1f | %.2f | %.2f | %.2f |\n", Name,
              Mean.Crashes, MostCrashes, Mean.Others, Mean.OthersLost,
              Mean.HeldBack, Mean.NotRetried,
              Mean.PauseSeconds / Mean.OthersLost);
}

} // namespace

int main() {
  std::printf("%d hosts, %d engines, %.0f s, %d runs\n\n", Hosts, Engines,
              RunSeconds, Runs);
  std::printf("| policy | engines down | most in a run | innocent requests | "
              "of them lost with an engine | lost twice, so held back | not "
              "retried | mean pause before a retry s |\n"
              "| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n");
  print("retry, never hold back", crash_policy::None);
  print("hold back after two losses", crash_policy::CountOnly);
  print("and isolate suspects", crash_policy::Isolated);
  print("and pause before retries", crash_policy::Paused);
  return 0;
}
