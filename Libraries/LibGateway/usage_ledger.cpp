#include "LibGateway/usage_ledger.h"

#include <algorithm>

namespace spindle {

void addUsage(customer_usage &Sum, const customer_usage &More) {
  for (const auto &[Customer, Units] : More)
    Sum[Customer] += Units;
}

// A zone without a leader for longer works with its own share of the rates.
static constexpr milliseconds MaxGap{2'000};

/// Usage since the account's last report if it went on as before.
static customer_usage estimateGrowth(const usage_ledger::peer_account &Account,
                                     time_point Now) {
  customer_usage Growth;
  if (Account.GrowthTime <= nanoseconds(0))
    return Growth;
  const nanoseconds Gap =
      std::min<nanoseconds>(Now - Account.ReceivedAt, MaxGap);
  const double Factor = std::chrono::duration<double>(Gap) /
                        std::chrono::duration<double>(Account.GrowthTime);
  for (const auto &[Customer, Units] : Account.LastGrowth)
    Growth[Customer] = static_cast<std::int64_t>(
        Factor * static_cast<double>(std::max<std::int64_t>(0, Units)));
  return Growth;
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
  if (IsBaseline && !IsNew) {
    Growth = estimateGrowth(Account, Now);
  } else {
    for (const auto &[Customer, Units] : Report.Uses)
      Growth[Customer] =
          IsBaseline ? 0 : Units - Account.LastReported[Customer];
    Account.LastGrowth = Growth;
    Account.GrowthTime = IsNew ? nanoseconds(0) : Now - Account.ReceivedAt;
  }
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
