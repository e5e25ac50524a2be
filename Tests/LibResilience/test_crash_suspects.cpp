#include "LibResilience/crash_suspects.h"
#include "LibResilience/suspect_document.h"

#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static request_fingerprint testFingerprint(int Index) {
  return fingerprintOf(customer_id::ofName("t"), "adapter@1",
                       "body" + std::to_string(Index));
}

static upstream_id engine(int Index) {
  return upstream_id::ofName("engine" + std::to_string(Index));
}

namespace {

/// Hosts that run requests on shared engines and exchange suspects before they
/// continue, as suspect_registry does.
struct test_fleet {
  static constexpr int Hosts = 3;
  static constexpr int Engines = 9;
  std::vector<crash_suspects> Boards{Hosts};
  time_point Now{seconds(1)};

  void share(int From) {
    const std::vector<suspect_record> Records = takeUnshared(Boards[From], Now);
    for (int Host = 0; Host < Hosts; ++Host)
      if (Host != From)
        mergeSuspects(Boards[Host], Records, Now);
  }

  bool start(int Host, int Engine, request_fingerprint Fingerprint) {
    if (isQuarantined(Boards[Host], Fingerprint, Now) ||
        !mayStartOn(Boards[Host], engine(Engine), Fingerprint, Now))
      return false;
    noteRunStarted(Boards[Host], engine(Engine), Fingerprint, Now);
    return true;
  }

  void crash(int Engine) {
    for (int Host = 0; Host < Hosts; ++Host)
      noteUpstreamLost(Boards[Host], engine(Engine), Now);
    for (int Host = 0; Host < Hosts; ++Host)
      share(Host);
  }
};

} // namespace

TEST_CASE("a request that crashes engines crashes at most two") {
  rc::prop("repeated forever, through any host, among other requests", [] {
    test_fleet Fleet;
    const request_fingerprint Crashing = testFingerprint(0);
    std::vector<std::tuple<int, int, request_fingerprint>> Runs;
    int Crashes = 0;
    int NextIndex = 1;
    for (int Step = 0; Step < 200; ++Step) {
      const int Host = *rc::gen::inRange(0, test_fleet::Hosts);
      const int Engine = *rc::gen::inRange(0, test_fleet::Engines);
      const int Action = *rc::gen::inRange(0, 6);
      if (Action < 2) {
        if (Fleet.start(Host, Engine, testFingerprint(NextIndex)))
          Runs.push_back({Host, Engine, testFingerprint(NextIndex++)});
      } else if (Action == 2 && !Runs.empty()) {
        const auto [RunHost, RunEngine, Fingerprint] = Runs.back();
        Runs.pop_back();
        noteRunEnded(Fleet.Boards[RunHost], engine(RunEngine), Fingerprint,
                     run_end::Completed, Fleet.Now);
      } else {
        // The caller repeats the request before the quarantine ends, and the
        // host's next update reaches the other hosts before the next attempt.
        Fleet.Now += seconds(*rc::gen::inRange(0, 200));
        for (int Tried = 0; Tried < test_fleet::Engines; ++Tried) {
          const int Next = (Engine + Tried) % test_fleet::Engines;
          if (!Fleet.start(Host, Next, Crashing))
            continue;
          ++Crashes;
          Fleet.crash(Next);
          std::erase_if(Runs, [Next](const auto &Run) {
            return std::get<1>(Run) == Next;
          });
          break;
        }
        Fleet.share(Host);
      }
      RC_ASSERT(Crashes <= 2);
    }
  });
}

