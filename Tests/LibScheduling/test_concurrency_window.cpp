#include "LibScheduling/concurrency_window.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

TEST_CASE("the window adapts to idle slots and waiting requests") {
  concurrency_window Window;
  time_point Now{seconds(1)};
  updateWindow(Window, {144, 0, 0}, 7, true, Now);
  REQUIRE(windowSize(Window) == 20);
  const auto Step = [&](engine_load_summary Load, bool Backlogged) {
    Now += Window.Settings.MinChangeInterval;
    updateWindow(Window, Load, 7, Backlogged, Now);
    return windowSize(Window);
  };
  CHECK(Step({144, 70, 0}, true) > 20);
  const std::uint32_t Grown = windowSize(Window);
  CHECK(Step({144, 70, 0}, false) == Grown);
  CHECK(Step({144, 144, 4}, true) == Grown);
  CHECK(Step({144, 144, 40}, true) < Grown);
  SECTION("one lagging report changes the window once") {
    const std::uint32_t Before = windowSize(Window);
    updateWindow(Window, {144, 144, 40}, 7, true, Now);
    CHECK(windowSize(Window) == Before);
  }
}

TEST_CASE("the window stays between half a share and twice the slots") {
  rc::prop("for any sequence of reports", [] {
    concurrency_window Window;
    time_point Now{seconds(1)};
    const std::uint32_t Slots = *rc::gen::inRange(1, 500);
    const std::uint32_t Hosts = *rc::gen::inRange(1, 50);
    for (int Step = 0; Step < 100; ++Step) {
      const std::uint32_t Running = *rc::gen::inRange(0, 600);
      const std::uint32_t Waiting = *rc::gen::inRange(0, 600);
      updateWindow(Window, {Slots, Running, Waiting}, Hosts,
                   *rc::gen::arbitrary<bool>(), Now);
      Now += seconds(1);
      RC_ASSERT(windowSize(Window) >= 1U);
      RC_ASSERT(windowSize(Window) <= 2 * Slots);
      RC_ASSERT(windowSize(Window) + 1.0 >= Slots / (2.0 * Hosts));
    }
  });
}
