// Compares ways to bound how many requests a host has on engines, on a virtual
// clock: an equal share of the batch slots, no bound, and the window that
// follows the engines' lagging reports.

#include "LibLoad/percentile.h"
#include "LibScheduling/concurrency_window.h"
#include "LibScheduling/fair_queue.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <queue>
#include <random>
#include <string>

using namespace spindle;

namespace {

constexpr int Hosts = 7;
constexpr int Engines = 9;
constexpr std::uint32_t BatchSize = 16;
constexpr std::uint32_t Slots = Engines * BatchSize;
constexpr double MeanServiceSeconds = 3;
constexpr double RunSeconds = 600;
constexpr double WarmUpSeconds = 60;
/// Engines report this often, and what they report is this old.
constexpr double ReportSeconds = 0.25;
constexpr double LagSeconds = 0.5;

enum class window_policy { EqualShare, Unbounded, Adaptive };

struct load_shape {
  const char *Name;
  /// Load of the small and the heavy customer, relative to all slots.
  double Small;
  double Heavy;
  /// The part of all arrivals that comes to the first host.
  double FirstHostPart;
};

struct job {
  double Arrived = 0;
  double Seconds = 0;
  int Customer = 0;
  int Host = 0;
  int Engine = 0;
  double Dispatched = 0;
};

struct engine {
  std::uint32_t Running = 0;
  std::deque<job> Waiting;
};

enum class event_kind { Arrive, Finish, Report };

struct event {
  double Time;
  event_kind Kind;
  int Index;
  job Job;
  bool operator<(const event &Other) const { return Time > Other.Time; }
};

struct figures {
  std::vector<double> SmallWaits;
  std::vector<double> HeavyWaits;
  double EngineWaitSeconds = 0;
  double Started = 0;
  double BusySlotSeconds = 0;
  double WastedSlotSeconds = 0;
};

class window_run {
public:
  window_run(window_policy Policy, const load_shape &Shape)
      : Policy(Policy), Shape(Shape), Queues(Hosts), Windows(Hosts),
        Jobs(Hosts), EngineStates(Engines) {
    for (fair_queue &Queue : Queues) {
      Queue.Settings.QueueLimit = 1'000'000;
      Queue.Settings.RefuseEarly = false;
    }
    for (concurrency_window &Window : Windows)
      updateWindow(Window, {Slots, 0, 0}, Hosts, false, at(0));
  }

  figures run() {
    for (const int Customer : {0, 1})
      scheduleArrival(Customer);
    Events.push({ReportSeconds, event_kind::Report, 0, {}});
    while (Events.top().Time < RunSeconds) {
      const event Next = Events.top();
      Events.pop();
      account(Next.Time - Now);
      Now = Next.Time;
      handle(Next);
    }
    return Figures;
  }

private:
  static time_point at(double Seconds) {
    return time_point(
        nanoseconds(static_cast<std::int64_t>((Seconds + 100) * 1e9)));
  }

  void handle(const event &Event) {
    switch (Event.Kind) {
    case event_kind::Arrive:
      arrive(Event.Index);
      return;
    case event_kind::Finish:
      finish(Event.Job);
      return;
    case event_kind::Report:
      report();
      return;
    }
  }

  double draw(double Mean) {
    return std::exponential_distribution<double>(1 / Mean)(Random);
  }

  void scheduleArrival(int Customer) {
    const double Load = Customer == 0 ? Shape.Small : Shape.Heavy;
    const double PerSecond = Load * Slots / MeanServiceSeconds;
    Events.push({Now + draw(1 / PerSecond), event_kind::Arrive, Customer, {}});
  }

