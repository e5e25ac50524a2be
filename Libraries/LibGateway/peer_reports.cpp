#include "LibGateway/peer_reports.h"

namespace spindle {

static bool matches(const report_filter &Filter, std::string_view Peer,
                    const peer_report &Report) {
  if (Report.ReceivedAt < Filter.ReceivedSince || Peer == Filter.Except)
    return false;
  return Filter.IncludeLeaders || !Report.IsLeader;
}

std::vector<host_link::UpstreamLoad>
reportedLoads(const peer_reports &Reports, const report_filter &Filter) {
  std::vector<host_link::UpstreamLoad> Loads;
  for (const auto &[Peer, Report] : Reports.Peers)
    if (matches(Filter, Peer, Report))
      Loads.insert(Loads.end(), Report.Loads.begin(), Report.Loads.end());
  return Loads;
}

std::vector<adapter_use> reportedUses(const peer_reports &Reports,
                                      const report_filter &Filter) {
  std::vector<adapter_use> Uses;
  for (const auto &[Peer, Report] : Reports.Peers)
    if (matches(Filter, Peer, Report))
      Uses.insert(Uses.end(), Report.Uses.begin(), Report.Uses.end());
  return Uses;
}

void dropReportsBefore(peer_reports &Reports, time_point Time) {
  std::erase_if(Reports.Peers, [Time](const auto &Entry) {
    return Entry.second.ReceivedAt < Time;
  });
}

} // namespace spindle
