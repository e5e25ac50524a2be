#include "LibLimits/limiter_fleet.h"

#include "LibCore/retry_after_error.h"

#include <catch2/catch.hpp>

using namespace spindle;

static constexpr int Admitted = 0;
static constexpr int RateExceeded = static_cast<int>(result_code::RateExceeded);

TEST_CASE("One host can borrow and spend the whole burst, and no more") {
  limiter_fleet Fleet(4);
  Fleet.setCustomer(1'000, 4'000);
  Fleet.runFor(seconds(20));
  int Count = 0;
  while (Fleet.reserve(0, 100) == Admitted && Count <= 45)
    ++Count;
  // Some more accrue at 1,000 a second during the waits of 50 ms.
  CHECK(Count >= 35);
  CHECK(Count <= 45);
  CHECK(Fleet.reserve(0, 4'001) ==
        static_cast<int>(result_code::RequestExceedsBurst));
}

TEST_CASE("A share starts empty after the growth delay and expires") {
  limiter_fleet Fleet(1);
  Fleet.setCustomer(1'000, 1'000);
  CHECK_FALSE(Fleet.Limiters[0]->holdsShare());
  CHECK(Fleet.reserve(0, 1) == static_cast<int>(result_code::ShareUnavailable));
  Fleet.runFor(ShareGrowthDelay + milliseconds(200));
  CHECK(Fleet.Limiters[0]->holdsShare());
  CHECK(Fleet.reserve(0, 1'000) == RateExceeded);
  Fleet.runFor(seconds(1));
  CHECK(Fleet.reserve(0, 900) == Admitted);
  Fleet.assignShare(0, 1'000'000, seconds(2));
  Fleet.Clock.advance(seconds(3));
  CHECK(Fleet.reserve(0, 1) == static_cast<int>(result_code::ShareUnavailable));
}

TEST_CASE("A refusal states when to retry") {
  limiter_fleet Fleet(1);
  Fleet.setCustomer(100, 1'000);
  Fleet.runFor(seconds(20));
  REQUIRE(Fleet.reserve(0, 1'000) == Admitted);
  try {
    Fleet.Limiters[0]->reserve(customer_id::ofName("customer"), {200},
                               Fleet.Clock.now());
    FAIL("admitted");
  } catch (const retry_after_error &Error) {
    CHECK(Error.code() == result_code::RateExceeded);
    Fleet.Clock.advance(Error.retryAfter());
    CHECK(Error.retryAfter() <= milliseconds(2'001));
  }
  CHECK(Fleet.reserve(0, 200) == Admitted);
}

TEST_CASE("A loan whose reply is lost is used by nobody until its end") {
  limiter_fleet Fleet(2);
  Fleet.setCustomer(100, 4'000);
  Fleet.runFor(seconds(50));
  Fleet.LosesReplies[1] = true;
  CHECK(Fleet.reserve(0, 3'000) == RateExceeded);
  // The 1,000 tokens that host 0 tried to borrow are lost until the loan ends;
  // the other 3,000 can be spent.
  int Count = 0;
  while (Fleet.reserve(1, 100) == Admitted)
    ++Count;
  while (Fleet.reserve(0, 100) == Admitted)
    ++Count;
  CHECK(Count >= 29);
  CHECK(Count <= 32);
}

TEST_CASE("A draining host repays and lends all it has") {
  limiter_fleet Fleet(2);
  Fleet.setCustomer(100, 2'000);
  Fleet.runFor(seconds(25));
  REQUIRE(Fleet.reserve(0, 1'500) == Admitted);
  Fleet.Limiters[0]->startDrain();
  Fleet.runFor(milliseconds(100));
  CHECK(Fleet.reserve(1, 1'200) != Admitted);
  Fleet.runFor(seconds(13));
  CHECK(Fleet.reserve(1, 1'400) == Admitted);
}

TEST_CASE("The load budget is shared and moves to the hosts that load") {
  limiter_fleet Fleet(7);
  for (const std::unique_ptr<rate_limiter> &Limiter : Fleet.Limiters)
    Limiter->setLoadBudget(2, 8);
  Fleet.runFor(seconds(10));
  int Started = 0;
  for (int Step = 0; Step < 100; ++Step) {
    for (std::size_t Host = 0; Host < 2; ++Host)
      if (Fleet.Limiters[Host]->tryReserveLoad(Fleet.Clock.now()))
        ++Started;
    Fleet.runFor(milliseconds(100));
  }
  // No load is settled, so the limit of 8 in flight applies.
  CHECK(Started <= 8);
  CHECK(Started >= 6);
  for (int Done = 0; Done < Started / 2; ++Done)
    Fleet.Limiters[0]->settleLoad();
  Fleet.runFor(seconds(4));
  CHECK(Fleet.Limiters[0]->tryReserveLoad(Fleet.Clock.now()));
}
