#include "LibLimits/share_history.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static std::vector<std::uint32_t> anyTape() {
  constexpr std::size_t Length = 20'000;
  return *rc::gen::container<std::vector<std::uint32_t>>(
      Length, rc::gen::resize(rc::kNominalSize,
                              rc::gen::inRange<std::uint32_t>(0, 1U << 16U)));
}

static void checkHistory(bool ChangeConfiguration) {
  share_history History(anyTape(), ChangeConfiguration);
  constexpr int StepsBetweenSums = 8;
  int Step = 0;
  History.play([&Step](const share_history &Played) {
    const loan_amount Sum = Played.sumInUse();
    RC_ASSERT(Sum.Rate <= Played.LargestRate);
    RC_ASSERT(Sum.Capacity <= Played.LargestBurst);
    if (++Step % StepsBetweenSums == 0)
      RC_ASSERT(Played.largestExcess() <= double(Played.LargestBurst.Count));
  });
  RC_CLASSIFY(History.LoansAccepted > 100);
  RC_CLASSIFY(History.Charges.size() > 150);
}

TEST_CASE("The fleet's shares never exceed a customer's rate and burst") {
  rc::prop("with one configuration", [] { checkHistory(false); });
  rc::prop("with changes, the larger of the configurations",
           [] { checkHistory(true); });
}
