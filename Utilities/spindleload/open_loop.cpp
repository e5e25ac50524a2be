#include "open_loop.h"

#include "load_client.h"
#include "stand_in_control.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>

namespace spindle {

/// How long the last answers are waited for.
static constexpr seconds DrainTime{30};
static constexpr milliseconds ProbeInterval{250};
/// Requests in flight at once; what comes beyond is not sent.
static constexpr std::size_t MostInFlight = 20'000;

namespace {

/// What the fibers of a run share.
struct open_run {
  std::mutex Mutex;
  /// Guarded by Mutex.
  std::vector<load_record> Records;
  std::atomic<std::size_t> InFlight{0};
  std::atomic<bool> Stop{false};
  std::atomic<int> Helpers{0};
};

} // namespace

static void sleepUntil(const runtime_clock &Clock, time_point Moment) {
  const nanoseconds Left = Moment - Clock.now();
  if (Left > nanoseconds(0))
    std::this_thread::sleep_for(Left);
}

static void waitForZero(const std::atomic<std::size_t> &Count,
                        seconds Longest) {
  const auto Until = std::chrono::steady_clock::now() + Longest;
  while (Count > 0 && std::chrono::steady_clock::now() < Until)
    std::this_thread::sleep_for(milliseconds(5));
}

static void startHelpers(fiber_runtime &Runtime, open_run &Run,
                         load_client &Client, const load_scenario &Scenario,
                         const load_targets &Targets) {
  Run.Helpers = 2;
  Runtime.spawn([&Run, &Client] {
    while (!Run.Stop) {
      Client.Balancer.probe(Client.Http);
      sleepFor(ProbeInterval);
    }
    --Run.Helpers;
  });
  Runtime.spawn([&Run, &Client, &Scenario, &Targets] {
    std::vector<load_event> Events = Scenario.Events;
    std::sort(Events.begin(), Events.end(),
              [](const load_event &Left, const load_event &Right) {
                return Left.AtSeconds < Right.AtSeconds;
              });
    for (const load_event &Event : Events) {
      const time_point Moment =
          Client.Start +
          nanoseconds(static_cast<std::int64_t>(Event.AtSeconds * 1e9));
      while (!Run.Stop && Client.Clock.now() < Moment)
        sleepFor(milliseconds(10));
      if (!Run.Stop)
        applyEvent(Client.Http, Targets, Event);
    }
    --Run.Helpers;
  });
}

static void sendPlan(fiber_runtime &Runtime, open_run &Run, load_client &Client,
                     const std::vector<planned_request> &Plan) {
  for (const planned_request &Request : Plan) {
    sleepUntil(Client.Clock, Client.Start + Request.At);
    if (Run.InFlight >= MostInFlight) {
      load_record Record;
      Record.Request = Request;
      Record.CodeName = "not sent";
      const std::lock_guard<std::mutex> Lock(Run.Mutex);
      Run.Records.push_back(Record);
      continue;
    }
    ++Run.InFlight;
    Runtime.spawn([&Run, &Client, &Request] {
      const load_record Record = Client.send(Request);
      {
        const std::lock_guard<std::mutex> Lock(Run.Mutex);
        Run.Records.push_back(Record);
      }
      --Run.InFlight;
    });
  }
}

load_summary runOpenLoop(fiber_runtime &Runtime, const load_scenarios &Common,
                         const load_scenario &Scenario,
                         const load_targets &Targets) {
  const runtime_clock Clock;
  const std::vector<planned_request> Plan = planArrivals(
      Common, Scenario, static_cast<std::uint32_t>(Targets.Hosts.size()));
  host_balancer Balancer(Targets.Hosts);
  http_client Http;
  open_run Run;
  engine_work Before;
  Runtime.runBlocking([&] { Before = readEngineWork(Http, Targets); });
  const std::string RunName =
      Scenario.Name + "-" + std::to_string(Clock.wallNow().Milliseconds);
  load_client Client{Clock, Common, Balancer, Http, RunName, Clock.now()};
  startHelpers(Runtime, Run, Client, Scenario, Targets);
  sendPlan(Runtime, Run, Client, Plan);
  waitForZero(Run.InFlight, DrainTime);
  Run.Stop = true;
  while (Run.Helpers > 0)
    std::this_thread::sleep_for(milliseconds(5));
  // The client's own deadlines end what is still in flight.
  waitForZero(Run.InFlight, seconds(120));
  engine_work After;
  order_audit Orders;
  Runtime.runBlocking([&] {
    After = readEngineWork(Http, Targets);
    Orders = auditOrders(Http, Targets, RunName, Run.Records);
  });
  load_summary Summary = summarise(Common, Scenario, Run.Records);
  Summary.Engines = workBetween(Before, After);
  Summary.Orders = Orders;
  return Summary;
}

} // namespace spindle
