#include "LibResidency/residency_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

using history = std::vector<std::pair<std::uint8_t, std::uint16_t>>;

/// How much happened over all histories of a property.
struct coverage {
  std::size_t Evictions = 0;
  std::size_t Takeovers = 0;
};

static void holdsOver(const history &History, bool HonoursFencing,
                      coverage &Covered) {
  residency_world World(HonoursFencing);
  for (const auto &[Operation, Argument] : History) {
    World.step(Operation, Argument);
    RC_ASSERT(World.Violation == std::string());
  }
  Covered.Evictions += World.Evictions;
  Covered.Takeovers += World.Takeovers;
  // Long enough for pins of hosts that restarted twice to be released.
  World.settle(120);
  RC_ASSERT(World.Violation == std::string());
  RC_ASSERT(World.openAsks() == 0U);
  RC_ASSERT(World.serveEach() == std::size_t{residency_world::AdapterCount});
  RC_ASSERT(World.Violation == std::string());
}

/// Several histories a case, long ones among them.
static std::vector<history> drawHistories() {
  return *rc::gen::container<std::vector<history>>(
      24, rc::gen::resize(800, rc::gen::arbitrary<history>()));
}

static void checkHistories(bool HonoursFencing) {
  // Catch enters the section of a property in one pass of several.
  static std::map<bool, coverage> CoveredBy;
  coverage &Covered = CoveredBy[HonoursFencing];
  rc::prop("over histories of failures", [HonoursFencing, &Covered] {
    for (const history &History : drawHistories())
      holdsOver(History, HonoursFencing, Covered);
  });
  REQUIRE(Covered.Evictions > 100);
  REQUIRE(Covered.Takeovers > 100);
}

TEST_CASE("engines that honour fencing: none evicts an adapter in use, and "
          "every wait ends") {
  checkHistories(true);
}

TEST_CASE("engines that ignore fencing: none evicts an adapter in use, and "
          "every wait ends") {
  checkHistories(false);
}
