#include "LibResilience/peer_health.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static const call_deadlines Route{milliseconds(30'000), milliseconds(10'000)};

static peer_health measuredPeer(milliseconds FirstByte, milliseconds Gap,
                                time_point Now) {
  peer_health Health;
  for (int Sample = 0; Sample < 100; ++Sample) {
    noteFirstByte(Health, FirstByte, Now);
    noteNextBytes(Health, Gap, Now);
  }
  return Health;
}

TEST_CASE("deadlines stay between the minimum and the route's") {
  rc::prop("any history of latencies and missed deadlines", [] {
    peer_health Health;
    const call_deadlines Limits{milliseconds(*rc::gen::inRange(10, 60'000)),
                                milliseconds(*rc::gen::inRange(10, 60'000))};
    const time_point Now{seconds(1)};
    const int Samples = *rc::gen::inRange(0, 100);
    nanoseconds Longest{0};
    for (int Sample = 0; Sample < Samples; ++Sample) {
      const milliseconds Latency(*rc::gen::inRange(0, 20'000));
      Longest = std::max<nanoseconds>(Longest, Latency);
      noteFirstByte(Health, Latency, Now);
      const bool Answered = *rc::gen::arbitrary<bool>();
      noteMissedDeadline(Health);
      noteVerified(Health, Answered, seconds(5), seconds(4), Now);
    }
    const call_deadlines Adapted = deadlinesFor(Health, Limits);
    RC_ASSERT(Adapted.FirstByte <= Limits.FirstByte);
    RC_ASSERT(Adapted.BetweenBytes == Limits.BetweenBytes);
    RC_ASSERT(
        Adapted.FirstByte >=
        std::min(Health.Settings.MinDeadlines.FirstByte, Limits.FirstByte));
  });
}

TEST_CASE("a dead connection is detected long before the route's deadline") {
  const time_point Now{seconds(1)};
  peer_health Health = measuredPeer(milliseconds(400), milliseconds(30), Now);
  const call_deadlines Adapted = deadlinesFor(Health, Route);
  CHECK(Adapted.FirstByte == milliseconds(5'000));
  CHECK(Adapted.BetweenBytes == milliseconds(2'000));
  CHECK(chooseConnection(Health, true) == connection_choice::Pooled);
  CHECK(noteMissedDeadline(Health) == connection_advice::VerifyPool);
  CHECK(chooseConnection(Health, true) == connection_choice::Fresh);
  SECTION("a response on a new connection clears the suspicion") {
    CHECK(noteVerified(Health, true, milliseconds(300), seconds(2), Now) ==
          connection_advice::Keep);
    CHECK(chooseConnection(Health, true) == connection_choice::Pooled);
    CHECK(deadlinesFor(Health, Route).FirstByte == Adapted.FirstByte);
  }
  SECTION("a new connection that fails means that the peer is down") {
    CHECK(noteVerified(Health, false, seconds(2), seconds(2), Now) ==
          connection_advice::PeerDown);
    CHECK(chooseConnection(Health, true) == connection_choice::Fresh);
  }
  SECTION("a deadline that may have been too short is longer for a while") {
    CHECK(deadlinesFor(Health, Route).FirstByte == 2 * Adapted.FirstByte);
    noteMissedDeadline(Health);
    CHECK(deadlinesFor(Health, Route).FirstByte == 4 * Adapted.FirstByte);
    for (int Answer = 0; Answer < 32; ++Answer)
      noteFirstByte(Health, milliseconds(400), Now);
    CHECK(deadlinesFor(Health, Route).FirstByte == Adapted.FirstByte);
  }
}

TEST_CASE("calls that must not be retried get a new connection") {
  CHECK(chooseConnection(peer_health{}, false) == connection_choice::Fresh);
}

TEST_CASE("idle connections are probed") {
  const time_point Now{seconds(1)};
  const peer_health Health =
      measuredPeer(milliseconds(400), milliseconds(30), Now);
  CHECK_FALSE(probeDue(Health, Now + seconds(14)));
  CHECK(probeDue(Health, Now + seconds(15)));
}

TEST_CASE("a lost peer is avoided until it responds or some time has passed") {
  const time_point Now{seconds(100)};
  peer_health Health;
  noteFirstByte(Health, milliseconds(5), Now);
  noteLost(Health, Now + seconds(1));
  CHECK(isLost(Health, Now + seconds(2)));
  CHECK_FALSE(isLost(Health, Now + seconds(4)));
  noteFirstByte(Health, milliseconds(5), Now + seconds(2));
  CHECK_FALSE(isLost(Health, Now + seconds(3)));
}
