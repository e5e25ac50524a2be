#include "LibGateway/usage_ledger.h"

namespace spindle {

void addUsage(customer_usage &Sum, const customer_usage &More) {
  for (const auto &[Customer, Units] : More)
    Sum[Customer] += Units;
}

customer_usage noteUsageReport(usage_ledger &Ledger, const std::string &Peer,
                               const usage_report &Report, time_point Now) {
  const bool IsNew = !Ledger.Peers.contains(Peer);
  usage_ledger::peer_account &Account = Ledger.Peers[Peer];
  const bool Restarted = Account.Incarnation != Report.Incarnation;
  const bool IsBaseline = IsNew || (Restarted && Report.IsLeader);
  if (Restarted)
    Account.LastReported.clear();
  customer_usage Growth;
  for (const auto &[Customer, Units] : Report.Uses)
    Growth[Customer] = IsBaseline ? 0 : Units - Account.LastReported[Customer];
  Account.Incarnation = Report.Incarnation;
  Account.LastReported = Report.Uses;
  Account.ReceivedAt = Now;
  Account.Hosts = Report.Hosts;
  Account.IsLeader = Report.IsLeader;
  addUsage(Account.Total, Growth);
  return Growth;
}

customer_usage peerUsage(const usage_ledger &Ledger, const std::string &Except,
                         bool IncludeLeaders) {
  customer_usage Sum;
  for (const auto &[Peer, Account] : Ledger.Peers)
    if (Peer != Except && (IncludeLeaders || !Account.IsLeader))
      addUsage(Sum, Account.Total);
  return Sum;
}

std::uint32_t reportingHosts(const usage_ledger &Ledger, bool IncludeLeaders,
                             time_point Since) {
  std::uint32_t Hosts = 0;
  for (const auto &[Peer, Account] : Ledger.Peers)
    if (Account.ReceivedAt >= Since && (IncludeLeaders || !Account.IsLeader))
      Hosts += Account.Hosts;
  return Hosts;
}

} // namespace spindle
