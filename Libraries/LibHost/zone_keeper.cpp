#include "LibHost/zone_keeper.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

void addOwners(host_view &View, const zone_table &Table) {
  for (const auto &[Name, Claim] : Table.Engines)
    if (!Claim.Owner.empty())
      View.Owners[upstream_id::ofName(Name)] = {host_id::ofName(Claim.Owner),
                                                Claim.Fence};
}

zone_keeper::zone_keeper(const runtime_clock &Clock,
                         const platform_port &Platform,
                         const membership_settings &Settings)
    : Clock(Clock), Platform(Platform), Settings(Settings) {}

bool zone_keeper::isOwn(const engine_claim &Claim) const {
  return Claim.Owner == Settings.Name &&
         Claim.Incarnation == Settings.Incarnation;
}

void zone_keeper::adopt(zone_table NewTable, std::uint64_t NewVersion) {
  Table = std::move(NewTable);
  Version = NewVersion;
  if (NewVersion > PendingBase)
    ShareLimit.reset();
  for (auto Entry = Stopped.begin(); Entry != Stopped.end();) {
    const engine_claim &Claim = Table.Engines[Entry->first];
    const bool IsOver = !isOwn(Claim) || Claim.Fence > Entry->second.Fence;
    Entry = IsOver ? Stopped.erase(Entry) : std::next(Entry);
  }
}

void zone_keeper::readTable() {
  const std::optional<platform_object> Object =
      Platform.Get(platform_kind::ZoneTables, Settings.Zone);
  if (Object) {
    adopt(readZoneTable(Object->Body), Object->Version);
    return;
  }
  zone_table Empty;
  const std::uint64_t Created = Platform.Create(
      platform_kind::ZoneTables, Settings.Zone, writeZoneTable(Empty));
  adopt(std::move(Empty), Created);
}

fleet_table zone_keeper::readFleet() {
  const std::optional<platform_object> Object =
      Platform.Get(platform_kind::ZoneTables, FleetTableName);
  if (Object) {
    FleetVersion = Object->Version;
    return readFleetTable(Object->Body);
  }
  fleet_table Empty;
  FleetVersion = Platform.Create(platform_kind::ZoneTables, FleetTableName,
                                 writeFleetTable(Empty));
  return Empty;
}

/// Brings the zone's grant in the fleet's table towards the weights.
void zone_keeper::workOnFleet(zone_decision_input &Facts) {
  const bool IsSettled = Grant.PartsPerMillion == Facts.TargetBudget &&
                         Table.Budget == Facts.TargetBudget;
  if (!Facts.IsMaintainer || IsSettled) {
    Facts.Grant = Grant;
    return;
  }
  fleet_table Fleet = readFleet();
  std::optional<fleet_table> Next =
      decideFleet(Fleet, Settings.Zone, Table, Facts);
  if (Next) {
    Next->Nonce = Settings.Name + "-" + std::to_string(++Writes);
    FleetVersion = Platform.Update(platform_kind::ZoneTables, FleetTableName,
                                   *FleetVersion, writeFleetTable(*Next));
    Fleet = *Next;
  }
  Grant = Fleet.Zones[Settings.Zone];
  Facts.Grant = Grant;
}

/// Stops acting on engines that another host should own. One at a time is
/// handed over for balance; all at once while draining.
void zone_keeper::chooseReleases(const zone_decision_input &Facts,
                                 bool Draining) {
  const time_point Now = Clock.now();
  for (const auto &[Name, Claim] : Table.Engines) {
    if (!isOwn(Claim) || Stopped.count(Name) != 0) {
      NotPreferredSince.erase(Name);
      continue;
    }
    const std::string Preferred = preferredOwner(Name, Facts.LiveHosts);
    if (Preferred == Settings.Name) {
      NotPreferredSince.erase(Name);
      continue;
    }
    const time_point Since = NotPreferredSince.emplace(Name, Now).first->second;
    const bool IsForBalance = !Preferred.empty() && Stopped.empty() &&
                              Now - Since >= Settings.RebalanceDelay;
    if (Draining || IsForBalance)
      Stopped[Name] = {Claim.Fence, Now};
  }
}

