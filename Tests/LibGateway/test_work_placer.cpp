#include "LibGateway/placement_message.h"
#include "LibGateway/placer_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

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

TEST_CASE("requests placed by several threads fit in the engines' memory") {
  for (int Round = 0; Round < 60; ++Round) {
    placer_fixture Test(2, 4);
    for (int Number = 0; Number < 24; ++Number)
      Test.spawn([&Test] {
        Test.Placer.place(Test.request(10, LongOutput),
                          Test.Clock.now() + milliseconds(5));
      });
    while (Test.Running.load() > 0)
      sleepFor(milliseconds(1));
    REQUIRE(Test.Placer.placedRequests() <= 4);
  }
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
