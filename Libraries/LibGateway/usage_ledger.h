#ifndef PARSLEYSPINDLE_LIBGATEWAY_USAGE_LEDGER_H
#define PARSLEYSPINDLE_LIBGATEWAY_USAGE_LEDGER_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/customer_quota.h"

#include <cstdint>
#include <map>
#include <string>

namespace spindle {

/// The customer usage reported to a zone leader by its peers: the hosts of its
/// zone and the leaders of the other zones. Peers report totals since their
/// start, so that a lost message loses no usage.
struct usage_ledger {
  struct peer_account {
    std::uint64_t Incarnation = 0;
    customer_usage LastReported;
    /// The increase that the last report gave, and over how long.
    customer_usage LastGrowth;
    nanoseconds GrowthTime{0};
    /// Sum over all incarnations of the peer.
    customer_usage Total;
    time_point ReceivedAt;
    std::uint32_t Hosts = 1;
    bool IsLeader = false;
  };

  std::map<std::string, peer_account> Peers;
};

/// The usage that a peer reports.
struct usage_report {
  std::uint64_t Incarnation = 0;
  /// Usage since the start of the peer's process.
  customer_usage Uses;
  std::uint32_t Hosts = 1;
  bool IsLeader = false;
};

/// Records a usage report and returns the increase since the previous one.
/// Usage from before a peer's first report, or from before it became leader, is
/// not counted: it is unknown or was reported by its predecessor.
///
/// Answers the load pattern in which a customer exceeds its rate while the
/// leaders of zones restart: what a zone has used since its former leader's
/// last report is in no report. It is taken to be as much as in the time
/// before. Not thread-safe.
customer_usage noteUsageReport(usage_ledger &Ledger, const std::string &Peer,
                               const usage_report &Report, time_point Now);
/// Returns the total usage of all peers other than \p Except; the zones of
/// other leaders are included only if \p IncludeLeaders. Not thread-safe.
customer_usage peerUsage(const usage_ledger &Ledger, const std::string &Except,
                         bool IncludeLeaders);
/// Returns the number of hosts covered by reports received since \p Since. Not
/// thread-safe.
std::uint32_t reportingHosts(const usage_ledger &Ledger, bool IncludeLeaders,
                             time_point Since);
void addUsage(customer_usage &Sum, const customer_usage &More);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_USAGE_LEDGER_H
