#include "LibRouting/engine_placement.h"
#include "LibScheduling/prompt_queue.h"

#include <string>
#include <vector>

#include <benchmark/benchmark.h>

using namespace spindle;

static constexpr time_point Start{seconds(100)};
static constexpr int RequestsPerEngine = 4;

static std::vector<placed_work> busyEngines(std::size_t Count) {
  std::vector<placed_work> Works(Count);
  for (placed_work &Work : Works)
    for (int Number = 0; Number < RequestsPerEngine; ++Number)
      addWork(Work, {milliseconds(100), seconds(2), 9'000, milliseconds(500)},
              Start);
  return Works;
}

/// The choice of an engine, by the number of engines in the zone.
static void rankEnginesOfZone(benchmark::State &State) {
  const std::vector<placed_work> Works =
      busyEngines(static_cast<std::size_t>(State.range(0)));
  std::vector<engine_candidate> Candidates(Works.size());
  for (std::size_t Index = 0; Index < Works.size(); ++Index) {
    Candidates[Index].Work = &Works[Index];
    Candidates[Index].BatchSlots = 64;
    Candidates[Index].MemoryTokens = 200'000;
  }
  placement_query Query;
  Query.PromptTokens = 9'000;
  Query.OutputTokens = 50;
  Query.HighOutputTokens = 100;
  Query.GapObjective = milliseconds(500);
  Query.Objective = seconds(1);
  Query.Remaining = seconds(1);
  Query.Useful = seconds(4);
  for ([[maybe_unused]] const auto Step : State)
    benchmark::DoNotOptimize(
        rankEngines(Candidates, Query, placement_costs{}, Start));
}
BENCHMARK(rankEnginesOfZone)->Arg(15)->Arg(47)->Arg(110)->Arg(1'100);

/// The question whose turn it is, by the number of prompts that wait.
static void findTurn(benchmark::State &State) {
  prompt_queue Queue;
  waiting_prompt Prompt;
  Prompt.Reading = milliseconds(200);
  Prompt.OnTimeUntil = Start + seconds(1);
  Prompt.UsefulUntil = Start + seconds(4);
  for (std::int64_t Number = 0; Number < State.range(0); ++Number) {
    Prompt.Claim = {static_cast<int>(Number % 3),
                    customer_id::ofName(std::to_string(Number % 16))};
    Prompt.Engine = upstream_id::ofName(std::to_string(Number % 47));
    enterQueue(Queue, Prompt);
  }
  for ([[maybe_unused]] const auto Step : State)
    benchmark::DoNotOptimize(hasPriority(Queue, 1, Queue.Waiting.at(1), Start));
}
BENCHMARK(findTurn)->Arg(10)->Arg(100)->Arg(1'000);

BENCHMARK_MAIN();
