#include "LibRouting/engine_placement.h"

#include <array>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

const time_point Start{seconds(100)};
constexpr std::size_t EngineCount = 16;
constexpr std::int64_t EngineMemory = 200'000;

placement_query query(std::int64_t Prompt, std::int64_t Output) {
  placement_query Query;
  Query.PromptTokens = Prompt;
  Query.OutputTokens = Output;
  Query.HighOutputTokens = Output * 2;
  Query.GapObjective = milliseconds(300);
  Query.Objective = milliseconds(800);
  Query.Remaining = milliseconds(800);
  Query.Useful = seconds(4);
  return Query;
}

std::vector<engine_candidate> candidates(std::span<const placed_work> Works) {
  std::vector<engine_candidate> Engines(Works.size());
  for (std::size_t Index = 0; Index < Works.size(); ++Index) {
    Engines[Index].Work = &Works[Index];
    Engines[Index].BatchSlots = 32;
    Engines[Index].MemoryTokens = EngineMemory;
  }
  return Engines;
}

/// How requests are placed in a replay.
enum class way { ByWork, LeastRequests };

std::size_t choose(way Way, std::span<const placed_work> Works,
                   const placement_query &Query, time_point Now) {
  if (Way == way::ByWork)
    return rankEngines(candidates(Works), Query, placement_costs{}, Now)
        .front()
        .Index;
  std::size_t Least = 0;
  for (std::size_t Index = 1; Index < Works.size(); ++Index)
    if (Works[Index].Requests.size() < Works[Least].Requests.size())
      Least = Index;
  return Least;
}

/// Replays long prompts beside short streams, and returns the part of the short
/// streams beside which the engine reads for longer than they may pause.
double latePart(way Way) {
  std::array<placed_work, EngineCount> Works;
  std::mt19937 Random(5);
  std::uniform_int_distribution<int> Pause(0, 24);
  int Streams = 0;
  int Late = 0;
  time_point Now = Start;
  for (int Number = 0; Number < 4'000; ++Number) {
    Now += milliseconds(Pause(Random));
    for (placed_work &Work : Works)
      dropEnded(Work, Now);
    const bool IsLong = Number % 2 == 0;
    const placement_query Query = IsLong ? query(9'000, 50) : query(800, 300);
    placed_work &Work = Works[choose(Way, Works, Query, Now)];
    engine_candidate Engine;
    Engine.Work = &Work;
    const request_work Asked = workOn(Engine, Query, placement_costs{});
    if (IsLong) {
      // A prompt that is read while another waits stalls the streams twice.
      const nanoseconds Stall = readingBacklog(Work, Now) + Asked.Reading;
      for (const placed_request &Request : Work.Requests)
        if (Stall > Request.Work.GapObjective &&
            Request.Work.Writing > seconds(1))
          ++Late;
    } else {
      ++Streams;
    }
    addWork(Work, Asked, Now);
  }
  return static_cast<double>(Late) / Streams;
}

} // namespace

// Guards against long prompts that are read one after the other beside streams,
// which pause meanwhile: they come about where engines are compared by the
// number of their requests.
TEST_CASE("long prompts beside short streams: few streams are stalled") {
  const double ByWork = latePart(way::ByWork);
  const double LeastRequests = latePart(way::LeastRequests);
  CAPTURE(ByWork, LeastRequests);
  // Both kinds of streams may be late in eight of a hundred cases.
  CHECK(ByWork < 0.08);
  CHECK(LeastRequests > 0.08);
}

// Guards against an engine that crashes because it holds more than its memory.
TEST_CASE("no engine is given more than its memory or its batch holds") {
  rc::check([](const std::vector<std::uint16_t> &Prompts) {
    std::array<placed_work, 3> Works;
    for (const std::uint16_t Prompt : Prompts) {
      const placement_query Query = query(Prompt, 200);
      const std::vector<engine_choice> Ranked =
          rankEngines(candidates(Works), Query, placement_costs{}, Start);
      if (Ranked.empty())
        continue;
      addWork(Works[Ranked.front().Index], Ranked.front().Work, Start);
      for (const placed_work &Work : Works) {
        RC_ASSERT(memoryInUse(Work) <= EngineMemory);
        RC_ASSERT(Work.Requests.size() <= 32U);
      }
    }
  });
}

TEST_CASE("a large request fits an engine that has nothing to do") {
  std::array<placed_work, 1> Works;
  REQUIRE(rankEngines(candidates(Works), query(EngineMemory - 400, 200),
                      placement_costs{}, Start)
              .size() == 1);
  REQUIRE(rankEngines(candidates(Works), query(EngineMemory, 200),
                      placement_costs{}, Start)
              .empty());
}

// Guards against requests that all wait for the one engine that has their
// adapter until they are of no use.
TEST_CASE("an adapter is loaded elsewhere if its engine would begin too late") {
  std::array<placed_work, 2> Works;
  for (int Number = 0; Number < 20; ++Number)
    addWork(Works[0], {milliseconds(240), milliseconds(300), 9'000, {}}, Start);
  std::vector<engine_candidate> Engines = candidates(Works);
  Engines[1].Adapter = adapter_readiness::NeedsEviction;
  Engines[1].VictimUses = 1;
  placement_query Query = query(9'000, 50);
  Query.Remaining = milliseconds(-100);
  const std::vector<engine_choice> Ranked =
      rankEngines(Engines, Query, placement_costs{}, Start);
  REQUIRE(Ranked.front().Index == 1);
}

// Guards against slow engines that get as many long prompts as fast ones.
TEST_CASE("a long prompt goes to a faster engine, a short stream to either") {
  std::array<placed_work, 2> Works;
  std::vector<engine_candidate> Engines = candidates(Works);
  Engines[0].ReadingFactor = 3;
  Engines[0].WritingFactor = 3;
  REQUIRE(rankEngines(Engines, query(9'000, 50), placement_costs{}, Start)
              .front()
              .Index == 1);
}
