// Guards against runs that differ though their seeds are the same: work for
// one time that changes places, and work that runs after the end of a run.
#include "LibLoad/event_queue.h"
#include "LibLoad/percentile.h"

#include <string>

#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("work is taken by time, and as added at the same time") {
  const time_point Start{seconds(100)};
  event_queue Events;
  std::string Order;
  const auto Add = [&](milliseconds After, char Letter) {
    Events.add(Start + After, [&Order, Letter] { Order += Letter; });
  };
  Add(milliseconds(2), 'd');
  Add(milliseconds(1), 'a');
  Add(milliseconds(1), 'b');
  Add(milliseconds(1), 'c');
  Add(milliseconds(3), 'e');
  while (const std::optional<timed_work> Next =
             Events.takeUntil(Start + milliseconds(2)))
    Next->Work();
  REQUIRE(Order == "abcd");
}

TEST_CASE("a percentile is one of the values") {
  const std::vector<double> Values{5, 1, 4, 2, 3};
  REQUIRE(percentile(Values, 0) == 1);
  REQUIRE(percentile(Values, 0.5) == 3);
  REQUIRE(percentile(Values, 1) == 5);
  REQUIRE(percentile({}, 0.5) == 0);
}
