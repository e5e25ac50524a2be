#include "LibHost/zone_table_manager.h"

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

zone_table_manager::zone_table_manager(const runtime_clock &Clock,
                                       const platform_port &Platform,
                                       const membership_settings &Settings)
    : Clock(Clock), Platform(Platform), Settings(Settings) {}

bool zone_table_manager::isOwn(const engine_claim &Claim) const {
  return Claim.Owner == Settings.Name &&
         Claim.Incarnation == Settings.Incarnation;
}

void zone_table_manager::adopt(zone_table NewTable, std::uint64_t NewVersion) {
  Table = std::move(NewTable);
  Version = NewVersion;
  if (NewVersion > PendingBase)
    ShareLimit.reset();
  for (auto Entry = InactiveEngines.begin(); Entry != InactiveEngines.end();) {
    const engine_claim &Claim = Table.Engines[Entry->first];
    const bool IsOver = !isOwn(Claim) || Claim.Fence > Entry->second.Fence;
    Entry = IsOver ? InactiveEngines.erase(Entry) : std::next(Entry);
  }
}

void zone_table_manager::readTable() {
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

zone_grants zone_table_manager::readFleet() {
  const std::optional<platform_object> Object =
      Platform.Get(platform_kind::ZoneTables, FleetTableName);
  if (Object) {
    FleetVersion = Object->Version;
    return readZoneGrants(Object->Body);
  }
  zone_grants Empty;
  FleetVersion = Platform.Create(platform_kind::ZoneTables, FleetTableName,
                                 writeZoneGrants(Empty));
  return Empty;
}

/// Moves the zone's grant in the fleet table towards the share that the zone
/// weights call for.
void zone_table_manager::updateZoneGrant(zone_decision_input &Facts) {
  const bool IsSettled = Grant.PartsPerMillion == Facts.TargetBudget &&
                         Table.Budget == Facts.TargetBudget;
  if (!Facts.IsMaintainer || IsSettled) {
    Facts.Grant = Grant;
    return;
  }
  zone_grants Fleet = readFleet();
  std::optional<zone_grants> Next =
      decideFleet(Fleet, Settings.Zone, Table, Facts);
  if (Next) {
    Next->Nonce = Settings.Name + "-" + std::to_string(++Writes);
    FleetVersion = Platform.Update(platform_kind::ZoneTables, FleetTableName,
                                   *FleetVersion, writeZoneGrants(*Next));
    Fleet = *Next;
  }
  Grant = Fleet.Zones[Settings.Zone];
  Facts.Grant = Grant;
}

/// Stops acting on engines that another host should own. Rebalancing hands over
/// one engine at a time; draining hands over all at once.
void zone_table_manager::chooseReleases(const zone_decision_input &Facts,
                                        bool Draining) {
  const time_point Now = Clock.now();
  for (const auto &[Name, Claim] : Table.Engines) {
    if (!isOwn(Claim) || InactiveEngines.count(Name) != 0) {
      NotPreferredSince.erase(Name);
      continue;
    }
    const std::string Preferred = preferredOwner(Name, Facts.LiveHosts);
    if (Preferred == Settings.Name) {
      NotPreferredSince.erase(Name);
      continue;
    }
    const time_point Since = NotPreferredSince.emplace(Name, Now).first->second;
    const bool IsForBalance = !Preferred.empty() && InactiveEngines.empty() &&
                              Now - Since >= Settings.RebalanceDelay;
    if (Draining || IsForBalance)
      InactiveEngines[Name] = {Claim.Fence, Now};
  }
}

void zone_table_manager::decideAndWrite(zone_decision_input Facts,
                                        bool Draining,
                                        const std::function<void()> &Publish) {
  chooseReleases(Facts, Draining);
  for (const auto &[Name, Engine] : InactiveEngines)
    if (Clock.now() - Engine.Since >= Settings.Lease.Margin)
      Facts.Releasing.insert(Name);
  updateZoneGrant(Facts);
  zone_decision Decision = decideZone(Table, Facts);
  // While ShareLimit is set, any write is worth making: it invalidates the
  // earlier write that may still take effect.
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

/// Logs what this host claimed or released with a confirmed write.
void zone_table_manager::logChanges(const zone_table &Written) const {
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

void zone_table_manager::addOwnZone(host_view &View, const lease_renewer &Lease,
                                    time_point Now) const {
  const bool HoldsLease = Lease.leaseTerm().holds(Now);
  for (const auto &[Name, Claim] : Table.Engines) {
    // After its lease has expired, this host still pins the adapters loaded on
    // its engines, but OwnershipValidUntil has passed, so it gives no orders.
    const bool IsActing =
        InactiveEngines.count(Name) == 0 &&
        (!HoldsLease || Claim.LeaseTerm == Lease.leaseTerm().number());
    if (Claim.Owner.empty() || (isOwn(Claim) && !IsActing))
      continue;
    // Engines claimed by an earlier process of this host are not its own.
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

bool zone_table_manager::ownsEngines() const {
  return std::any_of(Table.Engines.begin(), Table.Engines.end(),
                     [this](const auto &Entry) { return isOwn(Entry.second); });
}

bool zone_table_manager::holdsShare() const {
  const auto Found = Table.Hosts.find(Settings.Name);
  return Found != Table.Hosts.end() &&
         Found->second.Incarnation == Settings.Incarnation;
}

bool zone_table_manager::hasPendingRelease(time_point Now) const {
  return std::any_of(InactiveEngines.begin(), InactiveEngines.end(),
                     [&](const auto &Entry) {
                       return Now - Entry.second.Since >= Settings.Lease.Margin;
                     });
}

} // namespace spindle