  void arrive(int Customer) {
    scheduleArrival(Customer);
    const bool First =
        std::uniform_real_distribution<double>()(Random) < Shape.FirstHostPart;
    const int Host =
        First ? 0 : std::uniform_int_distribution<int>(0, Hosts - 1)(Random);
    const int Engine =
        std::uniform_int_distribution<int>(0, Engines - 1)(Random);
    const job Job{Now, draw(MeanServiceSeconds), Customer, Host, Engine};
    const std::uint64_t Sequence = pushRequest(
        Queues[Host], {0,
                       {static_cast<std::uint64_t>(Customer) + 1},
                       priority_class::Plain,
                       {static_cast<std::int64_t>(Job.Seconds * 1'000) + 1},
                       at(Now),
                       at(Now + 10 * RunSeconds)});
    Jobs[Host][Sequence] = Job;
    dispatch(Host);
  }

  std::uint32_t bound(int Host) const {
    if (Policy == window_policy::Unbounded)
      return 1'000'000;
    if (Policy == window_policy::EqualShare)
      return Slots / Hosts;
    return windowSize(Windows[Host]);
  }

  void dispatch(int Host) {
    while (InFlight[Host] < bound(Host)) {
      const std::optional<waiting_request> Next =
          popRequest(Queues[Host], at(Now));
      if (!Next)
        return;
      ++InFlight[Host];
      const auto Found = Jobs[Host].find(Next->Sequence);
      job Job = Found->second;
      Jobs[Host].erase(Found);
      Job.Dispatched = Now;
      engine &Engine = EngineStates[Job.Engine];
      Engine.Waiting.push_back(Job);
      startOn(Engine);
    }
  }

  /// Starts waiting jobs; an engine's own queue is first in, first out.
  void startOn(engine &Engine) {
    while (Engine.Running < BatchSize && !Engine.Waiting.empty()) {
      const job Job = Engine.Waiting.front();
      Engine.Waiting.pop_front();
      ++Engine.Running;
      Events.push({Now + Job.Seconds, event_kind::Finish, Job.Engine, Job});
      if (Job.Arrived < WarmUpSeconds)
        continue;
      std::vector<double> &Waits =
          Job.Customer == 0 ? Figures.SmallWaits : Figures.HeavyWaits;
      Waits.push_back(Now - Job.Arrived);
      Figures.EngineWaitSeconds += Now - Job.Dispatched;
      ++Figures.Started;
    }
  }

  void finish(const job &Job) {
    engine &Engine = EngineStates[Job.Engine];
    --Engine.Running;
    startOn(Engine);
    --InFlight[Job.Host];
    dispatch(Job.Host);
  }

  void report() {
    Events.push({Now + ReportSeconds, event_kind::Report, 0, {}});
    engine_load_summary Load{Slots, 0, 0};
    for (const engine &Engine : EngineStates) {
      Load.Running += Engine.Running;
      Load.Waiting += static_cast<std::uint32_t>(Engine.Waiting.size());
    }
    Reports.push_back(Load);
    if (Reports.size() <= static_cast<std::size_t>(LagSeconds / ReportSeconds))
      return;
    const engine_load_summary Seen = Reports.front();
    Reports.pop_front();
    for (int Host = 0; Host < Hosts; ++Host) {
      updateWindow(Windows[Host], Seen, Hosts, waitingCount(Queues[Host]) > 0,
                   at(Now));
      dispatch(Host);
    }
  }

  /// Slots that idle while as many requests wait in hosts are wasted.
  void account(double Seconds) {
    if (Now < WarmUpSeconds)
      return;
    std::size_t Waiting = 0;
    for (const fair_queue &Queue : Queues)
      Waiting += waitingCount(Queue);
    std::uint32_t Running = 0;
    for (const engine &Engine : EngineStates)
      Running += Engine.Running;
    Figures.BusySlotSeconds += Running * Seconds;
    Figures.WastedSlotSeconds +=
        static_cast<double>(std::min<std::size_t>(Slots - Running, Waiting)) *
        Seconds;
  }

  window_policy Policy;
  load_shape Shape;
  std::mt19937_64 Random{20261204};
  double Now = 0;
  std::vector<fair_queue> Queues;
  std::vector<concurrency_window> Windows;
  std::vector<std::unordered_map<std::uint64_t, job>> Jobs;
  std::array<std::uint32_t, Hosts> InFlight{};
  std::vector<engine> EngineStates;
  std::priority_queue<event> Events;
  std::deque<engine_load_summary> Reports;
  figures Figures;
};

} // namespace

int main() {
  const std::array<load_shape, 4> Shapes{
      {{"80%, even", 0.1, 0.7, 0},
       {"80%, 70% on one host", 0.1, 0.7, 0.65},
       {"125%, even", 0.1, 1.15, 0},
       {"125%, 70% on one host", 0.1, 1.15, 0.65}}};
  const std::array<std::pair<const char *, window_policy>, 3> Policies{
      {{"equal share", window_policy::EqualShare},
       {"unbounded", window_policy::Unbounded},
       {"adaptive window", window_policy::Adaptive}}};
  std::printf(
      "| load | bound | small customer p50 s | p99 s | heavy customer p99 "
      "s | mean wait inside engines s | slots busy %% | slots idle "
      "though requests wait %% |\n"
      "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: |\n");
  for (const load_shape &Shape : Shapes)
    for (const auto &[Name, Policy] : Policies) {
      const figures Figures = window_run(Policy, Shape).run();
      const double All = Slots * (RunSeconds - WarmUpSeconds) / 100;
      std::printf("| %s | %s | %.2f | %.2f | %.2f | %.3f | %.1f | %.1f |\n",
                  Shape.Name, Name, percentile(Figures.SmallWaits, 0.5),
                  percentile(Figures.SmallWaits, 0.99),
                  percentile(Figures.HeavyWaits, 0.99),
                  Figures.EngineWaitSeconds / Figures.Started,
                  Figures.BusySlotSeconds / All,
                  Figures.WastedSlotSeconds / All);
    }
  return 0;
}
