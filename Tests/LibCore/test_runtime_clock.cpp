#include "LibCore/runtime_clock.h"

#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("a paused clock moves only when it is advanced") {
  runtime_clock Clock;
  Clock.pause();
  const time_point Before = Clock.now();
  const wall_time WallBefore = Clock.wallNow();
  REQUIRE(Clock.now() == Before);
  Clock.advance(seconds(3));
  REQUIRE(Clock.now() - Before == seconds(3));
  REQUIRE(Clock.wallNow().Milliseconds - WallBefore.Milliseconds == 3000);
}
