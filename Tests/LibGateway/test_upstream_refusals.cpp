#include "LibGateway/upstream_admission.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

upstream_entry upstream(std::int64_t StartedAt) {
  upstream_entry Entry;
  Entry.Name = "e";
  Entry.Id = upstream_id::ofName(Entry.Name);
  Entry.StartedAt = StartedAt;
  return Entry;
}

time_point at(int Milliseconds) {
  return time_point(milliseconds(Milliseconds));
}

} // namespace

TEST_CASE("an upstream gets requests in a time for which it turned them away") {
  rc::prop("no request is admitted before the end of the longest time", [] {
    const std::vector<std::pair<int, int>> Refusals =
        *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(
            rc::gen::inRange(0, 5'000), rc::gen::inRange(0, 5'000)));
    upstream_admission Admission;
    const upstream_entry Upstream = upstream(1);
    time_point Until;
    for (const auto &[Now, Time] : Refusals) {
      noteRefusal(Admission, Upstream, milliseconds(Time), at(Now));
      Until = std::max(Until, at(Now + Time));
    }
    for (int Now = 0; Now < 11'000; Now += 50)
      RC_ASSERT(admitSend(Admission, Upstream, at(Now)) == (at(Now) >= Until));
  });
}

TEST_CASE("an upstream that starts anew is held to its predecessor's refusal") {
  upstream_admission Admission;
  noteRefusal(Admission, upstream(1), seconds(10), at(0));
  REQUIRE_FALSE(admitSend(Admission, upstream(1), at(100)));
  REQUIRE(admitSend(Admission, upstream(2), at(100)));
}
