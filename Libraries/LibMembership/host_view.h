#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_HOST_VIEW_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_HOST_VIEW_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace spindle {

/// What this host knows about another host.
struct peer_host {
  host_id Id;
  std::string Name;
  zone_id Zone;
  /// The endpoint at which it serves the protocol between hosts.
  endpoint Link;
  std::uint64_t Incarnation = 0;
  std::uint64_t ConfigurationVersion = 0;
  bool Draining = false;
};

/// The host that may send orders to an engine.
struct engine_owner {
  host_id Host;
  std::uint64_t Fence = 0;
};

/// A host's share of every customer's rate and burst.
struct base_share {
  /// In parts per million of the fleet's total.
  std::uint32_t PartsPerMillion = 0;
  /// Incremented at each change of this host's share. The bucket for the added
  /// part of a larger share starts empty.
  std::uint64_t Generation = 0;
  /// The share must not be used from this time on unless it is renewed.
  time_point ValidUntil;
};

/// A host whose lease has lapsed but whose process is not known to have ended.
/// It may be disconnected from the platform and still send requests.
struct lapsed_host {
  host_id Id;
  std::uint64_t Incarnation = 0;
};

/// A host's view of the fleet at one point in time.
struct host_view {
  std::uint64_t Sequence = 0;
  /// Live hosts except this one, those of its own zone first.
  std::vector<peer_host> Peers;
  /// Hosts that are neither live nor gone, except this one.
  std::vector<lapsed_host> LapsedHosts;
  /// The last incarnation that has ended, for hosts that the platform no
  /// longer lists and for hosts that restarted with another incarnation.
  std::map<host_id, std::uint64_t> GoneIncarnations;
  /// The engines' owners. This host's own claims stay while its lease has
  /// lapsed: it then pins what is loaded and sends no orders.
  std::map<upstream_id, engine_owner> Owners;
  /// This host may act as the owner of its engines until this time.
  time_point OwnershipValidUntil;
  /// Upstreams with the state "leaving" in the platform's list of machines.
  std::vector<upstream_id> DrainingUpstreams;
  base_share Share;
  /// Number of live hosts, including this one; divides, among others, the
  /// weight store's budget.
  std::uint32_t FleetHosts = 1;
  bool PlatformReachable = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_HOST_VIEW_H
