#include "LibRouting/engine_facts.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

constexpr time_point Start{seconds(1'000)};
constexpr milliseconds Short{300};
constexpr milliseconds Long{3'000};

engine_reading slowed(double Slowdown) {
  engine_reading Reading;
  Reading.Slowdown = Slowdown;
  return Reading;
}

/// Notes one prompt every \p Pause until \p End and returns that time.
time_point notePrompts(engine_facts &Facts, double Ratio, time_point From,
                       milliseconds Pause, milliseconds For) {
  for (milliseconds At{0}; At < For; At += Pause)
    noteReadTimes(Facts, {Ratio, 1}, From + At);
  return From + For;
}

/// Any figure that an engine or a peer could state.
double anyFigure(std::mt19937_64 &Random) {
  switch (Random() % 6) {
  case 0:
    return std::numeric_limits<double>::quiet_NaN();
  case 1:
    return std::numeric_limits<double>::infinity();
  case 2:
    return -1e30;
  case 3:
    return 1e30;
  default:
    return std::uniform_real_distribution<double>(0, 5)(Random);
  }
}

engine_reading anyReading(std::mt19937_64 &Random) {
  engine_reading Reading;
  Reading.Running = static_cast<std::uint32_t>(Random());
  Reading.Waiting = static_cast<std::uint32_t>(Random() % 3);
  Reading.Slots = static_cast<std::uint32_t>(Random() % 3);
  if (Random() % 2 == 0)
    Reading.Slowdown = anyFigure(Random);
  return Reading;
}

} // namespace

// Guards against a choice by a slowdown that is over before the work is: the
// figure swings several times within the time of a long request.
TEST_CASE("a stated slowdown counts for short work and hardly for long work") {
  engine_facts Facts;
  noteReading(Facts, slowed(1), Start - seconds(1));
  noteReading(Facts, slowed(2.5), Start);
  REQUIRE(expectedTimeFactor(Facts, Short, Start) > 1.8);
  REQUIRE(expectedTimeFactor(Facts, Long, Start) < 1.4);
  REQUIRE(expectedTimeFactor(Facts, Short, Start + Long) < 1.2);
}

// Guards against counting the same slowness twice, as prompts that were read
// during a slowdown show it too.
TEST_CASE("a slowdown that always holds is part of the lasting factor") {
  engine_facts Facts;
  time_point Now = Start;
  for (int Step = 0; Step < 100; ++Step, Now += milliseconds(100)) {
    noteReading(Facts, slowed(2), Now);
    noteReadTimes(Facts, {2, 1}, Now);
  }
  REQUIRE(expectedTimeFactor(Facts, Short, Now) == Approx(2).epsilon(0.05));
  REQUIRE(expectedTimeFactor(Facts, Long, Now) == Approx(2).epsilon(0.05));
}

// Guards against a slow engine that gets its full part of requests for long,
// and against one that keeps its bad name. A tenth of the requests of an engine
// with 30 a second are three a second.
TEST_CASE("a lasting factor is found within 2 s and ends within 3 s") {
  constexpr milliseconds Pause{333};
  for (const double Ratio : {0.7, 1.8, 3.0}) {
    engine_facts Facts;
    const time_point Found =
        notePrompts(Facts, Ratio, Start, Pause, seconds(2));
    REQUIRE(std::abs(expectedTimeFactor(Facts, Long, Found) - Ratio) <
            0.35 * std::abs(Ratio - 1));
    const time_point Recovered =
        notePrompts(Facts, 1, Found, Pause, seconds(3));
    REQUIRE(std::abs(expectedTimeFactor(Facts, Long, Recovered) - 1) <
            0.25 * std::abs(Ratio - 1));
  }
}

TEST_CASE("an engine without traffic keeps an old factor for good") {
  engine_facts Facts;
  const time_point Found =
      notePrompts(Facts, 3, Start, milliseconds(100), seconds(2));
  REQUIRE(expectedTimeFactor(Facts, Long, Found + seconds(9)) > 2.5);
  REQUIRE(expectedTimeFactor(Facts, Long, Found + seconds(30)) < 1.1);
}

TEST_CASE("one wrong sample changes the factor much") {
  for (const double Wrong : {0.0, -5.0, 1e30, 1e-30}) {
    engine_facts Facts;
    noteReadTimes(Facts, {Wrong, 1}, Start);
    REQUIRE(std::abs(expectedTimeFactor(Facts, Long, Start) - 1) <= 0.41);
  }
}

TEST_CASE("waiting requests of an old reading count") {
  engine_facts Facts;
  REQUIRE(waitingRequests(Facts, Start) == 0);
  engine_reading Reading;
  Reading.Waiting = 7;
  noteReading(Facts, Reading, Start);
  REQUIRE(waitingRequests(Facts, Start + milliseconds(200)) == 7);
  REQUIRE(waitingRequests(Facts, Start + seconds(5)) == 0);
}

// Guards against a peer or an engine whose figures, in any order and of any
// age, make an engine free or shut it out for good.
TEST_CASE("some history of figures gives a factor outside its bounds") {
  rc::prop("any order of readings, samples and ages", [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    engine_facts Facts;
    for (int Step = 0; Step < 40; ++Step) {
      const time_point At = Start + milliseconds(Random() % 40'000);
      if (Random() % 2 == 0)
        noteReading(Facts, anyReading(Random), At);
      else
        noteReadTimes(
            Facts,
            {anyFigure(Random), static_cast<std::uint32_t>(Random() % 100)},
            At);
      const nanoseconds Duration =
          milliseconds(static_cast<std::int64_t>(Random() % 5'000) - 100);
      const time_point Now = Start + milliseconds(Random() % 60'000);
      const double Factor = expectedTimeFactor(Facts, Duration, Now);
      RC_ASSERT(Factor >= 0.1);
      RC_ASSERT(Factor <= 20);
    }
  });
}

// Guards against hosts that choose by different readings for good, because
// their messages arrived in different orders.
TEST_CASE("hosts that got the same readings know different newest ones") {
  rc::prop("in any order", [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    std::vector<std::pair<time_point, engine_reading>> Readings;
    for (std::uint64_t Count = 1 + Random() % 8; Count > 0; --Count)
      Readings.emplace_back(Start + milliseconds(Random() % 4),
                            anyReading(Random));
    engine_facts One;
    for (const auto &[At, Reading] : Readings)
      noteReading(One, Reading, At);
    std::shuffle(Readings.begin(), Readings.end(), Random);
    engine_facts Other;
    for (const auto &[At, Reading] : Readings)
      noteReading(Other, Reading, At);
    RC_ASSERT(One.ReadAt == Other.ReadAt);
    RC_ASSERT(*One.Reading == *Other.Reading);
  });
}
