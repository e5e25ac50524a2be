#include "EndToEnd/caller.h"

#include <catch2/catch.hpp>

using namespace spindle;
using json = nlohmann::json;

namespace {

constexpr seconds MostRecovery{30};
constexpr std::uint64_t MostEnginesLost = 2;

/// The sum of the requests that the engines report as running.
std::uint64_t runningAtEngines(fleet &Fleet) {
  std::uint64_t Sum = 0;
  for (const endpoint &Engine : Fleet.Engines)
    Sum += Fleet.control(Engine, "/load").at("running").get<std::uint64_t>();
  return Sum;
}

void setAll(fleet &Fleet, const std::vector<endpoint> &StandIns,
            const json &Switches) {
  for (const endpoint &StandIn : StandIns)
    Fleet.setControl(StandIn, Switches);
}

void checkNoEvictionInUse(fleet &Fleet) {
  for (const endpoint &Engine : Fleet.Engines)
    CHECK(Fleet.control(Engine, "/control/record").at("evicted_in_use") ==
          json::array());
}

/// Requests a few answers under a fault, then some without it.
void checkAnswersUnder(fleet &Fleet, const json &Fault, const json &NoFault) {
  constexpr std::size_t Questions = 6;
  setAll(Fleet, Fleet.Engines, Fault);
  for (std::size_t Index = 0; Index < Questions; ++Index) {
    completion_question Question;
    Question.Prompt = "a lid " + Fault.dump() + std::to_string(Index);
    Question.Stream = Index % 2 == 0;
    const caller_answer Answer =
        requestCompletion(Fleet, Index / 2 % 2, Question);
    INFO(Fault.dump() << " stream " << Question.Stream << ": "
                      << describe(Answer));
    CHECK(isOwnOrError(Answer, Question));
  }
  setAll(Fleet, Fleet.Engines, NoFault);
  CHECK(holdsWithin(MostRecovery, [&] {
    const completion_question Question{"pickler@1", "after " + Fault.dump()};
    const caller_answer Answer = requestCompletion(Fleet, 0, Question);
    INFO(describe(Answer));
    CHECK(isOwnOrError(Answer, Question));
    return Answer.Whole;
  }));
}

} // namespace

