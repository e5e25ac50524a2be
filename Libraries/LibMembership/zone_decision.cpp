#include "LibMembership/zone_decision.h"

#include "LibMembership/rendezvous.h"

#include <algorithm>

namespace spindle {

std::uint32_t zoneTarget(std::uint32_t Weight, std::uint64_t SumOfWeights) {
  if (SumOfWeights == 0)
    return 0;
  return static_cast<std::uint32_t>(std::uint64_t{TotalPartsPerMillion} *
                                    Weight / SumOfWeights);
}

std::string preferredOwner(const std::string &Engine,
                           const std::vector<std::string> &LiveHosts) {
  const std::uint64_t Key = hashName(Engine);
  const auto Best =
      std::max_element(LiveHosts.begin(), LiveHosts.end(),
                       [Key](const std::string &A, const std::string &B) {
                         return rendezvousScore(Key, host_id::ofName(A)) <
                                rendezvousScore(Key, host_id::ofName(B));
                       });
  return Best == LiveHosts.end() ? std::string() : *Best;
}

/// Returns the shares of lost processes to Unallocated. A maintainer does so
/// for all hosts, any other host only for its own earlier process.
static void reclaimShares(zone_table &Table, const zone_decision_input &Input) {
  for (auto Entry = Table.Hosts.begin(); Entry != Table.Hosts.end();) {
    const host_share &Share = Entry->second;
    const bool IsOwn =
        Entry->first == Input.Self && Share.Incarnation == Input.Incarnation;
    const bool IsToCheck =
        !IsOwn && (Input.IsMaintainer || Entry->first == Input.Self);
    const bool IsLost =
        IsToCheck &&
        Input.LeaseStatusOf(Entry->first, Share.Incarnation, 0, Share.ShareTerm)
            .ShareExpired;
    if (!IsLost) {
      ++Entry;
      continue;
    }
    Table.Unallocated += Share.PartsPerMillion;
    Entry = Table.Hosts.erase(Entry);
  }
}

/// Moves the budget towards the target. Raising it requires a grant made for
/// this configuration, since an older grant may be about to be lowered.
static void adjustBudget(zone_table &Table, const zone_decision_input &Input) {
  if (Input.ConfigurationVersion < Table.ConfigurationVersion)
    return;
  if (Input.TargetBudget < Table.Budget ||
      Input.TargetBudget < Input.Grant.PartsPerMillion) {
    const std::uint32_t Excess =
        Table.Budget - std::min(Table.Budget, Input.TargetBudget);
    const std::uint32_t Reduction = std::min(Table.Unallocated, Excess);
    Table.Budget -= Reduction;
    Table.Unallocated -= Reduction;
    Table.ConfigurationVersion = Input.ConfigurationVersion;
    return;
  }
  if (Input.Grant.ConfigurationVersion != Input.ConfigurationVersion)
    return;
  const std::uint32_t Allowed =
      std::min(Input.TargetBudget, Input.Grant.PartsPerMillion);
  if (Allowed <= Table.Budget)
    return;
  Table.Unallocated += Allowed - Table.Budget;
  Table.Budget = Allowed;
  Table.ConfigurationVersion = Input.ConfigurationVersion;
}

static std::uint32_t targetShare(const zone_table &Table,
                                 const zone_decision_input &Input) {
  const bool AcceptsWork =
      std::find(Input.LiveHosts.begin(), Input.LiveHosts.end(), Input.Self) !=
      Input.LiveHosts.end();
  if (Input.ReleasesShare || Input.LiveHosts.empty())
    return 0;
  const std::uint32_t ZoneBudget = std::min(Table.Budget, Input.TargetBudget);
  const std::size_t Shares = Input.LiveHosts.size() + (AcceptsWork ? 0 : 1);
  return static_cast<std::uint32_t>(ZoneBudget / Shares);
}

static void adjustOwnShare(zone_decision &Decision,
                           const zone_decision_input &Input) {
  zone_table &Table = Decision.Next;
  const std::uint32_t Target = targetShare(Table, Input);
  const auto Found = Table.Hosts.find(Input.Self);
  if (!Input.ShareHeld)
    return;
  if (Found == Table.Hosts.end() && (Target == 0 || Table.Unallocated == 0))
    return;
  // An earlier process of this host may still use its share.
  if (Found != Table.Hosts.end() &&
      Found->second.Incarnation != Input.Incarnation)
    return;
  host_share &Share = Table.Hosts[Input.Self];
  const std::uint32_t Held = Share.PartsPerMillion;
  if (Held > Target) {
    Decision.ReduceShareTo = Target;
    Table.Unallocated += Held - Target;
    Share.PartsPerMillion = Target;
  } else {
    const std::uint32_t Taken = std::min(Target - Held, Table.Unallocated);
    Table.Unallocated -= Taken;
    Share.PartsPerMillion += Taken;
  }
  const bool IsClaimed = Share.Incarnation == Input.Incarnation &&
                         Share.ShareTerm == Input.ShareTerm;
  if (Share.PartsPerMillion != Held || !IsClaimed)
    ++Share.Generation;
  Share.Incarnation = Input.Incarnation;
  Share.ShareTerm = Input.ShareTerm;
  if (Input.ReleasesShare && Share.PartsPerMillion == 0)
    Table.Hosts.erase(Input.Self);
}

/// Whether no process can act as the owner under \p Claim any more.
static bool isFree(const engine_claim &Claim, const owned_engine &Engine,
                   const zone_decision_input &Input) {
  if (Claim.Owner.empty())
    return true;
  if (Claim.Owner == Input.Self && Claim.Incarnation == Input.Incarnation)
    return Claim.LeaseTerm != Input.LeaseTerm;
  const lease_status LeaseStatus =
      Input.LeaseStatusOf(Claim.Owner, Claim.Incarnation, Claim.LeaseTerm, 0);
  return Engine.HonoursFencing ? LeaseStatus.LeaseExpired
                               : LeaseStatus.LeaseExpired && LeaseStatus.Gone;
}

static void updateEngineClaim(zone_table &Table, const owned_engine &Engine,
                              const zone_decision_input &Input) {
  const auto Found = Table.Engines.find(Engine.Name);
  const engine_claim Claim =
      Found == Table.Engines.end() ? engine_claim{} : Found->second;
  const bool IsOwn =
      Claim.Owner == Input.Self && Claim.Incarnation == Input.Incarnation;
  if (IsOwn && Input.Releasing.count(Engine.Name) != 0) {
    Table.Engines[Engine.Name] = {"", 0, 0, Claim.Fence};
    return;
  }
  if (!Input.LeaseHeld || !isFree(Claim, Engine, Input))
    return;
  if (preferredOwner(Engine.Name, Input.LiveHosts) != Input.Self)
    return;
  Table.Engines[Engine.Name] = {Input.Self, Input.Incarnation, Input.LeaseTerm,
                                Claim.Fence + 1};
}

zone_decision decideZone(const zone_table &Table,
                         const zone_decision_input &Input) {
  zone_decision Decision;
  Decision.Next = Table;
  reclaimShares(Decision.Next, Input);
  if (Input.IsMaintainer)
    adjustBudget(Decision.Next, Input);
  adjustOwnShare(Decision, Input);
  for (const owned_engine &Engine : Input.Engines)
    updateEngineClaim(Decision.Next, Engine, Input);
  Decision.Changed = !(Decision.Next == Table);
  return Decision;
}

std::optional<zone_grants> decideFleet(const zone_grants &Fleet,
                                       const std::string &Zone,
                                       const zone_table &Table,
                                       const zone_decision_input &Input) {
  zone_grants Next = Fleet;
  zone_grant &Grant = Next.Zones[Zone];
  if (Input.ConfigurationVersion < Grant.ConfigurationVersion)
    return std::nullopt;
  const std::uint32_t Target = Input.TargetBudget;
  const bool IsTableLowered =
      Table.ConfigurationVersion == Input.ConfigurationVersion &&
      Table.Budget < Grant.PartsPerMillion;
  if (Target < Grant.PartsPerMillion && IsTableLowered) {
    const std::uint32_t Lowered = std::max(Table.Budget, Target);
    Next.Unallocated += Grant.PartsPerMillion - Lowered;
    Grant.PartsPerMillion = Lowered;
  } else if (Target > Table.Budget) {
    const std::uint32_t Missing =
        Target - std::min(Target, Grant.PartsPerMillion);
    const std::uint32_t Taken = std::min(Missing, Next.Unallocated);
    const bool NeedsVersion =
        Grant.ConfigurationVersion != Input.ConfigurationVersion;
    if (Taken == 0 && !NeedsVersion)
      return std::nullopt;
    Next.Unallocated -= Taken;
    Grant.PartsPerMillion += Taken;
  } else {
    return std::nullopt;
  }
  Grant.ConfigurationVersion = Input.ConfigurationVersion;
  return Next;
}

} // namespace spindle
