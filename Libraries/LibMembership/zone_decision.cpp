#include "LibMembership/zone_decision.h"

#include "LibMembership/rendezvous.h"

#include <algorithm>

namespace spindle {

std::uint32_t zoneTarget(std::uint32_t Weight, std::uint64_t SumOfWeights) {
  if (SumOfWeights == 0)
    return 0;
  return static_cast<std::uint32_t>(std::uint64_t{WholePartsPerMillion} *
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
static void reclaimShares(zone_table &Table, const zone_facts &Facts) {
  for (auto Entry = Table.Hosts.begin(); Entry != Table.Hosts.end();) {
    const host_share &Share = Entry->second;
    const bool IsOwn =
        Entry->first == Facts.Self && Share.Incarnation == Facts.Incarnation;
    const bool IsToJudge =
        !IsOwn && (Facts.IsSteward || Entry->first == Facts.Self);
    const bool IsLost =
        IsToJudge &&
        Facts.Judge(Entry->first, Share.Incarnation, 0, Share.ShareTerm)
            .ShareLost;
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
static void adaptBudget(zone_table &Table, const zone_facts &Facts) {
  if (Facts.ConfigurationVersion < Table.ConfigurationVersion)
    return;
  if (Facts.TargetBudget < Table.Budget ||
      Facts.TargetBudget < Facts.Grant.PartsPerMillion) {
    const std::uint32_t Excess =
        Table.Budget - std::min(Table.Budget, Facts.TargetBudget);
    const std::uint32_t Cut = std::min(Table.Unallocated, Excess);
    Table.Budget -= Cut;
    Table.Unallocated -= Cut;
    Table.ConfigurationVersion = Facts.ConfigurationVersion;
    return;
  }
  if (Facts.Grant.ConfigurationVersion != Facts.ConfigurationVersion)
    return;
  const std::uint32_t Allowed =
      std::min(Facts.TargetBudget, Facts.Grant.PartsPerMillion);
  if (Allowed <= Table.Budget)
    return;
  Table.Unallocated += Allowed - Table.Budget;
  Table.Budget = Allowed;
  Table.ConfigurationVersion = Facts.ConfigurationVersion;
}

static std::uint32_t ownTarget(const zone_table &Table,
                               const zone_facts &Facts) {
  const bool TakesWork =
      std::find(Facts.LiveHosts.begin(), Facts.LiveHosts.end(), Facts.Self) !=
      Facts.LiveHosts.end();
  if (Facts.GivesUpShare || Facts.LiveHosts.empty())
    return 0;
  const std::uint32_t Whole = std::min(Table.Budget, Facts.TargetBudget);
  const std::size_t Sharers = Facts.LiveHosts.size() + (TakesWork ? 0 : 1);
  return static_cast<std::uint32_t>(Whole / Sharers);
}

static void adaptOwnShare(zone_decision &Decision, const zone_facts &Facts) {
  zone_table &Table = Decision.Next;
  const std::uint32_t Target = ownTarget(Table, Facts);
  const auto Found = Table.Hosts.find(Facts.Self);
  if (!Facts.ShareHeld)
    return;
  if (Found == Table.Hosts.end() && (Target == 0 || Table.Unallocated == 0))
    return;
  // An earlier process of this host may still use its share.
  if (Found != Table.Hosts.end() &&
      Found->second.Incarnation != Facts.Incarnation)
    return;
  host_share &Share = Table.Hosts[Facts.Self];
  const std::uint32_t Held = Share.PartsPerMillion;
  if (Held > Target) {
    Decision.LowerShareTo = Target;
    Table.Unallocated += Held - Target;
    Share.PartsPerMillion = Target;
  } else {
    const std::uint32_t Taken = std::min(Target - Held, Table.Unallocated);
    Table.Unallocated -= Taken;
    Share.PartsPerMillion += Taken;
  }
  const bool IsClaimed = Share.Incarnation == Facts.Incarnation &&
                         Share.ShareTerm == Facts.ShareTerm;
  if (Share.PartsPerMillion != Held || !IsClaimed)
    ++Share.Generation;
  Share.Incarnation = Facts.Incarnation;
  Share.ShareTerm = Facts.ShareTerm;
  if (Facts.GivesUpShare && Share.PartsPerMillion == 0)
    Table.Hosts.erase(Facts.Self);
}

/// Whether no process can act as the owner under \p Claim any more.
static bool isFree(const engine_claim &Claim, const owned_engine &Engine,
                   const zone_facts &Facts) {
  if (Claim.Owner.empty())
    return true;
  if (Claim.Owner == Facts.Self && Claim.Incarnation == Facts.Incarnation)
    return Claim.LeaseTerm != Facts.LeaseTerm;
  const lease_judgement Judgement =
      Facts.Judge(Claim.Owner, Claim.Incarnation, Claim.LeaseTerm, 0);
  return Engine.HonoursFencing ? Judgement.LeaseLost
                               : Judgement.LeaseLost && Judgement.Gone;
}

static void adaptEngine(zone_table &Table, const owned_engine &Engine,
                        const zone_facts &Facts) {
  const auto Found = Table.Engines.find(Engine.Name);
  const engine_claim Claim =
      Found == Table.Engines.end() ? engine_claim{} : Found->second;
  const bool IsOwn =
      Claim.Owner == Facts.Self && Claim.Incarnation == Facts.Incarnation;
  if (IsOwn && Facts.Releasing.count(Engine.Name) != 0) {
    Table.Engines[Engine.Name] = {"", 0, 0, Claim.Fence};
    return;
  }
  if (!Facts.LeaseHeld || !isFree(Claim, Engine, Facts))
    return;
  if (preferredOwner(Engine.Name, Facts.LiveHosts) != Facts.Self)
    return;
  Table.Engines[Engine.Name] = {Facts.Self, Facts.Incarnation, Facts.LeaseTerm,
                                Claim.Fence + 1};
}

zone_decision decideZone(const zone_table &Table, const zone_facts &Facts) {
  zone_decision Decision;
  Decision.Next = Table;
  reclaimShares(Decision.Next, Facts);
  if (Facts.IsSteward)
    adaptBudget(Decision.Next, Facts);
  adaptOwnShare(Decision, Facts);
  for (const owned_engine &Engine : Facts.Engines)
    adaptEngine(Decision.Next, Engine, Facts);
  Decision.Changed = !(Decision.Next == Table);
  return Decision;
}

std::optional<fleet_table> decideFleet(const fleet_table &Fleet,
                                       const std::string &Zone,
                                       const zone_table &Table,
                                       const zone_facts &Facts) {
  fleet_table Next = Fleet;
  zone_grant &Grant = Next.Zones[Zone];
  if (Facts.ConfigurationVersion < Grant.ConfigurationVersion)
    return std::nullopt;
  const std::uint32_t Target = Facts.TargetBudget;
  const bool TableIsLowered =
      Table.ConfigurationVersion == Facts.ConfigurationVersion &&
      Table.Budget < Grant.PartsPerMillion;
  if (Target < Grant.PartsPerMillion && TableIsLowered) {
    const std::uint32_t Lowered = std::max(Table.Budget, Target);
    Next.Unallocated += Grant.PartsPerMillion - Lowered;
    Grant.PartsPerMillion = Lowered;
  } else if (Target > Table.Budget) {
    const std::uint32_t Missing =
        Target - std::min(Target, Grant.PartsPerMillion);
    const std::uint32_t Taken = std::min(Missing, Next.Unallocated);
    const bool NeedsStamp =
        Grant.ConfigurationVersion != Facts.ConfigurationVersion;
    if (Taken == 0 && !NeedsStamp)
      return std::nullopt;
    Next.Unallocated -= Taken;
    Grant.PartsPerMillion += Taken;
  } else {
    return std::nullopt;
  }
  Grant.ConfigurationVersion = Facts.ConfigurationVersion;
  return Next;
}

} // namespace spindle