TEST_CASE("a request that crashes engines takes at most two of them down") {
  constexpr std::size_t Repeats = 40;
  // Its first calls may be those that reveal the fault.
  constexpr std::size_t FirstHeldBack = 2;
  fleet Fleet({2, 4, 0});
  Fleet.applyIntent();
  for (std::size_t Host = 0; Host < 2; ++Host)
    REQUIRE(requestCompletion(Fleet, Host, {"pickler@1", "warm"}).Whole);
  setAll(Fleet, Fleet.Engines, {{"crash_mark", "poison"}, {"crash_ms", 1'000}});
  for (std::size_t Index = 0; Index < Repeats; ++Index) {
    const caller_answer Answer = requestCompletion(
        Fleet, Index % 2, {"pickler@1", "poison", 20, Index / 2 % 2 == 1});
    INFO("repeat " << Index << ": " << describe(Answer));
    CHECK_FALSE(Answer.Whole);
    if (Index >= FirstHeldBack) {
      CHECK(Answer.is(result_code::RequestQuarantined));
      CHECK(Answer.State == "not run");
    }
    sleepFor(milliseconds(100));
  }
  const std::uint64_t Lost = sumOfRecords(Fleet, Fleet.Engines, "restarts");
  CHECK(Lost >= 1);
  CHECK(Lost <= MostEnginesLost);
  for (const endpoint &Engine : Fleet.Engines)
    CHECK(Fleet.control(Engine, "/control/record").at("restarts") <= 1);
  for (std::size_t Host = 0; Host < 2; ++Host)
    CHECK(requestCompletion(Fleet, Host, {"pickler@1", "harmless"}).Whole);
}

TEST_CASE("others are served while engines that a request crashed are down") {
  constexpr std::size_t Rounds = 16;
  fleet Fleet({2, 4, 0});
  Fleet.applyIntent();
  for (std::size_t Host = 0; Host < 2; ++Host)
    REQUIRE(requestCompletion(Fleet, Host, {"pickler@1", "warm"}).Whole);
  setAll(Fleet, Fleet.Engines, {{"crash_mark", "poison"}, {"crash_ms", 1'000}});
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    CHECK_FALSE(
        requestCompletion(Fleet, Round % 2, {"pickler@1", "poison"}).Whole);
    const completion_question Other{"pickler@1",
                                    "harmless " + std::to_string(Round)};
    const caller_answer Served =
        requestCompletion(Fleet, (Round + 1) % 2, Other);
    INFO("round " << Round << ": " << describe(Served));
    CHECK(Served.Whole);
    CHECK(isOwnOrError(Served, Other));
  }
}

TEST_CASE("an engine that restarts empty cuts streams with an explicit error") {
  constexpr std::size_t StreamCount = 8;
  fleet Fleet({2, 2, 0});
  Fleet.applyIntent();
  REQUIRE(requestCompletion(Fleet, 0, {"pickler@1", "warm"}).Whole);
  std::vector<std::unique_ptr<http_call>> Streams;
  std::vector<completion_question> Questions;
  for (std::size_t Index = 0; Index < StreamCount; ++Index)
    Questions.push_back({"pickler@" + std::to_string(1 + Index % 2),
                         "dossier " + std::to_string(Index), 1'000, true});
  Fleet.run([&] {
    for (std::size_t Index = 0; Index < StreamCount; ++Index)
      Streams.push_back(startStream(Fleet, Index % 2, Questions[Index]));
  });
  REQUIRE(runningAtEngines(Fleet) > 0);
  setAll(Fleet, Fleet.Engines, {{"restarts", 1}});
  const time_point Start = boot_clock::now();
  std::size_t Ended = 0;
  for (std::size_t Index = 0; Index < StreamCount; ++Index) {
    caller_answer Answer;
    Fleet.run([&] { Answer = readStream(*Streams[Index]); });
    INFO("stream " << Index << ": " << describe(Answer));
    CHECK(isOwnOrError(Answer, Questions[Index]));
    Ended += Answer.Whole ? 0 : 1;
  }
  CHECK(Ended > 0);
  Fleet.run([&] { Streams.clear(); });
  for (std::size_t Host = 0; Host < 2; ++Host)
    CHECK(holdsWithin(MostRecovery - (boot_clock::now() - Start), [&] {
      const completion_question Question{"pickler", "after"};
      return requestCompletion(Fleet, Host, Question).Whole;
    }));
  checkNoEvictionInUse(Fleet);
}

TEST_CASE("crossed and wrong and short answers reach nobody") {
  fleet Fleet({2, 2, 0});
  Fleet.applyIntent();
  REQUIRE(requestCompletion(Fleet, 0, {"pickler@1", "warm"}).Whole);
  checkAnswersUnder(Fleet, {{"crossed", 3}}, {{"crossed", 0}});
  checkAnswersUnder(Fleet, {{"wrong_adapter", 3}}, {{"wrong_adapter", 0}});
  checkAnswersUnder(Fleet, {{"truncate", 3}, {"truncate_after", 7}},
                    {{"truncate", 0}});
  checkAnswersUnder(
      Fleet,
      {{"truncate", 3}, {"truncate_after", 7}, {"truncate_cleanly", true}},
      {{"truncate", 0}, {"truncate_cleanly", false}});
  checkAnswersUnder(
      Fleet,
      {{"truncate", 3}, {"truncate_after", 0}, {"truncate_cleanly", true}},
      {{"truncate", 0}, {"truncate_cleanly", false}});
  checkNoEvictionInUse(Fleet);
}

TEST_CASE("a repeated event of a stream reaches nobody") {
  fleet Fleet({2, 2, 0});
  Fleet.applyIntent();
  REQUIRE(requestCompletion(Fleet, 0, {"pickler@1", "warm"}).Whole);
  checkAnswersUnder(Fleet, {{"duplicate", 3}}, {{"duplicate", 0}});
}

TEST_CASE("a stream with a repeated event never ends like a whole answer") {
  fleet Fleet({1, 1, 0});
  Fleet.applyIntent();
  REQUIRE(requestCompletion(Fleet, 0, {"pickler@1", "warm"}).Whole);
  Fleet.setControl(Fleet.Engines[0], {{"duplicate", 1}});
  const completion_question Question{"pickler@1", "repeated", 20, true};
  const caller_answer Answer = requestCompletion(Fleet, 0, Question);
  INFO(describe(Answer));
  CHECK_FALSE(Answer.Whole);
  CHECK(Answer.Code != 0);
  CHECK(Answer.State != "not run");
}

TEST_CASE("the engine stops running what its caller has left") {
  constexpr seconds MostUntilCancelled{5};
  fleet Fleet({1, 1, 0});
  Fleet.applyIntent();
  REQUIRE(requestCompletion(Fleet, 0, {"pickler@1", "warm"}).Whole);
  std::vector<std::unique_ptr<http_call>> Streams;
  Fleet.run([&] {
    for (int Index = 0; Index < 4; ++Index)
      Streams.push_back(
          startStream(Fleet, 0, {"pickler@1", "a long dossier", 100'000}));
  });
  REQUIRE(runningAtEngines(Fleet) == 4);
  Fleet.run([&] { Streams.clear(); });
  CHECK(holdsWithin(MostUntilCancelled,
                    [&] { return runningAtEngines(Fleet) == 0; }));
  CHECK(requestCompletion(Fleet, 0, {"pickler@1", "after"}).Whole);
}

TEST_CASE("a caller that stops reading does not hurt others") {
  // The first token is promised within 1.2 s.
  constexpr milliseconds MostWait{1'200};
  constexpr std::size_t Rounds = 20;
  fleet Fleet({1, 1, 0, {"--step-ms", "0"}});
  Fleet.applyIntent();
  REQUIRE(requestCompletion(Fleet, 0, {"pickler@1", "warm"}).Whole);
  std::vector<std::unique_ptr<http_call>> Stalled;
  Fleet.run([&] {
    for (int Index = 0; Index < 4; ++Index)
      Stalled.push_back(
          startStream(Fleet, 0, {"pickler@1", "never read", 200'000}));
  });
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const completion_question Question{
        "pickler@1", "meanwhile " + std::to_string(Round), 20, Round % 2 == 0};
    const time_point Start = boot_clock::now();
    const caller_answer Answer = requestCompletion(Fleet, 0, Question);
    INFO(describe(Answer));
    CHECK(boot_clock::now() - Start < MostWait);
    CHECK(Answer.Whole);
    CHECK(isOwnOrError(Answer, Question));
    sleepFor(milliseconds(100));
  }
  CHECK(runningAtEngines(Fleet) > 0);
  Fleet.run([&] { Stalled.clear(); });
}
