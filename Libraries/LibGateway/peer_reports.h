#ifndef PARSLEYSPINDLE_LIBGATEWAY_PEER_REPORTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_PEER_REPORTS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/fleet_table.h"
#include "LibPeer/Generated/host_link.pb.h"

#include <map>
#include <string>
#include <vector>

namespace spindle {

/// The load of a peer, as last reported.
struct peer_report {
  std::vector<host_link::UpstreamLoad> Loads;
  std::vector<adapter_use> Uses;
  time_point ReceivedAt;
  /// Whether the report covers the hosts of another zone.
  bool IsLeader = false;
};

/// The load of a zone leader's peers: the hosts of its zone and the leaders of
/// the other zones. The requests of a peer that is gone end with it, so a
/// report counts only for a limited time.
struct peer_reports {
  std::map<std::string, peer_report, std::less<>> Peers;
};

/// Selects reports.
struct report_filter {
  time_point ReceivedSince;
  /// Whether the reports of other zones' leaders are included.
  bool IncludeLeaders = true;
  /// A peer whose report is excluded.
  std::string_view Except;
};

/// Returns the reported loads that match \p Filter. Not thread-safe.
std::vector<host_link::UpstreamLoad> reportedLoads(const peer_reports &Reports,
                                                   const report_filter &Filter);
/// Returns the reported adapter uses that match \p Filter. Not thread-safe.
std::vector<adapter_use> reportedUses(const peer_reports &Reports,
                                      const report_filter &Filter);
/// Drops the reports received before \p Time. Not thread-safe.
void dropReportsBefore(peer_reports &Reports, time_point Time);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PEER_REPORTS_H
