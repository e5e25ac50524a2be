#ifndef PARSLEYSPINDLE_LIBSCHEDULING_GRANT_SHARES_H
#define PARSLEYSPINDLE_LIBSCHEDULING_GRANT_SHARES_H

#include "LibCore/strong_id.h"

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <tuple>
#include <unordered_map>

namespace spindle {

/// Grants to more urgent requests after which waiting requests of a less urgent
/// kind get one.
inline constexpr std::uint32_t UrgentGrantsPerTurn = 8;
/// How many grants of weight 1 a customer that requested none for a time may
/// get ahead of customers that did.
inline constexpr double MaxGrantCredit = 2;

/// What a customer was granted.
struct customer_grants {
  /// The grants, divided by the customer's weight. Not below the virtual time
  /// less MaxGrantCredit.
  double Granted = 0;
  /// The number of the customer's last grant.
  std::uint64_t LastGrant = 0;
};

/// The grants to the requests of one urgency.
struct urgency_grants {
  std::unordered_map<customer_id, customer_grants> Customers;
  /// The virtual time of start-time fair queueing: the highest Granted that a
  /// customer had before a grant to it.
  double VirtualTime = 0;
  /// Grants that went to more urgent requests since the last grant.
  std::uint32_t PassedOver = 0;
};

/// The grants of something scarce, such as adapter slots, to urgencies and
/// customers. Answers the load pattern in which one customer, or one kind of
/// request, requests far more than there is: the others would wait behind it
/// forever.
///
/// More urgent requests go first. A kind that was passed over
/// UrgentGrantsPerTurn times gets the next grant, so that it gets at least a
/// ninth of the grants as long as it is the only one that waits behind the most
/// urgent, and never more grants than a more urgent kind that waits as well.
/// Within an urgency, customers share grants by weight, by start-time fair
/// queueing. The size is bounded by the number of customers and urgencies.
/// Modified only through the functions below, none of which is thread-safe.
struct grant_shares {
  std::map<int, urgency_grants> Urgencies;
  /// A customer without a weight has 1.
  std::unordered_map<customer_id, std::uint32_t> Weights;
  std::uint64_t LastGrant = 0;
};

/// A customer's requests of one urgency, as they compete for grants. A smaller
/// number is more urgent. Not the claim of an order (LibOrders).
struct share_claim {
  int Urgency = 0;
  customer_id Customer;

  auto operator<=>(const share_claim &) const = default;
};

/// The rank of a claim; the smallest goes first.
struct share_rank {
  /// Whether it is not yet the turn of a kind that was passed over.
  bool NotDue = true;
  int Urgency = 0;
  double Granted = 0;
  std::uint64_t LastGrant = 0;

  auto key() const { return std::tie(NotDue, Urgency, Granted, LastGrant); }
};

/// The rank of \p Claim. Takes O(log urgencies).
share_rank rankOf(const grant_shares &Shares, const share_claim &Claim);
/// Records a grant that serves the claims \p Served, each of which is charged
/// an even part, while the claims \p Waiting competed for it. Less urgent kinds
/// count it \p Passes times: a grant of little use, such as one to a late
/// request, that counts UrgentGrantsPerTurn times, makes it their turn.
/// Precondition: \p Served is not empty.
void noteGrant(grant_shares &Shares, std::span<const share_claim> Served,
               const std::set<share_claim> &Waiting, std::uint32_t Passes);
/// How many grants go to others before \p Claim has got \p OwnGrants, if the
/// others wait for as many as \p WaitingGrants states.
double grantsAhead(const grant_shares &Shares, const share_claim &Claim,
                   double OwnGrants,
                   const std::map<share_claim, double> &WaitingGrants);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_GRANT_SHARES_H
