#include "LibGateway/placer_fixture.h"

#include <catch2/catch.hpp>

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
