#include "LibScheduling/load_fairness.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("a customer's total weight grows far slower than its requests") {
  load_fairness Fairness;
  const customer_id Large = customer_id::ofName("large");
  const customer_id Small = customer_id::ofName("small");
  double LargeWeight = 0;
  {
    std::vector<load_fairness::load_waiter> Waiting;
    for (int Count = 0; Count < 100; ++Count) {
      Waiting.push_back(Fairness.addWaiter(Large, 1));
      LargeWeight += Waiting.back().Weight;
    }
    CHECK(LargeWeight < 6);
    CHECK(Fairness.addWaiter(Small, 2).Weight == 2);
  }
  CHECK(Fairness.addWaiter(Large, 1).Weight == 1);
}
