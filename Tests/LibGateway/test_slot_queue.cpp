#include "LibGateway/slot_queue.h"

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

const time_point Now{seconds(100)};
const upstream_id Engine = upstream_id::ofName("e1");

adapter_name adapter(int Number) { return {"m", "a" + std::to_string(Number)}; }

slot_request request(milliseconds OnTime, int Urgency = 0) {
  return {{Engine}, Now + OnTime, Now + OnTime + seconds(3), Urgency};
}

} // namespace

TEST_CASE("a slot goes first to requests that can still meet their objective") {
  slot_queue Queue;
  enterQueue(Queue, adapter(1), request(milliseconds(-10)));
  enterQueue(Queue, adapter(2), request(milliseconds(400)));
  REQUIRE(hasPriority(Queue, adapter(2), Engine, Now));
  REQUIRE_FALSE(hasPriority(Queue, adapter(1), Engine, Now));
  // Later both are late, and the one whose objective passed first wins.
  const time_point Later = Now + milliseconds(500);
  REQUIRE(hasPriority(Queue, adapter(1), Engine, Later));
}

TEST_CASE("urgent requests go first, then the adapter with most requests") {
  slot_queue Queue;
  enterQueue(Queue, adapter(1), request(milliseconds(300), 1));
  enterQueue(Queue, adapter(1), request(milliseconds(300), 1));
  enterQueue(Queue, adapter(2), request(milliseconds(100), 1));
  REQUIRE(hasPriority(Queue, adapter(1), Engine, Now));
  enterQueue(Queue, adapter(3), request(milliseconds(500), 0));
  REQUIRE(hasPriority(Queue, adapter(3), Engine, Now));
  REQUIRE_FALSE(hasPriority(Queue, adapter(1), Engine, Now));
}

TEST_CASE("only requests that accept the engine compete for its slots") {
  slot_queue Queue;
  slot_request Elsewhere = request(milliseconds(100));
  Elsewhere.Engines = {upstream_id::ofName("e2")};
  enterQueue(Queue, adapter(1), Elsewhere);
  const std::uint64_t Ticket =
      enterQueue(Queue, adapter(2), request(milliseconds(300)));
  REQUIRE(hasPriority(Queue, adapter(2), Engine, Now));
  leaveQueue(Queue, adapter(2), Ticket);
  REQUIRE(Queue.Waiting.size() == 1);
}

TEST_CASE("the expected wait follows from the queue and the grant rate") {
  slot_queue Queue;
  const slot_request Late = request(milliseconds(-10));
  REQUIRE_FALSE(expectedWait(Queue, adapter(9), Late, Now));
  for (int Grant = 0; Grant < 4; ++Grant)
    noteGrant(Queue, Now - milliseconds(400 * Grant));
  for (int Number = 0; Number < 3; ++Number)
    enterQueue(Queue, adapter(Number), request(milliseconds(300)));
  // Four grants in two seconds, with three adapters ahead.
  REQUIRE(*expectedWait(Queue, adapter(9), Late, Now) == seconds(2));
  // A request that can still meet its objective waits less.
  REQUIRE(*expectedWait(Queue, adapter(9), request(milliseconds(100)), Now) <
          seconds(1));
  REQUIRE_FALSE(
      expectedWait(Queue, adapter(9), Late, Now + seconds(5)).has_value());
}
