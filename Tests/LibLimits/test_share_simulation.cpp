#include "LibLimits/share_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static std::vector<std::uint32_t> arbitraryChoices() {
  constexpr std::size_t Length = 20'000;
  return *rc::gen::container<std::vector<std::uint32_t>>(
      Length, rc::gen::resize(rc::kNominalSize,
                              rc::gen::inRange<std::uint32_t>(0, 1U << 16U)));
}

static void checkSimulation(bool ChangeLimits) {
  share_simulation Simulation(arbitraryChoices(), ChangeLimits);
  constexpr int StepsBetweenSums = 8;
  int Step = 0;
  Simulation.run([&Step](const share_simulation &Current) {
    const loan_amount Sum = Current.sumInUse();
    RC_ASSERT(Sum.Rate <= Current.LargestRate);
    RC_ASSERT(Sum.Capacity <= Current.LargestBurst);
    if (++Step % StepsBetweenSums == 0)
      RC_ASSERT(Current.largestExcess() <= double(Current.LargestBurst.Count));
  });
  RC_CLASSIFY(Simulation.LoansAccepted > 100);
  RC_CLASSIFY(Simulation.Charges.size() > 150);
}

TEST_CASE("The fleet's shares never exceed a customer's rate and burst") {
  rc::prop("with one configuration", [] { checkSimulation(false); });
  rc::prop("with changes, the larger of the configurations",
           [] { checkSimulation(true); });
}
