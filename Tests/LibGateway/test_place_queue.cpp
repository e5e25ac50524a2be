#include "LibGateway/place_queue.h"

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

TEST_CASE("a place goes to whom it still helps in time") {
  slot_queue Queue;
  enterQueue(Queue, adapter(1), request(milliseconds(-10)));
  enterQueue(Queue, adapter(2), request(milliseconds(400)));
  REQUIRE(hasPriority(Queue, adapter(2), Engine, Now));
  REQUIRE_FALSE(hasPriority(Queue, adapter(1), Engine, Now));
  // A moment later both are late, and the longer wait counts.
  const time_point Later = Now + milliseconds(500);
  REQUIRE(hasPriority(Queue, adapter(1), Engine, Later));
}

TEST_CASE("the urgent go first, then those whom most wait with") {
  slot_queue Queue;
  enterQueue(Queue, adapter(1), request(milliseconds(300), 1));
  enterQueue(Queue, adapter(1), request(milliseconds(300), 1));
  enterQueue(Queue, adapter(2), request(milliseconds(100), 1));
  REQUIRE(hasPriority(Queue, adapter(1), Engine, Now));
  enterQueue(Queue, adapter(3), request(milliseconds(500), 0));
  REQUIRE(hasPriority(Queue, adapter(3), Engine, Now));
  REQUIRE_FALSE(hasPriority(Queue, adapter(1), Engine, Now));
}

TEST_CASE("only those who want the engine are waited for") {
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

TEST_CASE("the wait follows from who is ahead and the pace of grants") {
  slot_queue Queue;
  const slot_request Late = request(milliseconds(-10));
  REQUIRE_FALSE(expectedWait(Queue, adapter(9), Late, Now));
  for (int Grant = 0; Grant < 4; ++Grant)
    noteGrant(Queue, Now - milliseconds(400 * Grant));
  for (int Number = 0; Number < 3; ++Number)
    enterQueue(Queue, adapter(Number), request(milliseconds(300)));
  // Four grants in two seconds, and three adapters are ahead.
  REQUIRE(*expectedWait(Queue, adapter(9), Late, Now) == seconds(2));
  // One that can still be in time goes before a part of them.
  REQUIRE(*expectedWait(Queue, adapter(9), request(milliseconds(100)), Now) <
          seconds(1));
  REQUIRE_FALSE(
      expectedWait(Queue, adapter(9), Late, Now + seconds(5)).has_value());
}