void zone_keeper::decideAndWrite(zone_decision_input Facts, bool Draining,
                                 const std::function<void()> &Publish) {
  chooseReleases(Facts, Draining);
  for (const auto &[Name, Engine] : Stopped)
    if (Clock.now() - Engine.Since >= Settings.Lease.Margin)
      Facts.Releasing.insert(Name);
  workOnFleet(Facts);
  zone_decision Decision = decideZone(Table, Facts);
  // While a limit stands, a write of any kind is due: it outdates the earlier
  // one that may still take effect.
  if (!Decision.Changed && !ShareLimit)
    return;
  if (Decision.ReduceShareTo)
    ShareLimit = std::min(*Decision.ReduceShareTo,
                          ShareLimit.value_or(TotalPartsPerMillion));
  PendingBase = std::max(PendingBase, *Version);
  Publish();
  Decision.Next.Nonce = Settings.Name + "-" +
                        std::to_string(Settings.Incarnation) + "-" +
                        std::to_string(++Writes);
  const std::uint64_t NewVersion =
      Platform.Update(platform_kind::ZoneTables, Settings.Zone, *Version,
                      writeZoneTable(Decision.Next));
  logChanges(Decision.Next);
  adopt(std::move(Decision.Next), NewVersion);
}

/// Tells what this host has claimed or given up by a write that was made.
void zone_keeper::logChanges(const zone_table &Written) const {
  for (const auto &[Name, Claim] : Written.Engines) {
    const auto Found = Table.Engines.find(Name);
    const engine_claim Before =
        Found == Table.Engines.end() ? engine_claim{} : Found->second;
    if (isOwn(Claim) && Claim.Fence != Before.Fence)
      logEvent(log_event::EngineClaimed,
               {{"engine", Name}, {"fence", std::to_string(Claim.Fence)}});
    if (isOwn(Before) && !isOwn(Claim))
      logEvent(log_event::EngineReleased, {{"engine", Name}});
  }
  const auto Share = Written.Hosts.find(Settings.Name);
  const auto Held = Table.Hosts.find(Settings.Name);
  const std::uint32_t After =
      Share == Written.Hosts.end() ? 0 : Share->second.PartsPerMillion;
  const std::uint32_t Earlier =
      Held == Table.Hosts.end() ? 0 : Held->second.PartsPerMillion;
  if (After != Earlier)
    logEvent(log_event::ShareChanged,
             {{"partsPerMillion", std::to_string(After)}});
}

void zone_keeper::addOwnZone(host_view &View, const lease_keeper &Lease,
                             time_point Now) const {
  const bool HoldsLease = Lease.leaseTerm().holds(Now);
  for (const auto &[Name, Claim] : Table.Engines) {
    // While the lease is lapsed, this host still pins what is loaded there;
    // OwnershipValidUntil is past, so it gives no orders.
    const bool IsActing =
        Stopped.count(Name) == 0 &&
        (!HoldsLease || Claim.LeaseTerm == Lease.leaseTerm().number());
    if (Claim.Owner.empty() || (isOwn(Claim) && !IsActing))
      continue;
    // Nor does this host own what an earlier process of it claimed.
    if (Claim.Owner == Settings.Name && !isOwn(Claim))
      continue;
    View.Owners[upstream_id::ofName(Name)] = {host_id::ofName(Claim.Owner),
                                              Claim.Fence};
  }
  View.OwnershipValidUntil = Lease.leaseTerm().validUntil();
  const auto Found = Table.Hosts.find(Settings.Name);
  if (Found == Table.Hosts.end())
    return;
  const host_share &Share = Found->second;
  const bool IsHeld = Share.Incarnation == Settings.Incarnation &&
                      Share.ShareTerm == Lease.shareTerm().number() &&
                      Lease.shareTerm().holds(Now);
  if (!IsHeld)
    return;
  View.Share.PartsPerMillion = std::min(
      Share.PartsPerMillion, ShareLimit.value_or(TotalPartsPerMillion));
  View.Share.Generation = Share.Generation;
  View.Share.ValidUntil = Lease.shareTerm().validUntil();
}

bool zone_keeper::ownsEngines() const {
  return std::any_of(Table.Engines.begin(), Table.Engines.end(),
                     [this](const auto &Entry) { return isOwn(Entry.second); });
}

bool zone_keeper::holdsShare() const {
  const auto Found = Table.Hosts.find(Settings.Name);
  return Found != Table.Hosts.end() &&
         Found->second.Incarnation == Settings.Incarnation;
}

bool zone_keeper::hasWork(time_point Now) const {
  return std::any_of(Stopped.begin(), Stopped.end(), [&](const auto &Entry) {
    return Now - Entry.second.Since >= Settings.Lease.Margin;
  });
}

} // namespace spindle
