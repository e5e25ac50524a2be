#ifndef PARSLEYSPINDLE_LIBHOST_GOSSIP_PEERS_H
#define PARSLEYSPINDLE_LIBHOST_GOSSIP_PEERS_H

#include "LibCore/endpoint.h"
#include "LibMembership/host_view.h"
#include "LibPeer/host_link_client.h"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

namespace spindle {

/// The other hosts that a host exchanges configuration versions with.
/// Thread-safe.
class gossip_peers {
public:
  /// \p Seeds stand for the peers of the own zone while no view lists any.
  gossip_peers(host_link::Sender Self, std::vector<endpoint> Seeds)
      : Self(std::move(Self)), Seeds(std::move(Seeds)) {}

  void applyView(const host_view &View);
  std::uint32_t fleetHosts() const;
  /// The endpoints of the peers in the own zone, or of those in other zones.
  std::vector<endpoint> endpoints(bool OwnZone) const;
  std::optional<endpoint> findLink(host_id Host) const;
  /// Whether this host is one of those in its zone that watch the configuration
  /// head.
  bool isRelay() const;
  /// Begins a gossip round and picks its peers in rotation: all of the zone if
  /// \p Version was not announced to it yet.
  std::vector<endpoint> pickForGossip(std::uint64_t Version);
  /// A number that differs between hosts and gossip rounds.
  std::uint64_t roundScore() const;

private:
  std::vector<endpoint> endpointsLocked(bool OwnZone) const;

  const host_link::Sender Self;
  const std::vector<endpoint> Seeds;
  mutable std::mutex Mutex;
  std::vector<peer_host> Peers;
  std::uint32_t FleetHosts = 1;
  std::size_t Round = 0;
  /// The last version that this host announced to its whole zone.
  std::uint64_t AnnouncedVersion = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_GOSSIP_PEERS_H