TEST_CASE("merging is commutative and idempotent") {
  rc::prop("hosts that receive the same records agree", [] {
    const time_point Now{seconds(1)};
    crash_suspects Left;
    crash_suspects Right;
    suspect_document Document;
    std::vector<suspect_record> Records;
    const int Count = *rc::gen::inRange(1, 20);
    Records.reserve(static_cast<std::size_t>(Count));
    for (int Index = 0; Index < Count; ++Index)
      Records.push_back({testFingerprint(*rc::gen::inRange(0, 5)),
                         {engine(*rc::gen::inRange(0, 4))},
                         milliseconds(200'000)});
    const wall_time Wall{1'000};
    mergeSuspects(Left, Records, Now);
    for (const suspect_record &Record : Records)
      mergeIntoDocument(Document, {Record}, Wall);
    RC_ASSERT(!mergeIntoDocument(Document, Records, Wall));
    RC_ASSERT(!mergeSuspects(Left, Records, Now));
    std::reverse(Records.begin(), Records.end());
    mergeSuspects(Right, Records, Now);
    mergeSuspects(Right, recordsOf(Document, Wall), Now);
    for (int Index = 0; Index < 5; ++Index)
      RC_ASSERT(isQuarantined(Left, testFingerprint(Index), Now) ==
                isQuarantined(Right, testFingerprint(Index), Now));
  });
}

TEST_CASE("running requests become suspects until they complete") {
  crash_suspects Board;
  const time_point Now{seconds(1)};
  for (int Index = 0; Index < 3; ++Index)
    noteRunStarted(Board, engine(0), testFingerprint(Index), Now);
  noteRunEnded(Board, engine(0), testFingerprint(2), run_end::Failed, Now);
  noteUpstreamLost(Board, engine(0), Now);
  // The handlers of the lost runs report the loss later.
  noteRunEnded(Board, engine(0), testFingerprint(0), run_end::Lost, Now);
  CHECK(isSuspect(Board, testFingerprint(0), Now));
  CHECK(isSuspect(Board, testFingerprint(1), Now));
  CHECK_FALSE(isSuspect(Board, testFingerprint(2), Now));
  CHECK_FALSE(isQuarantined(Board, testFingerprint(0), Now));
  CHECK_FALSE(mayStartOn(Board, engine(0), testFingerprint(0), Now));
  REQUIRE(mayStartOn(Board, engine(1), testFingerprint(0), Now));
  noteRunStarted(Board, engine(1), testFingerprint(0), Now);
  SECTION("two suspects never share an upstream") {
    CHECK_FALSE(mayStartOn(Board, engine(1), testFingerprint(1), Now));
    CHECK(mayStartOn(Board, engine(1), testFingerprint(3), Now));
  }
  SECTION("a suspect runs once at a time") {
    CHECK_FALSE(mayStartOn(Board, engine(2), testFingerprint(0), Now));
  }
  SECTION("a complete response clears it") {
    noteRunEnded(Board, engine(1), testFingerprint(0), run_end::Completed, Now);
    CHECK_FALSE(isSuspect(Board, testFingerprint(0), Now));
  }
  SECTION("a second loss quarantines it until it is no longer requested") {
    noteRunEnded(Board, engine(1), testFingerprint(0), run_end::Lost, Now);
    CHECK(isQuarantined(Board, testFingerprint(0), Now + seconds(290)));
    CHECK(isQuarantined(Board, testFingerprint(0), Now + seconds(580)));
    CHECK_FALSE(isQuarantined(Board, testFingerprint(0), Now + seconds(881)));
  }
}

TEST_CASE("requests that had run for longer are retried later") {
  crash_suspects Board;
  time_point Now{seconds(1)};
  noteRunStarted(Board, engine(0), testFingerprint(0), Now);
  Now += seconds(1);
  noteRunStarted(Board, engine(0), testFingerprint(1), Now);
  Now += milliseconds(300);
  const nanoseconds Longer =
      noteRunEnded(Board, engine(0), testFingerprint(0), run_end::Lost, Now);
  const nanoseconds Shorter =
      noteRunEnded(Board, engine(0), testFingerprint(1), run_end::Lost, Now);
  CHECK(Shorter == milliseconds(600));
  CHECK(Longer == milliseconds(2'600));
  CHECK(noteRunEnded(Board, engine(0), testFingerprint(1), run_end::Lost,
                     Now) == nanoseconds(0));
  CHECK(pauseBeforeRetry(seconds(60)) == seconds(3));
}

TEST_CASE(
    "the number of suspects is bounded and quarantines are evicted last") {
  crash_suspects Board;
  Board.Settings.MaxSuspects = 10;
  time_point Now{seconds(1)};
  for (const int Engine : {0, 1}) {
    noteRunStarted(Board, engine(Engine), testFingerprint(0), Now);
    noteUpstreamLost(Board, engine(Engine), Now);
  }
  for (int Index = 1; Index < 50; ++Index) {
    Now += seconds(1);
    noteRunStarted(Board, engine(2), testFingerprint(Index), Now);
    noteUpstreamLost(Board, engine(2), Now);
  }
  CHECK(Board.Suspects.size() == 10);
  CHECK(Board.Expiry.size() == 10);
  CHECK(isQuarantined(Board, testFingerprint(0), Now));
  expireSuspects(Board, Now + seconds(1'000));
  CHECK(Board.Suspects.empty());
  CHECK(Board.Expiry.empty());
}
