#include "LibResidency/residency_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

using history = std::vector<std::pair<std::uint8_t, std::uint16_t>>;

/// Events counted over all histories of a property.
struct coverage {
  std::size_t Evictions = 0;
  std::size_t Takeovers = 0;
};

static void checkHistory(const history &History, bool HonoursFencing,
                         coverage &Covered) {
  residency_simulation Simulation(HonoursFencing);
  for (const auto &[Operation, Argument] : History) {
    Simulation.runStep(Operation, Argument);
    RC_ASSERT(Simulation.Violation == std::string());
  }
  Covered.Evictions += Simulation.Evictions;
  Covered.Takeovers += Simulation.Takeovers;
  // Long enough to release the pins of hosts that restarted twice.
  Simulation.settle(120);
  RC_ASSERT(Simulation.Violation == std::string());
  RC_ASSERT(Simulation.openRequestCount() == 0U);
  RC_ASSERT(Simulation.serveEachAdapter() ==
            std::size_t{residency_simulation::AdapterCount});
  RC_ASSERT(Simulation.Violation == std::string());
}

/// Generates several histories per case, including long ones.
static std::vector<history> generateHistories() {
  return *rc::gen::container<std::vector<history>>(
      24, rc::gen::resize(800, rc::gen::arbitrary<history>()));
}

static void checkHistories(bool HonoursFencing) {
  // Static, since Catch runs the test case in several passes and enters the
  // section of the property in only one of them.
  static std::map<bool, coverage> CoveredBy;
  coverage &Covered = CoveredBy[HonoursFencing];
  rc::prop("over histories of failures", [HonoursFencing, &Covered] {
    for (const history &History : generateHistories())
      checkHistory(History, HonoursFencing, Covered);
  });
  REQUIRE(Covered.Evictions > 100);
  REQUIRE(Covered.Takeovers > 100);
}

TEST_CASE("engines with fencing evict no adapter in use, and every pin "
          "request completes") {
  checkHistories(true);
}

TEST_CASE("engines without fencing evict no adapter in use, and every pin "
          "request completes") {
  checkHistories(false);
}
