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

/// Another host as this one knows it.
struct peer_host {
  host_id Id;
  std::string Name;
  zone_id Zone;
  /// Where it serves the protocol between hosts.
  endpoint Link;
  std::uint64_t Incarnation = 0;
  std::uint64_t ConfigurationVersion = 0;
  bool Draining = false;
};

/// Who may give orders to an engine.
struct engine_owner {
  host_id Host;
  std::uint64_t Fence = 0;
};

/// A host's part of every customer's rate and burst.
struct base_share {
  /// Parts of a million of the fleet's whole.
  std::uint32_t PartsPerMillion = 0;
  /// Raised at each change of this host's share; a share that grows starts
  /// with an empty bucket for what was added.
  std::uint64_t Generation = 0;
  /// The share must not be used from then on unless it is renewed.
  time_point ValidUntil;
};

/// A host whose lease has lapsed and whose process is not known to have ended.
/// It may be cut off from the platform and still send requests.
struct lapsed_host {
  host_id Id;
  std::uint64_t Incarnation = 0;
};

/// What a host knows of the fleet at one moment.
struct host_view {
  std::uint64_t Sequence = 0;
  /// Live hosts without this one, those of the own zone first.
  std::vector<peer_host> Peers;
  /// Hosts that are neither live nor gone, without this one.
  std::vector<lapsed_host> LapsedHosts;
  /// Hosts that the platform's list no longer names, or that came back with
  /// another incarnation: (host, last incarnation that is gone).
  std::map<host_id, std::uint64_t> GoneIncarnations;
  /// The engines' owners. This host's own claims stay while its lease is
  /// lapsed: it then pins what is loaded and gives no orders.
  std::map<upstream_id, engine_owner> Owners;
  /// Until when this host may act as the owner of its engines.
  time_point OwnershipValidUntil;
  /// Upstreams that the platform's list calls leaving.
  std::vector<upstream_id> LeavingUpstreams;
  base_share Share;
  /// Parts of the weight store's budget, as Share is of the customers' rates.
  std::uint32_t FleetHosts = 1;
  bool PlatformReachable = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_HOST_VIEW_H
