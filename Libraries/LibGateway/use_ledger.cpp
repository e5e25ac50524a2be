#include "LibGateway/use_ledger.h"

namespace spindle {

void addUses(customer_uses &Sum, const customer_uses &More) {
  for (const auto &[Customer, Units] : More)
    Sum[Customer] += Units;
}

customer_uses noteTold(use_ledger &Ledger, const std::string &Peer,
                       const told_uses &Told, time_point Now) {
  const bool IsNew = !Ledger.Peers.contains(Peer);
  use_ledger::peer_account &Account = Ledger.Peers[Peer];
  const bool Restarted = Account.Incarnation != Told.Incarnation;
  const bool SetsBaseline = IsNew || (Restarted && Told.IsLead);
  if (Restarted)
    Account.Told.clear();
  customer_uses Grown;
  for (const auto &[Customer, Units] : Told.Uses)
    Grown[Customer] = SetsBaseline ? 0 : Units - Account.Told[Customer];
  Account.Incarnation = Told.Incarnation;
  Account.Told = Told.Uses;
  Account.HeardAt = Now;
  Account.Hosts = Told.Hosts;
  Account.IsLead = Told.IsLead;
  addUses(Account.Total, Grown);
  return Grown;
}

customer_uses usedByOthers(const use_ledger &Ledger, const std::string &Except,
                           bool WithLeads) {
  customer_uses Sum;
  for (const auto &[Peer, Account] : Ledger.Peers)
    if (Peer != Except && (WithLeads || !Account.IsLead))
      addUses(Sum, Account.Total);
  return Sum;
}

std::uint32_t hostsHeard(const use_ledger &Ledger, bool WithLeads,
                         time_point Since) {
  std::uint32_t Hosts = 0;
  for (const auto &[Peer, Account] : Ledger.Peers)
    if (Account.HeardAt >= Since && (WithLeads || !Account.IsLead))
      Hosts += Account.Hosts;
  return Hosts;
}

} // namespace spindle
