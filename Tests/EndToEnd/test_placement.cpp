#include "EndToEnd/caller.h"
#include "EndToEnd/forwarding_fleet.h"

#include <optional>

#include <catch2/catch.hpp>

using namespace spindle;

static int runsOf(const forwarding_fleet &Fleet, const std::string &Id) {
  int Runs = 0;
  for (const std::unique_ptr<upstream_stand_in> &Engine : Fleet.Engines)
    Runs += Engine->runsOf(Id);
  return Runs;
}

static std::string adapterOf(int Number) {
  return "a" + std::to_string(Number % 3);
}

/// Sends requests from both hosts of zone a until one of them has placed some.
static std::optional<std::size_t> findLeader(forwarding_fleet &Fleet) {
  for (int Number = 0; Number < 400; ++Number) {
    Fleet.ask(static_cast<std::size_t>(Number) % 2,
              "before" + std::to_string(Number), adapterOf(Number));
    for (std::size_t Host = 0; Host < 2; ++Host)
      if (Fleet.metric(Host, "spindle_placed_requests") > 0)
        return Host;
  }
  return std::nullopt;
}

// The leader has what is placed in its memory only. When it is killed, others
// must neither wait for it nor send again what it has placed.
TEST_CASE("requests are served, and none twice, when the leader that places "
          "them is killed") {
  forwarding_fleet Fleet({3, 1});
  const std::optional<std::size_t> Leader = findLeader(Fleet);
  REQUIRE(Leader);
  const std::size_t Other = 1 - *Leader;
  constexpr int Count = 40;
  constexpr int MostRefused = 4;
  int Refused = 0;
  for (int Number = 0; Number < Count; ++Number) {
    if (Number == 5)
      Fleet.killHost(*Leader);
    const std::string Id = "n" + std::to_string(Number);
    const forwarded_answer Answer = Fleet.ask(Other, Id, adapterOf(Number));
    INFO(Id << ": status " << Answer.Status);
    CHECK(runsOf(Fleet, Id) == (Answer.Status == 200 ? 1 : 0));
    Refused += Answer.Status == 200 ? 0 : 1;
    CHECK(Answer.Whole);
    sleepFor(milliseconds(150));
  }
  CHECK(Refused <= MostRefused);
  CHECK(holdsWithin(seconds(5), [&] {
    Fleet.ask(Other, "after", "a1");
    return Fleet.metric(Other, "spindle_placed_requests") > 0;
  }));
}
