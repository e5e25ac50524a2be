#include "LibScheduling/grant_shares.h"

#include <algorithm>
#include <cassert>

namespace spindle {

// A customer's record is kept for at least this many grants after its last.
static constexpr std::uint64_t RecordedGrants = 4'096;

static double weightOf(const grant_shares &Shares, customer_id Customer) {
  const auto Found = Shares.Weights.find(Customer);
  return Found == Shares.Weights.end() ? 1 : std::max(Found->second, 1U);
}

static double creditFloor(const urgency_grants &Grants) {
  return Grants.VirtualTime - MaxGrantCredit;
}

static customer_grants grantsOf(const urgency_grants &Grants,
                                customer_id Customer) {
  const auto Found = Grants.Customers.find(Customer);
  if (Found == Grants.Customers.end())
    return {creditFloor(Grants), 0};
  return {std::max(Found->second.Granted, creditFloor(Grants)),
          Found->second.LastGrant};
}

share_rank rankOf(const grant_shares &Shares, const share_claim &Claim) {
  const auto Found = Shares.Urgencies.find(Claim.Urgency);
  if (Found == Shares.Urgencies.end())
    return {true, Claim.Urgency, -MaxGrantCredit, 0};
  const urgency_grants &Grants = Found->second;
  const customer_grants Own = grantsOf(Grants, Claim.Customer);
  return {Grants.PassedOver < UrgentGrantsPerTurn, Claim.Urgency, Own.Granted,
          Own.LastGrant};
}

static void chargeCustomer(grant_shares &Shares, const share_claim &Claim,
                           double Part) {
  urgency_grants &Grants = Shares.Urgencies[Claim.Urgency];
  customer_grants Own = grantsOf(Grants, Claim.Customer);
  Grants.VirtualTime = std::max(Grants.VirtualTime, Own.Granted);
  Own.Granted += Part / weightOf(Shares, Claim.Customer);
  Own.LastGrant = Shares.LastGrant;
  Grants.Customers[Claim.Customer] = Own;
}

/// Drops customers whose record holds no more than a missing one would, except
/// for the order of their last grants.
static void dropIdle(urgency_grants &Grants, std::uint64_t LastGrant) {
  std::erase_if(Grants.Customers, [&](const auto &Entry) {
    return Entry.second.Granted <= creditFloor(Grants) &&
           Entry.second.LastGrant + RecordedGrants < LastGrant;
  });
}

static void countPassedOver(grant_shares &Shares, int GrantedUrgency,
                            const std::set<share_claim> &Waiting,
                            std::uint32_t Passes) {
  int Last = GrantedUrgency;
  for (const share_claim &Claim : Waiting) {
    if (Claim.Urgency <= Last)
      continue;
    Last = Claim.Urgency;
    std::uint32_t &PassedOver = Shares.Urgencies[Last].PassedOver;
    PassedOver = std::min(PassedOver + Passes, UrgentGrantsPerTurn);
  }
}

void noteGrant(grant_shares &Shares, std::span<const share_claim> Served,
               const std::set<share_claim> &Waiting, std::uint32_t Passes) {
  assert(!Served.empty());
  ++Shares.LastGrant;
  const share_claim &First = *std::min_element(
      Served.begin(), Served.end(),
      [&Shares](const share_claim &One, const share_claim &Other) {
        return rankOf(Shares, One).key() < rankOf(Shares, Other).key();
      });
  const int Urgency = First.Urgency;
  // A turn counts for no other kind, so that a kind gets no more turns than a
  // more urgent one.
  if (rankOf(Shares, First).NotDue)
    countPassedOver(Shares, Urgency, Waiting, Passes);
  const double Part = 1 / static_cast<double>(Served.size());
  for (const share_claim &Claim : Served)
    chargeCustomer(Shares, Claim, Part);
  for (const share_claim &Claim : Served) {
    urgency_grants &Grants = Shares.Urgencies[Claim.Urgency];
    Grants.PassedOver = 0;
    dropIdle(Grants, Shares.LastGrant);
  }
}

double grantsAhead(const grant_shares &Shares, const share_claim &Claim,
                   double OwnGrants,
                   const std::map<share_claim, double> &WaitingGrants) {
  const double Rounds = OwnGrants / weightOf(Shares, Claim.Customer);
  const double Before = rankOf(Shares, Claim).Granted;
  double Ahead = 0;
  for (const auto &[Other, Count] : WaitingGrants) {
    if (Other.Urgency < Claim.Urgency)
      Ahead += Count;
    if (Other.Urgency != Claim.Urgency || Other.Customer == Claim.Customer)
      continue;
    const double Lead = Before + Rounds - rankOf(Shares, Other).Granted;
    Ahead += std::clamp(Lead * weightOf(Shares, Other.Customer), 0.0, Count);
  }
  return Ahead;
}

} // namespace spindle
