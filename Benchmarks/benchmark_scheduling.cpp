// The cost of one decision of the queue, the detector and the suspects, by
// the number of entries.

#include "LibResilience/crash_suspects.h"
#include "LibResilience/outlier_detector.h"
#include "LibScheduling/fair_queue.h"

#include <string>

#include <benchmark/benchmark.h>

using namespace spindle;

static constexpr int CustomerCount = 50;

static waiting_request makeRequest(std::uint64_t Index, time_point Now) {
  const std::uint64_t Customer = Index * 7 % CustomerCount;
  const priority_class Class = static_cast<priority_class>(Index * 13 % 4);
  return {0,     {Customer + 1},
          Class, {static_cast<std::int64_t>(100 + Index * 37 % 900)},
          Now,   Now + seconds(3'600)};
}

/// One request refused or queued, and one started, with Range waiting.
static void enterAndStart(benchmark::State &State) {
  fair_queue Queue;
  Queue.Settings.QueueLimit = 1'000'000;
  time_point Now{seconds(1)};
  std::uint64_t Index = 0;
  while (waitingCount(Queue) < static_cast<std::size_t>(State.range(0)))
    pushRequest(Queue, makeRequest(Index++, Now));
  for ([[maybe_unused]] const auto Iteration : State) {
    Now += nanoseconds(1'000);
    const waiting_request Request = makeRequest(Index++, Now);
    if (!refusalOf(Queue, Request, Now))
      pushRequest(Queue, Request);
    benchmark::DoNotOptimize(popRequest(Queue, Now));
  }
}
BENCHMARK(enterAndStart)->Arg(12)->Arg(120)->Arg(1'200)->Arg(12'000);

/// The outcome of one call, and one weight, with Range upstreams.
static void noteOutcomeAndWeigh(benchmark::State &State) {
  outlier_detector Detector;
  std::vector<zoned_upstream> Places;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index)
    Places.push_back({{static_cast<std::uint64_t>(Index) + 1},
                      {static_cast<std::uint64_t>(Index) % 10 + 1}});
  time_point Now{seconds(1)};
  setUpstreams(Detector, Places, Now);
  std::size_t Index = 0;
  for ([[maybe_unused]] const auto Iteration : State) {
    Now += nanoseconds(1'000);
    const upstream_id Upstream = Places[Index++ % Places.size()].Upstream;
    noteCallOutcome(Detector, Upstream, call_outcome::Success, Now);
    benchmark::DoNotOptimize(weightOf(Detector, Upstream, Now));
  }
}
BENCHMARK(noteOutcomeAndWeigh)->Arg(11)->Arg(110)->Arg(1'100);

/// The check, start and end of one request, with Range suspects recorded.
static void checkAndRun(benchmark::State &State) {
  crash_suspects Suspects;
  const time_point Now{seconds(1)};
  for (std::int64_t Index = 0; Index < State.range(0); ++Index) {
    const request_fingerprint Print =
        request_fingerprint::ofName(std::to_string(Index));
    noteRunStarted(Suspects, {1}, Print, Now);
    noteRunEnded(Suspects, {1}, Print, run_end::Lost, Now);
  }
  std::uint64_t Index = 0;
  for ([[maybe_unused]] const auto Iteration : State) {
    const request_fingerprint Print{++Index};
    const upstream_id Upstream{2 + Index % 1'100};
    benchmark::DoNotOptimize(isQuarantined(Suspects, Print, Now));
    benchmark::DoNotOptimize(mayStartOn(Suspects, Upstream, Print, Now));
    noteRunStarted(Suspects, Upstream, Print, Now);
    noteRunEnded(Suspects, Upstream, Print, run_end::Completed, Now);
  }
}
BENCHMARK(checkAndRun)->Arg(0)->Arg(400)->Arg(4'000);

BENCHMARK_MAIN();
