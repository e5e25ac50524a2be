#include "LibCore/retry_after_error.h"
#include "LibGateway/placement_message.h"
#include "LibGateway/placer_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <limits>
#include <map>
#include <mutex>
#include <numeric>
#include <vector>

using namespace spindle;

// An output that does not end during a test.
static constexpr std::int64_t LongOutput = 4'000;

TEST_CASE("a request that times out leaves an engine's later requests alone "
          "after a restart") {
  placer_fixture Test(1);
  fake_engine_faults Slow;
  Slow.LoadTime = milliseconds(2'000);
  Test.Engines[0]->setFaults(Slow);
  Test.spawn([&Test] {
    Test.Placer.place(Test.request(100, LongOutput, "a1"),
                      Test.Clock.now() + milliseconds(300));
  });
  sleepFor(milliseconds(100));
  REQUIRE(Test.Placer.placedRequests() == 1);
  Test.registerEngines(2);
  REQUIRE(Test.place(Test.request(100, LongOutput), milliseconds(200)));
  sleepFor(milliseconds(400));
  REQUIRE(Test.Placer.placedRequests() == 1);
}

TEST_CASE("work of an engine that has left does not count") {
  placer_fixture Test(2);
  work_request Request = Test.request(100, LongOutput);
  Request.Avoid = {upstream_id::ofName("e1")};
  REQUIRE(Test.place(Request, milliseconds(200)));
  Test.registerEngines(1, 1);
  sleepFor(milliseconds(1'100));
  REQUIRE(Test.place(Test.request(100, LongOutput), milliseconds(200)));
  REQUIRE(Test.Placer.placedRequests() == 1);
}

/// Places requests of these prompts at once, each second one with an adapter of
/// its own. Returns the tokens of those placed, by engine.
static std::map<upstream_id, std::vector<std::int64_t>>
placeAtOnce(placer_fixture &Test, const std::vector<std::int64_t> &Prompts) {
  std::mutex Mutex;
  std::map<upstream_id, std::vector<std::int64_t>> Tokens;
  int Number = 0;
  for (const std::int64_t Prompt : Prompts) {
    const std::string Adapter =
        ++Number % 2 == 0 ? "a" + std::to_string(Number % 6) : "";
    const work_request Request = Test.request(Prompt, LongOutput, Adapter);
    Test.spawn([&Test, &Mutex, &Tokens, Request] {
      const std::optional<placed_engine> Placed =
          Test.Placer.place(Request, Test.Clock.now() + milliseconds(40));
      if (!Placed)
        return;
      const std::lock_guard<std::mutex> Lock(Mutex);
      Tokens[Placed->Engine].push_back(Request.Query.PromptTokens + LongOutput);
    });
  }
  while (Test.Running.load() > 0)
    sleepFor(milliseconds(1));
  return Tokens;
}

TEST_CASE("requests placed by several threads fit in the engines' memory") {
  rc::prop("whichever engine comes to hold the adapter", [] {
    const auto Prompts = *rc::gen::container<std::vector<std::int64_t>>(
        12, rc::gen::inRange<std::int64_t>(1, 1'500));
    placer_fixture Test(3, 4);
    fake_engine_faults Quick;
    Quick.LoadTime = milliseconds(5);
    for (const std::unique_ptr<fake_engine> &Engine : Test.Engines)
      Engine->setFaults(Quick);
    for (const auto &[Engine, Tokens] : placeAtOnce(Test, Prompts)) {
      const std::int64_t Sum =
          std::accumulate(Tokens.begin(), Tokens.end(), std::int64_t{0});
      RC_ASSERT(Tokens.size() == 1 ||
                Sum <= placer_fixture::MemoryTokens * 9 / 10);
    }
  });
}

/// Any figure, often one at the ends of the range.
static std::int64_t anyFigure() {
  constexpr std::int64_t Largest = std::numeric_limits<std::int64_t>::max();
  return *rc::gen::oneOf(
      rc::gen::arbitrary<std::int64_t>(),
      rc::gen::element<std::int64_t>(-Largest, -1, 0, 1'000'000'000'000'000'000,
                                     Largest));
}

static host_link::HoldAdapterRequest anyRequest() {
  host_link::HoldAdapterRequest Message;
  host_link::RequestWork &Work = *Message.mutable_work();
  Work.set_service("models");
  Message.set_model("m");
  Work.set_prompt_tokens(anyFigure());
  Work.set_output_tokens(anyFigure());
  Work.set_high_output_tokens(anyFigure());
  Work.set_gap_ms(anyFigure());
  Work.set_objective_ms(anyFigure());
  for (std::uint64_t Id = 0; Id < 3; ++Id) {
    host_link::PromptPart &Part = *Work.add_parts();
    Part.set_id(Id);
    Part.set_tokens(anyFigure());
  }
  Message.set_on_time_ms(anyFigure());
  Message.set_useful_ms(anyFigure());
  Message.set_wait_ms(anyFigure());
  return Message;
}

TEST_CASE("absurd figures of a peer leave engines usable") {
  placer_fixture Test(1);
  rc::prop("after any message", [&Test] {
    const time_point Now = Test.Clock.now();
    const host_link::HoldAdapterRequest Message = anyRequest();
    const work_request Request = readWork(Message, Now);
    RC_ASSERT(readTime(Message.wait_ms(), Now) <= Now + std::chrono::hours(1));
    RC_ASSERT(Request.Slot.UsefulUntil <= Now + std::chrono::hours(1));
    RC_ASSERT(Request.Query.GapObjective >= nanoseconds(0));
    try {
      Test.place(Request, milliseconds(1));
    } catch (const spindle_error &) {
      return;
    }
  });
  sleepFor(milliseconds(300));
  REQUIRE(Test.place(Test.request(100, 10), milliseconds(200)));
}

TEST_CASE("a request waits for room and is sent when there is some") {
  placer_fixture Test(1);
  REQUIRE(Test.place(Test.request(8'900, 30), milliseconds(100)));
  const time_point Start = Test.Clock.now();
  REQUIRE(Test.place(Test.request(2'000, 10), milliseconds(2'000)));
  // Reading 8900 and writing 30 tokens takes some 410 ms.
  REQUIRE(Test.Clock.now() - Start > milliseconds(250));
  REQUIRE(Test.Clock.now() - Start < milliseconds(1'000));
}

TEST_CASE("a request for which there will be no room in time is refused at "
          "once") {
  placer_fixture Test(1);
  REQUIRE(Test.place(Test.request(100, LongOutput), milliseconds(100)));
  REQUIRE(Test.place(Test.request(100, LongOutput), milliseconds(100)));
  const time_point Start = Test.Clock.now();
  try {
    Test.place(Test.request(2'000, 10), milliseconds(2'000));
    FAIL("it was not refused");
  } catch (const retry_after_error &Error) {
    // Writing 4000 tokens takes 24 s.
    REQUIRE(Error.retryAfter() > milliseconds(20'000));
    REQUIRE(Error.retryAfter() < milliseconds(25'000));
  }
  REQUIRE_THROWS_AS(Test.place(Test.request(20'000, 10), milliseconds(2'000)),
                    spindle_error);
  REQUIRE(Test.Clock.now() - Start < milliseconds(500));
  REQUIRE(Test.Placer.waitingRequests() == 0);
}

TEST_CASE("a request that times out leaves no work behind") {
  placer_fixture Test(2);
  fake_engine_faults Slow;
  Slow.LoadTime = milliseconds(2'000);
  for (const std::unique_ptr<fake_engine> &Engine : Test.Engines)
    Engine->setFaults(Slow);
  REQUIRE_FALSE(
      Test.place(Test.request(100, LongOutput, "a1"), milliseconds(300)));
  REQUIRE(Test.Placer.placedRequests() == 0);
  REQUIRE(Test.Placer.waitingRequests() == 0);
}

TEST_CASE("a loaded adapter is used while its engine answers no orders") {
  placer_fixture Test(2);
  const std::optional<placed_engine> First =
      Test.place(Test.request(100, 10, "a1"), milliseconds(1'000));
  REQUIRE(First);
  fake_engine_faults Silent;
  Silent.Unresponsive = true;
  for (const std::unique_ptr<fake_engine> &Engine : Test.Engines)
    Engine->setFaults(Silent);
  // The load of another adapter finds out that the engines are silent.
  try {
    Test.place(Test.request(100, 10, "a2"), milliseconds(1'500));
  } catch (const spindle_error &Error) {
    REQUIRE(Error.code() == result_code::AdapterNotLoaded);
  }
  const std::optional<placed_engine> Second =
      Test.place(Test.request(100, 10, "a1"), milliseconds(1'000));
  REQUIRE(Second);
  REQUIRE(Second->Engine == First->Engine);
}

TEST_CASE("requests that wait for an engine that leaves are sent to others") {
  placer_fixture Test(2);
  for (const char *const Other : {"e0", "e1"}) {
    work_request Request = Test.request(8'900, 200);
    Request.Avoid = {upstream_id::ofName(Other)};
    REQUIRE(Test.place(Request, milliseconds(100)));
  }
  std::atomic<int> Sent = 0;
  for (int Number = 0; Number < 5; ++Number)
    Test.spawn([&Test, &Sent] {
      const std::optional<placed_engine> Placed = Test.Placer.place(
          Test.request(1'000, 10), Test.Clock.now() + milliseconds(4'000));
      if (Placed && Placed->Engine == upstream_id::ofName("e1"))
        ++Sent;
    });
  sleepFor(milliseconds(100));
  REQUIRE(Sent.load() == 0);
  Test.registerEngines(1, 1);
  while (Test.Running.load() > 0)
    sleepFor(milliseconds(5));
  REQUIRE(Sent.load() == 5);
  REQUIRE(Test.Placer.waitingRequests() == 0);
}

TEST_CASE("a leader that takes over begins without work and places") {
  placer_fixture Test(1);
  REQUIRE(Test.place(Test.request(100, LongOutput, "a1"), milliseconds(1'000)));
  adapter_controller Controller(Test.Clock, Test.Fleet, Test.ports());
  work_placer Successor(
      Test.Clock, Test.Fleet, Controller, "a",
      [&Test](std::string_view) { return std::optional(Test.Size); });
  REQUIRE(Successor.placedRequests() == 0);
  bool IsPlaced = false;
  Test.runBlocking([&] {
    IsPlaced = Successor
                   .place(Test.request(100, LongOutput, "a1"),
                          Test.Clock.now() + milliseconds(1'000))
                   .has_value();
  });
  REQUIRE(IsPlaced);
  REQUIRE(Successor.placedRequests() == 1);
  while (Test.Running.load() > 0)
    sleepFor(milliseconds(5));
}

TEST_CASE("an engine that loads an adapter reads other prompts meanwhile") {
  placer_fixture Test(1);
  fake_engine_faults Slow;
  Slow.LoadTime = milliseconds(1'000);
  Test.Engines[0]->setFaults(Slow);
  for (const char *const Adapter : {"a1", "a2"})
    Test.spawn([&Test, Adapter] {
      Test.Placer.place(Test.request(100, 10, Adapter),
                        Test.Clock.now() + milliseconds(800));
    });
  sleepFor(milliseconds(40));
  REQUIRE(Test.Placer.placedRequests() > 0);
  REQUIRE(Test.place(Test.request(100, 10), milliseconds(0)));
}
