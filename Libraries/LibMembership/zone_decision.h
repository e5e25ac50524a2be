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

/// The properties of an engine of the zone that affect its ownership.
struct owned_engine {
  std::string Name;
  bool HonoursFencing = true;
};

/// The information from which a host decides on its zone's table.
struct zone_decision_input {
  std::string Self;
  std::uint64_t Incarnation = 0;
  std::uint64_t LeaseTerm = 0;
  std::uint64_t ShareTerm = 0;
  bool LeaseHeld = false;
  bool ShareHeld = false;
  /// Whether this host is one of the few that do the work that any host of the
  /// zone could do: reclaim the shares of lost hosts and adapt the budget.
  bool IsMaintainer = false;
  /// Whether this host returns its share.
  bool ReleasesShare = false;
  std::uint64_t ConfigurationVersion = 0;
  /// The zone's budget according to the weights of the configuration.
  std::uint32_t TargetBudget = 0;
  /// The zone's grant in the fleet table.
  zone_grant Grant;
  /// Hosts of the zone that accept new work, including this one if it does.
  std::vector<std::string> LiveHosts;
  std::vector<owned_engine> Engines;
  /// Engines that this host no longer sends orders to and now releases.
  std::set<std::string> Releasing;
  std::function<lease_status(const std::string &Host, std::uint64_t Incarnation,
                             std::uint64_t LeaseTerm, std::uint64_t ShareTerm)>
      LeaseStatusOf;
};

/// The change that a host wants to make to the zone's table.
struct zone_decision {
  zone_table Next;
  bool Changed = false;
  /// The host must reduce its share to this before Next is written.
  std::optional<std::uint32_t> ReduceShareTo;
};

/// Decides on the zone's table. Shares move only through Unallocated: a host
/// with too large a share stops using the excess and adds it there, a host with
/// too small a share takes from there. The share of a lost host goes there when
/// its lease on the share has certainly expired. An engine is claimed by the
/// live host that rendezvous hashing prefers, when the former owner's lease has
/// certainly expired; if the engine ignores fencing, the former owner must have
/// ended too. Thread-safe.
zone_decision decideZone(const zone_table &Table,
                         const zone_decision_input &Input);

/// Returns the zone's budget by its weight, in parts per million.
std::uint32_t zoneTarget(std::uint32_t Weight, std::uint64_t SumOfWeights);
/// Decides on the zone's grant in the fleet table; nullopt if there is no
/// change. A grant is lowered after the budget in the zone's table and raised
/// before it.
std::optional<zone_grants> decideFleet(const zone_grants &Fleet,
                                       const std::string &Zone,
                                       const zone_table &Table,
                                       const zone_decision_input &Input);
/// Returns the host that should own the engine; empty if no host is live.
std::string preferredOwner(const std::string &Engine,
                           const std::vector<std::string> &LiveHosts);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_DECISION_H
