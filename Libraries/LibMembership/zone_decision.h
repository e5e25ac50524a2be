#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_DECISION_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_DECISION_H

#include "LibMembership/lease_observer.h"
#include "LibMembership/zone_table.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindle {

/// An engine of the zone, as far as its ownership depends on it.
struct owned_engine {
  std::string Name;
  bool HonoursFencing = true;
};

/// What a host knows when it decides on its zone's table.
struct zone_facts {
  std::string Self;
  std::uint64_t Incarnation = 0;
  std::uint64_t LeaseTerm = 0;
  std::uint64_t ShareTerm = 0;
  bool LeaseHeld = false;
  bool ShareHeld = false;
  /// Whether this host is one of those that do what any host of the zone
  /// could: reclaim what was lost and adapt the budget.
  bool IsSteward = false;
  /// Whether this host gives back its share.
  bool GivesUpShare = false;
  std::uint64_t ConfigurationVersion = 0;
  /// The zone's part by the configuration's weights.
  std::uint32_t TargetBudget = 0;
  /// The zone's grant in the fleet's table.
  zone_grant Grant;
  /// Hosts of the zone that take new work, with this one if it does.
  std::vector<std::string> LiveHosts;
  std::vector<owned_engine> Engines;
  /// Engines that this host has stopped acting on and now gives up.
  std::set<std::string> Releasing;
  std::function<lease_judgement(
      const std::string &Host, std::uint64_t Incarnation,
      std::uint64_t LeaseTerm, std::uint64_t ShareTerm)>
      Judge;
};

/// What a host wants the zone's table to be.
struct zone_decision {
  zone_table Next;
  bool Changed = false;
  /// The host must not use more than this before Next is written.
  std::optional<std::uint32_t> LowerShareTo;
};

/// Decides on the zone's table. A share moves only by way of Unallocated: who
/// has too much stops using it and puts it there, who has too little takes it
/// from there; what a lost host held goes there once its lease on the share
/// is surely over. An engine is claimed by the live host that rendezvous
/// hashing prefers, once the former owner surely acts no more; for an engine
/// that ignores fencing, once the former owner has ended. Thread-safe.
zone_decision decideZone(const zone_table &Table, const zone_facts &Facts);

/// The zone's part of the whole by the weights, in parts per million.
std::uint32_t zoneTarget(std::uint32_t Weight, std::uint64_t SumOfWeights);
/// Decides on the zone's grant in the fleet's table; nullopt: no change. A
/// grant is lowered after the zone's table, and raised before it.
std::optional<fleet_table> decideFleet(const fleet_table &Fleet,
                                       const std::string &Zone,
                                       const zone_table &Table,
                                       const zone_facts &Facts);
/// The host that should own the engine; empty if none is live.
std::string preferredOwner(const std::string &Engine,
                           const std::vector<std::string> &LiveHosts);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_DECISION_H
