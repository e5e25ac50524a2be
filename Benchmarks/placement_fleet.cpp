#include "placement_fleet.h"

#include <cmath>

namespace spindle {

placement_fleet::placement_fleet(const placement_load &Load,
                                 const placement_policy &Policy, time_point Now)
    : Hosts(std::size_t{Load.Zones} * Load.HostsPerZone),
      Engines(std::size_t{Load.Zones} * Load.EnginesPerZone), Load(Load) {
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
    Holders.push_back({{Host + 1}, 1});
    buildTable(Hosts[Host], Host);
    residency_owner &Owner = Hosts[Host].Owner;
    Owner.ValidUntil = time_point::max();
    Owner.Settings.Victims = Policy.Victims;
    Owner.LoadWait.BaseLoadMilliseconds =
        static_cast<double>(Load.LoadTime.count());
  }
  for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine)
    buildSlots(Engine, Now);
  for (placement_host &Host : Hosts)
    Host.Pins.LastSequence = 1;
}

std::size_t placement_fleet::zoneOfHost(std::size_t Host) const {
  return Host / Load.HostsPerZone;
}

std::size_t placement_fleet::zoneOfEngine(std::size_t Engine) const {
  return Engine / Load.EnginesPerZone;
}

std::size_t placement_fleet::ownerOf(std::size_t Engine) const {
  return zoneOfEngine(Engine) * Load.HostsPerZone;
}

engine_slots &placement_fleet::slotsOf(std::size_t Engine) {
  return Hosts[ownerOf(Engine)].Owner.Engines[idOf(Engine)];
}

void placement_fleet::buildTable(placement_host &Host,
                                 std::size_t HostIndex) const {
  static constexpr double OtherZoneMilliseconds = 3;
  model_engines &Model = Host.Table.Models["base"];
  Host.Table.LoadsPerSecond = Load.LoadsPerSecond;
  Host.Table.TurnoverSeconds =
      static_cast<double>(Engines.size() * Load.Slots) / Load.LoadsPerSecond;
  Host.Table.LoadMilliseconds = static_cast<double>(Load.LoadTime.count());
  for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine) {
    routed_engine Routed;
    Routed.Id = idOf(Engine);
    Routed.Load.BatchSize = Load.BatchSize;
    Routed.DistanceMilliseconds = zoneOfEngine(Engine) == zoneOfHost(HostIndex)
                                      ? 0
                                      : OtherZoneMilliseconds;
    Host.Table.Index[Routed.Id] = static_cast<engine_index>(Engine);
    Host.Table.Engines.push_back(Routed);
    Model.Engines.push_back(static_cast<engine_index>(Engine));
  }
  const std::vector<std::uint32_t> Slots(Engines.size(), Load.Slots);
  rankEngines(Host.Table, Model, Slots);
}

/// Gives the owner of an engine a report of it, empty, and all hosts' pins.
void placement_fleet::buildSlots(std::size_t Engine, time_point Now) {
  engine_slots &Slots = slotsOf(Engine);
  Slots.Engine = idOf(Engine);
  takeOver(Slots, 1, Now);
  applyReport(Slots, {1, Load.Slots, 1, {}, {}, Now + milliseconds(1)}, Now);
  for (const pin_holder &Holder : Holders)
    syncPins(Slots, Holder, 1, {}, Now);
  Engines[Engine].Changed = Now;
}

void placeBest(placement_fleet &Fleet, const placement_load &Load,
               const adapter_popularity &Popularity, time_point Now) {
  const double ServiceSeconds =
      Load.MeanAnswerTokens * Load.StepMilliseconds / 1'000;
  std::size_t Next = 0;
  const std::size_t Slots = Fleet.Engines.size() * Load.Slots;
  for (std::size_t Rank = 0; Rank < Load.Adapters && Next < Slots; ++Rank) {
    const double Busy =
        Popularity.shareOf(Rank) * Load.RequestsPerSecond * ServiceSeconds;
    const std::size_t Replicas =
        static_cast<std::size_t>(std::ceil(Busy / (0.5 * Load.BatchSize)));
    for (std::size_t Copy = 0; Copy < Replicas && Next < Slots; ++Copy, ++Next)
      Fleet.slotsOf(Next % Fleet.Engines.size())
          .Occupied.push_back({Popularity.adapterAt(Rank), slot_state::Loaded,
                               Now, Now, false});
  }
}

void applyPopularity(placement_fleet &Fleet, const placement_load &Load,
                     const adapter_popularity &Popularity, time_point Now) {
  for (placement_host &Host : Fleet.Hosts)
    for (std::size_t Rank = 0; Rank < Load.Adapters; ++Rank)
      Host.Owner.Uses.Counts[Popularity.adapterAt(Rank)] = {
          1e6 / static_cast<double>(Rank + 1), Now};
}

/// Delivers the pins of a holder on one engine to the engine's owner.
static void syncPinsOn(placement_fleet &Fleet, std::size_t Engine,
                       std::size_t Holder, time_point Now) {
  pin_cache &Pins = Fleet.Hosts[Holder].Pins;
  residency_owner &Owner = Fleet.Hosts[Fleet.ownerOf(Engine)].Owner;
  const upstream_id Id = placement_fleet::idOf(Engine);
  const std::vector<fenced_engine> Named{{Id, 1}};
  const pin_sync Sync = composeSync(Pins, Named);
  std::vector<adapter_id> Pinned;
  for (const synced_pin &Pin : Sync.Pins) {
    Pinned.push_back(Pin.Placement.Adapter);
    if (Pin.UsesSinceSync > 0)
      noteDemand(Owner.Uses, Pin.Placement.Adapter, Pin.UsesSinceSync, Now);
  }
  const std::optional<std::vector<adapter_id>> Recalled = applySync(
      Owner, Named.front(), Fleet.Holders[Holder], Sync.Sequence, Pinned, Now);
  noteSyncAcknowledged(Pins, Sync, Named.front(), Now);
  for (const adapter_id Adapter : *Recalled)
    notePinRecalled(Pins, {Id, Adapter});
}

void syncAllPins(placement_fleet &Fleet, time_point Now) {
  static constexpr milliseconds UnusedPinTime{2'000};
  for (std::size_t Holder = 0; Holder < Fleet.Hosts.size(); ++Holder) {
    dropUnusedPins(Fleet.Hosts[Holder].Pins, UnusedPinTime, Now);
    for (std::size_t Engine = 0; Engine < Fleet.Engines.size(); ++Engine)
      syncPinsOn(Fleet, Engine, Holder, Now);
  }
}

} // namespace spindle
