#include "LibResidency/poll_schedule.h"

#include <map>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

/// Returns the polls of each owner within a minute, scheduled every 200 ms.
std::map<host_id, std::vector<time_point>>
pollForAMinute(const std::vector<poll_candidate> &Candidates) {
  poll_schedule Schedule;
  std::map<host_id, std::vector<time_point>> Polls;
  time_point Now{seconds(1'000)};
  for (int Step = 0; Step < 300; ++Step) {
    for (const host_id Owner : choosePolls(Schedule, Candidates, Now))
      Polls[Owner].push_back(Now);
    Now += milliseconds(200);
  }
  return Polls;
}

std::vector<poll_candidate> makeFleet(std::size_t OwnZone, std::size_t Others) {
  std::vector<poll_candidate> Candidates;
  for (std::size_t Index = 0; Index < OwnZone + Others; ++Index)
    Candidates.push_back({host_id{Index + 1}, Index < OwnZone});
  return Candidates;
}

} // namespace

TEST_CASE("polls of owners stay within their budget at any fleet size") {
  for (const std::size_t Others : {0, 5, 90, 333}) {
    std::size_t Total = 0;
    for (const auto &[Owner, Times] : pollForAMinute(makeFleet(36, Others)))
      Total += Times.size();
    INFO(Others);
    CHECK(Total <= 60 * 8 + 4);
    CHECK(Total >= 60 * 8 - 8);
  }
}

TEST_CASE("every owner is polled, and those of the own zone more often") {
  const std::map<host_id, std::vector<time_point>> Polls =
      pollForAMinute(makeFleet(36, 333));
  CHECK(Polls.size() == 369);
  CHECK(Polls.at(host_id{1}).size() > 2);
  // In a fleet of the current size, each owner is polled at least once a
  // second.
  for (const auto &[Owner, Times] : pollForAMinute(makeFleet(2, 4)))
    CHECK(Times.size() >= 60);
}
