#include "LibGateway/limit_fleet.h"

#include <array>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

// A limit binds from this long after the upstream first stated it.
constexpr milliseconds StableWindow{3'000};

std::size_t maxInFourSeconds(double RequestsPerSecond) {
  return static_cast<std::size_t>(1.5 * 4 * RequestsPerSecond + 5);
}

} // namespace

TEST_CASE("hosts that each keep to a stated limit exceed it together") {
  const auto [Limit, HostsPerZone] =
      GENERATE(table<double, std::size_t>({{1.4, 3},
                                           {1.1, 3},
                                           {1.1, 23},
                                           {1.1, 65},
                                           {8.0, 3},
                                           {30.0, 23},
                                           {0.0, 3}}));
  const int ResponseTime = GENERATE(5, 300, 2'000);
  limit_fleet Fleet(3, HostsPerZone, milliseconds(ResponseTime));
  Fleet.run(seconds(2));
  Fleet.state(Limit);
  Fleet.run(milliseconds(ResponseTime) + StableWindow);
  Fleet.run(seconds(12));
  REQUIRE(Fleet.busiestFourSeconds(seconds(12)) <= maxInFourSeconds(Limit));
  REQUIRE(static_cast<double>(Fleet.sentWithin(seconds(12))) >=
          Limit * 12 * 0.8);
}

TEST_CASE("hosts that get no response keep to a limit that has ended") {
  limit_fleet Fleet(3, 8, milliseconds(50));
  Fleet.state(1.1);
  Fleet.run(seconds(5));
  Fleet.state(std::nullopt);
  Fleet.run(seconds(3));
  const std::size_t EverySend = Fleet.size() * 20;
  REQUIRE(Fleet.sentWithin(seconds(1)) >= EverySend);
}

TEST_CASE("an upstream that starts anew is held to its predecessor's limit") {
  limit_fleet Fleet(3, 8, milliseconds(50));
  Fleet.state(1.1);
  Fleet.run(seconds(5));
  Fleet.restartUpstream();
  Fleet.run(milliseconds(100));
  REQUIRE(Fleet.sentWithin(milliseconds(100)) >= Fleet.size() * 2);
}

TEST_CASE("cuts, hosts that come and go, and other limits exceed a limit") {
  rc::prop("the upstream gets at most what its highest limit allows", [] {
    const int ResponseTime = *rc::gen::inRange(5, 1'500);
    limit_fleet Fleet(3, 4, milliseconds(ResponseTime));
    Fleet.run(seconds(1));
    double Highest = *rc::gen::inRange(0, 60) / 10.0;
    Fleet.state(Highest);
    Fleet.run(milliseconds(ResponseTime) + StableWindow);
    const std::vector<std::array<unsigned, 2>> Steps =
        *rc::gen::container<std::vector<std::array<unsigned, 2>>>(
            rc::gen::container<std::array<unsigned, 2>>(
                rc::gen::resize(100, rc::gen::inRange(0U, 1'000U))));
    for (const auto &[Kind, Argument] : Steps) {
      if (Kind % 3 == 0)
        Fleet.setCut(Argument % 3, Argument % 2 == 0);
      else if (Kind % 3 == 1)
        Fleet.setRegistered(Argument % Fleet.size(), Argument % 5 > 0);
      else
        Fleet.state(std::min(Highest, (Argument % 60) / 10.0));
      Fleet.run(seconds(4) + milliseconds(Argument));
      RC_ASSERT(Fleet.busiestFourSeconds(seconds(8)) <=
                maxInFourSeconds(Highest));
    }
  });
}
