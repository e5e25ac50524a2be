#include "LibResilience/outlier_detector.h"

#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static const zone_id ZoneA = zone_id::ofName("a");
static const zone_id ZoneB = zone_id::ofName("b");

static std::vector<zoned_upstream> testUpstreams(int Count) {
  std::vector<zoned_upstream> Entries;
  Entries.reserve(static_cast<std::size_t>(Count));
  for (int Index = 0; Index < Count; ++Index)
    Entries.push_back({upstream_id::ofName("u" + std::to_string(Index)),
                       Index % 3 == 0 ? ZoneB : ZoneA});
  return Entries;
}

TEST_CASE("ejections never exceed the limit of a zone") {
  rc::prop("any history of outcomes, restarts and changes", [] {
    outlier_detector Detector;
    std::vector<zoned_upstream> Entries =
        testUpstreams(*rc::gen::inRange(1, 20));
    time_point Now{seconds(1)};
    setUpstreams(Detector, Entries, Now);
    for (int Step = 0; Step < 300; ++Step) {
      const upstream_id Upstream =
          Entries[*rc::gen::inRange<std::size_t>(0, Entries.size())].Upstream;
      const int Action = *rc::gen::inRange(0, 20);
      if (Action < 16)
        for (int Call = 0; Call < 5; ++Call)
          noteCallOutcome(
              Detector, Upstream,
              Action < 13 ? call_outcome::Failure : call_outcome::Success, Now);
      else if (Action == 16)
        noteIncarnation(Detector, Upstream, Step + 1, Now);
      else if (Action == 17) {
        Entries = testUpstreams(*rc::gen::inRange(1, 20));
        setUpstreams(Detector, Entries, Now);
      } else
        Now += milliseconds(*rc::gen::inRange(0, 10'000));
      for (const zone_id Zone : {ZoneA, ZoneB}) {
        double Ejected = 0;
        double Count = 0;
        for (const zoned_upstream &Entry : Entries) {
          const double Weight = weightOf(Detector, Entry.Upstream, Now);
          RC_ASSERT(Weight >= 0 && Weight <= 1);
          Count += Entry.Zone == Zone ? 1 : 0;
          Ejected += Entry.Zone == Zone && Weight == 0 ? 1 : 0;
        }
        RC_ASSERT(Ejected <= Detector.Settings.MaxEjectedFraction * Count);
      }
    }
  });
}

TEST_CASE("a failing upstream is ejected for longer each time") {
  outlier_detector Detector;
  const std::vector<zoned_upstream> Entries = testUpstreams(6);
  time_point Now{seconds(1)};
  setUpstreams(Detector, Entries, Now);
  const upstream_id Upstream = Entries[1].Upstream;
  const auto Fail = [&](call_outcome Outcome) {
    bool Ejected = false;
    for (int Call = 0; Call < 5; ++Call)
      Ejected = noteCallOutcome(Detector, Upstream, Outcome, Now) || Ejected;
    return Ejected;
  };
  SECTION("losses to a suspect request do not eject it") {
    CHECK_FALSE(Fail(call_outcome::LostToSuspect));
    CHECK(weightOf(Detector, Upstream, Now) == 1);
  }
  SECTION("it returns with a slow start and is ejected for twice as long") {
    REQUIRE(Fail(call_outcome::Failure));
    CHECK(weightOf(Detector, Upstream, Now + milliseconds(4'999)) == 0);
    Now += milliseconds(5'000);
    CHECK(weightOf(Detector, Upstream, Now) == Approx(0.1));
    CHECK(weightOf(Detector, Upstream, Now + seconds(5)) == Approx(0.5));
    CHECK(weightOf(Detector, Upstream, Now + seconds(10)) == 1);
    REQUIRE(Fail(call_outcome::Failure));
    CHECK(isEjected(Detector, Upstream, Now + milliseconds(9'999)));
    CHECK_FALSE(isEjected(Detector, Upstream, Now + seconds(10)));
  }
  SECTION("failure of every second call ejects it too") {
    bool Ejected = false;
    for (int Call = 0; Call < 30; ++Call) {
      const call_outcome Outcome =
          Call % 2 == 0 ? call_outcome::Failure : call_outcome::Success;
      Ejected = noteCallOutcome(Detector, Upstream, Outcome, Now) || Ejected;
    }
    CHECK(Ejected);
  }
  SECTION("a restarted engine gets a slow start") {
    noteIncarnation(Detector, Upstream, 1, Now);
    CHECK(weightOf(Detector, Upstream, Now) == 1);
    noteIncarnation(Detector, Upstream, 2, Now);
    CHECK(weightOf(Detector, Upstream, Now) == Approx(0.1));
  }
}
