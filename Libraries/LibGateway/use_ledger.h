#ifndef PARSLEYSPINDLE_LIBGATEWAY_USE_LEDGER_H
#define PARSLEYSPINDLE_LIBGATEWAY_USE_LEDGER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/customer_quota.h"

#include <cstdint>
#include <map>
#include <string>

namespace spindle {

/// What a lead's peers have told of the customers' use: the hosts of its zone,
/// and the other zones' leads. Peers tell sums since their start, so that a
/// lost message loses nothing.
struct usage_ledger {
  struct peer_account {
    std::uint64_t Incarnation = 0;
    customer_usage LastReported;
    /// The sum over all of the peer's incarnations.
    customer_usage Total;
    time_point HeardAt;
    std::uint32_t Hosts = 1;
    bool IsLeader = false;
  };

  std::map<std::string, peer_account> Peers;
};

/// What a peer tells of itself.
struct usage_report {
  std::uint64_t Incarnation = 0;
  /// Since the start of the peer's process.
  customer_usage Uses;
  std::uint32_t Hosts = 1;
  bool IsLeader = false;
};

/// Books what a peer tells and returns by how much it grew. What a peer had
/// used before it was first heard, or before it became a lead, is unknown or
/// was told by its predecessor, and is not counted. Not thread-safe.
customer_usage noteUsageReport(usage_ledger &Ledger, const std::string &Peer,
                               const usage_report &Report, time_point Now);
/// The sum of what all peers have used, \p Except left out; leads' zones only
/// if \p IncludeLeaders. Not thread-safe.
customer_usage peerUsage(const usage_ledger &Ledger, const std::string &Except,
                         bool IncludeLeaders);
/// The hosts whose use is contained, of peers heard after \p Since. Not
/// thread-safe.
std::uint32_t hostsHeard(const usage_ledger &Ledger, bool IncludeLeaders,
                         time_point Since);
/// Adds \p More to \p Sum.
void addUsage(customer_usage &Sum, const customer_usage &More);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_USE_LEDGER_H
