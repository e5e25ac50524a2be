#include "LibRouting/placed_work.h"

#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

const time_point Start{seconds(100)};

request_work work(int ReadingMilliseconds, int WritingMilliseconds = 300) {
  return {milliseconds(ReadingMilliseconds), milliseconds(WritingMilliseconds),
          ReadingMilliseconds * 38, milliseconds(500)};
}

} // namespace

// Guards against a backlog that is counted twice or not at all, which sends
// prompts to engines that are busy.
TEST_CASE("prompts are read one after the other") {
  placed_work Engine;
  addWork(Engine, work(200), Start);
  addWork(Engine, work(100), Start + milliseconds(50));
  REQUIRE(readingBacklog(Engine, Start + milliseconds(50)) ==
          milliseconds(250));
  REQUIRE(readingBacklog(Engine, Start + seconds(1)) == nanoseconds(0));
  dropEnded(Engine, Start + milliseconds(500));
  REQUIRE(Engine.Requests.size() == 1);
}

// Guards against requests that were never sent and hold their place.
TEST_CASE("a cancelled request leaves its place to those behind it") {
  placed_work Engine;
  const std::uint64_t First = addWork(Engine, work(200), Start);
  addWork(Engine, work(100), Start);
  cancelWork(Engine, First, Start);
  REQUIRE(readingBacklog(Engine, Start) == milliseconds(100));
  REQUIRE(Engine.Requests.front().EndsAt == Start + milliseconds(400));
  cancelWork(Engine, First, Start);
  REQUIRE(Engine.Requests.size() == 1);
}

TEST_CASE(
    "whatever is added and cancelled, the sums are those of what is left") {
  rc::check([](const std::vector<std::uint8_t> &Steps) {
    placed_work Engine;
    std::vector<std::uint64_t> Tickets;
    time_point Now = Start;
    for (const std::uint8_t Step : Steps) {
      Now += milliseconds(Step % 40);
      if (Step % 3 == 0 && !Tickets.empty()) {
        cancelWork(Engine, Tickets.back(), Now);
        Tickets.pop_back();
      } else {
        Tickets.push_back(addWork(Engine, work(Step), Now));
      }
      dropEnded(Engine, Now);
    }
    std::int64_t Memory = 0;
    nanoseconds Reading{0};
    for (const placed_request &Request : Engine.Requests) {
      RC_ASSERT(Request.EndsAt > Now);
      Memory += Request.Work.MemoryTokens;
      Reading += Request.Work.Reading;
    }
    RC_ASSERT(memoryInUse(Engine) == Memory);
    RC_ASSERT(readingBacklog(Engine, Now) >= nanoseconds(0));
    RC_ASSERT(readingBacklog(Engine, Now) <= Reading);
    RC_ASSERT(squaredReadingRate(Engine, Now) >= 0);
  });
}
