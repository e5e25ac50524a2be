#include "LibHost/gossip_peers.h"

#include "LibMembership/rendezvous.h"

#include <algorithm>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

/// Hosts per zone that watch the configuration head.
static constexpr std::size_t RelaysInZone = 2;
/// Hosts of the own zone that are contacted in one gossip round.
static constexpr std::size_t GossipFanOut = 2;

void gossip_peers::applyView(const host_view &View) {
  const lock Lock(Mutex);
  Peers = View.Peers;
  FleetHosts = View.FleetHosts;
}

std::uint32_t gossip_peers::fleetHosts() const {
  const lock Lock(Mutex);
  return FleetHosts;
}

std::optional<endpoint> gossip_peers::findLink(host_id Host) const {
  const lock Lock(Mutex);
  for (const peer_host &Peer : Peers)
    if (Peer.Id == Host)
      return Peer.Link;
  return std::nullopt;
}

bool gossip_peers::isRelay() const {
  const lock Lock(Mutex);
  std::vector<host_id> Others;
  for (const peer_host &Peer : Peers)
    if (Peer.Zone.Value == Self.zone() && !Peer.Draining)
      Others.push_back(Peer.Id);
  return rendezvousRank(Self.zone(), host_id{Self.host()}, Others) <
         RelaysInZone;
}

std::vector<endpoint> gossip_peers::endpoints(bool OwnZone) const {
  const lock Lock(Mutex);
  return endpointsLocked(OwnZone);
}

/// As endpoints(). Precondition: Mutex is held.
std::vector<endpoint> gossip_peers::endpointsLocked(bool OwnZone) const {
  std::vector<endpoint> Links;
  for (const peer_host &Peer : Peers)
    if ((Peer.Zone.Value == Self.zone()) == OwnZone)
      Links.push_back(Peer.Link);
  if (Peers.empty() && OwnZone)
    Links = Seeds;
  return Links;
}

std::vector<endpoint> gossip_peers::pickForGossip(std::uint64_t Version) {
  const lock Lock(Mutex);
  const std::vector<endpoint> OwnZone = endpointsLocked(true);
  const std::vector<endpoint> OtherZones = endpointsLocked(false);
  const std::size_t Current = Round++;
  const bool HasNewVersion = Version > AnnouncedVersion;
  AnnouncedVersion = std::max(AnnouncedVersion, Version);
  const std::size_t Count =
      HasNewVersion ? OwnZone.size() : std::min(OwnZone.size(), GossipFanOut);
  std::vector<endpoint> Picked;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Picked.push_back(
        OwnZone[(Current * GossipFanOut + Index) % OwnZone.size()]);
  if (!OtherZones.empty())
    Picked.push_back(OtherZones[Current % OtherZones.size()]);
  return Picked;
}

std::uint64_t gossip_peers::roundScore() const {
  const lock Lock(Mutex);
  return rendezvousScore(Round, host_id{Self.host()});
}

} // namespace spindle
