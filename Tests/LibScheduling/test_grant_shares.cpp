// Guards against starvation: one customer or one kind of request that asks for
// far more than there is must leave every other one its part, whoever else
// comes and goes meanwhile.
#include "LibScheduling/grant_shares.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

constexpr int Urgencies = 3;

customer_id customer(int Number) {
  return customer_id::ofName("c" + std::to_string(Number));
}

share_claim claim(int Urgency, int Number) {
  return {Urgency, customer(Number)};
}

/// Grants to the first of the waiting claims and returns it.
share_claim grantNext(grant_shares &Shares,
                      const std::set<share_claim> &Waiting,
                      std::uint32_t Passes = 1) {
  const share_claim First = *std::min_element(
      Waiting.begin(), Waiting.end(),
      [&](const share_claim &One, const share_claim &Other) {
        return rankOf(Shares, One).key() < rankOf(Shares, Other).key();
      });
  const std::vector<share_claim> Served{First};
  noteGrant(Shares, Served, Waiting, Passes);
  return First;
}

/// The most grants to others while a claim waits.
double longestWait(const grant_shares &Shares, int Customers) {
  double Round = 1;
  for (int Number = 0; Number < Customers; ++Number)
    Round += (MaxGrantCredit + 1) * Shares.Weights.at(customer(Number)) + 2;
  return Round * (UrgentGrantsPerTurn + Urgencies);
}

grant_shares drawShares(int Customers) {
  grant_shares Shares;
  for (int Number = 0; Number < Customers; ++Number)
    Shares.Weights[customer(Number)] = *rc::gen::inRange(1U, 5U);
  return Shares;
}

} // namespace

TEST_CASE("every claim that waits is granted within a stated number") {
  rc::prop("grants to others <= the bound, whoever comes and goes", [] {
    const int Customers = *rc::gen::inRange(2, 7);
    grant_shares Shares = drawShares(Customers);
    const share_claim Watched = claim(*rc::gen::inRange(0, Urgencies), 0);
    double Since = 0;
    for (int Step = 0; Step < 600; ++Step) {
      std::set<share_claim> Waiting;
      const int Present = *rc::gen::inRange(0, 1 << 12);
      for (int Bit = 0; Bit < 12; ++Bit)
        if ((Present >> Bit) % 2 == 1)
          Waiting.insert(claim(Bit % Urgencies, 1 + Bit % (Customers - 1)));
      // Some engines are of no use to the watched claim.
      const bool Competes = *rc::gen::inRange(0, 4) > 0;
      if (Competes)
        Waiting.insert(Watched);
      if (Waiting.empty())
        continue;
      const share_claim Granted = grantNext(Shares, Waiting);
      if (Granted == Watched)
        Since = 0;
      else if (Competes)
        Since += 1;
      RC_ASSERT(Since <= longestWait(Shares, Customers));
    }
  });
}

TEST_CASE("a less urgent kind gets a part, never more than a more urgent one") {
  rc::prop("one in nine at least, and the order holds", [] {
    grant_shares Shares = drawShares(4);
    std::vector<int> Grants(Urgencies);
    int Total = 0;
    for (int Step = 0; Step < 400; ++Step) {
      std::set<share_claim> Waiting;
      for (int Urgency = 1; Urgency < Urgencies; ++Urgency)
        Waiting.insert(claim(Urgency, *rc::gen::inRange(0, 4)));
      if (*rc::gen::inRange(0, 3) > 0)
        Waiting.insert(claim(0, 0));
      const std::uint32_t Passes = *rc::gen::inRange(1U, 10U);
      const share_claim Granted = grantNext(Shares, Waiting, Passes);
      ++Grants[static_cast<std::size_t>(Granted.Urgency)];
      ++Total;
      RC_ASSERT(Grants[2] <= Grants[1] + 1);
    }
    RC_ASSERT(Grants[2] * (static_cast<int>(UrgentGrantsPerTurn) + 2) + 20 >=
              Total);
  });
}

TEST_CASE("grants are shared by weight, whatever each asks for") {
  grant_shares Shares;
  Shares.Weights[customer(1)] = 3;
  std::map<customer_id, int> Grants;
  for (int Step = 0; Step < 400; ++Step)
    ++Grants[grantNext(Shares, {claim(0, 0), claim(0, 1)}).Customer];
  REQUIRE(Grants[customer(0)] == Approx(100).margin(4));
  // A customer that asks again after a pause gets no more than its credit.
  int First = 0;
  while (grantNext(Shares, {claim(0, 1), claim(0, 2)}).Customer == customer(2))
    ++First;
  REQUIRE(First <= MaxGrantCredit + 2);
}

TEST_CASE("a grant that serves several customers is paid by all of them") {
  grant_shares Shares;
  const std::vector<share_claim> Both{claim(0, 0), claim(0, 1)};
  noteGrant(Shares, Both, {claim(0, 0), claim(0, 1), claim(0, 2)}, 1);
  const double Paid = rankOf(Shares, claim(0, 0)).Granted;
  REQUIRE(Paid == Approx(rankOf(Shares, claim(0, 2)).Granted + 0.5));
  REQUIRE(grantsAhead(Shares, claim(0, 0), 1, {{claim(0, 2), 9.0}}) ==
          Approx(1.5));
}
