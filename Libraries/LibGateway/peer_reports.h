#ifndef PARSLEYSPINDLE_LIBGATEWAY_PEER_REPORTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_PEER_REPORTS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/fleet_table.h"
#include "LibPeer/Generated/host_link.pb.h"

#include <map>
#include <string>
#include <vector>

namespace spindle {

/// What a peer has under way, as it told last.
struct peer_report {
  std::vector<host_link::UpstreamLoad> Loads;
  std::vector<adapter_use> Uses;
  time_point HeardAt;
  /// It speaks for the hosts of another zone.
  bool IsLeader = false;
};

/// What a lead's peers have under way: the hosts of its zone and the other
/// zones' leads. The requests of a peer that is gone end with it, so what it
/// told counts only for a while.
struct peer_reports {
  std::map<std::string, peer_report, std::less<>> Peers;
};

/// Whose reports are meant.
struct report_filter {
  time_point HeardSince;
  /// Whether other zones' leads count.
  bool IncludeLeaders = true;
  /// A peer that is left out.
  std::string_view Except;
};

/// The loads that are told by the peers that \p Filter lets through. Not
/// thread-safe.
std::vector<host_link::UpstreamLoad> reportedLoads(const peer_reports &Reports,
                                                   const report_filter &Filter);
/// The adapters that are used by the peers that \p Filter lets through. Not
/// thread-safe.
std::vector<adapter_use> reportedUses(const peer_reports &Reports,
                                      const report_filter &Filter);
/// Drops the peers that were last heard before \p Time. Not thread-safe.
void dropReportsBefore(peer_reports &Reports, time_point Time);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PEER_REPORTS_H
