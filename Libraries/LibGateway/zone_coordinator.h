#ifndef PARSLEYSPINDLE_LIBGATEWAY_ZONE_COORDINATOR_H
#define PARSLEYSPINDLE_LIBGATEWAY_ZONE_COORDINATOR_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/customer_quota.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/object_mirror.h"
#include "LibGateway/peer_reports.h"
#include "LibGateway/shared_part_suspects.h"
#include "LibGateway/shared_suspects.h"
#include "LibGateway/usage_ledger.h"
#include "LibGateway/zone_leadership.h"
#include "LibPeer/host_link_client.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace spindle {

/// The objects that a zone_coordinator uses. All must outlive it.
struct zone_coordinator_dependencies {
  const runtime_clock &Clock;
  const platform_port &Platform;
  host_link_port Peers;
  fleet_table &Fleet;
  customer_quota &Quota;
  /// The registrations of hosts and the leaders of zones.
  object_mirror &Members;
  /// Every kind of objects that hosts relay to each other, Members included.
  std::vector<object_mirror *> Mirrors;
  /// Called on a leader with all adapters that hosts currently use.
  std::function<void(std::span<const adapter_use>)> OnAdaptersInUse;
  /// The available adapter slots of the engines to which this host gives
  /// orders.
  std::function<std::vector<available_slots>()> AvailableSlots;
};

/// Synchronizes the zone's hosts. One host of each zone is its leader, see
/// zone_leadership, and gives the orders to the zone's engines. Several times a
/// second, the other hosts report to it what they have admitted and what is in
/// flight, and receive the same of the rest of the fleet; leaders do so with
/// each other. So the messages of a host don't grow with the fleet, and those
/// of a leader grow with its zone and the number of zones.
///
/// Thread-safe in every method.
class zone_coordinator {
public:
  zone_coordinator(host_identity Self,
                   zone_coordinator_dependencies Dependencies);

  /// Registers this host and takes over leadership if it is free. Blocks the
  /// fiber during calls to the platform.
  void maintainMembership();
  /// Exchanges state with the leader, or, as leader, with other leaders. Blocks
  /// the fiber. A host without a responsive leader, or that can't reach the
  /// platform, requests changes from one of the other hosts or of \p Seeds.
  void exchange(std::span<const endpoint> Seeds);
  /// Fetches, from one of the other hosts or of \p Seeds, the changes that were
  /// too large for an exchange and that the platform does not deliver. Blocks
  /// the fiber.
  void fetchWithheldChanges(std::span<const endpoint> Seeds);
  /// The number of registered hosts, at least 1.
  std::size_t registeredHostCount() const;
  /// The registered hosts.
  std::vector<host_location> hostLocations() const;
  /// See zone_leadership::leave().
  bool leave(bool Force) { return Leadership.leave(Force); }

  /// The fencing token for orders in \p Zone, if this host may give orders
  /// there.
  std::optional<std::uint64_t> fencingToken(std::string_view Zone) const {
    return Leadership.fencingToken(Zone);
  }
  /// Records that an engine has seen a higher token than \p RejectedToken.
  void markFenced(std::uint64_t RejectedToken) {
    Leadership.markFenced(RejectedToken);
  }
  /// The endpoint of a zone's leader; none if the zone has no leader.
  std::optional<endpoint> leaderOf(std::string_view Zone) const {
    return Leadership.leaderOf(Zone);
  }
  bool isLeader() const { return Leadership.isLeader(); }
  /// Whether another host is leader and has replied recently.
  bool isLeaderResponding() const;
  /// The endpoint at which other hosts reach this one.
  const endpoint &link() const { return Self.Link; }
  /// The requests that crash upstreams, shared by all hosts.
  shared_suspects &suspects() { return Suspects; }
  /// The parts of prompts that crash upstreams, shared by all hosts.
  shared_part_suspects &partSuspects() { return PartSuspects; }

  host_link::SyncReply handleSync(const host_link::SyncRequest &Request);
  host_link::FetchChangesReply
  handleFetchChanges(const host_link::FetchChangesRequest &Request) const;

private:
  void exchangeWithLeader(const endpoint &Peer);
  void exchangeWithAnyHost(std::span<const endpoint> Seeds);
  std::optional<endpoint> nextPeer(std::span<const endpoint> Seeds);
  void exchangeWithOtherLeaders();
  host_link::SyncRequest makeRequest(std::string_view Peer);
  host_link::SyncRequest makeLeaderRequest(std::string_view Peer,
                                           std::string_view Zone);
  void addMirroredKinds(std::string_view Peer, host_link::SyncRequest &Request);
  void applyLeaderReply(std::string_view Peer,
                        const host_link::SyncReply &Reply);
  void applyOtherLeaderReply(std::string_view Peer,
                             const host_link::SyncReply &Reply);
  void applyCommonReply(std::string_view Peer,
                        const host_link::SyncReply &Reply);
  void recordRequest(const std::string &Peer,
                     const host_link::SyncRequest &Request);
  void applyReports();
  void updateFleetShare();
  void mergeMirroredKinds(
      std::string_view Peer,
      const google::protobuf::RepeatedPtrField<host_link::MirroredKind> &Kinds);

  const host_identity Self;
  const zone_coordinator_dependencies Dependencies;
  zone_leadership Leadership;
  shared_suspects Suspects;
  shared_part_suspects PartSuspects;
  mutable std::mutex Mutex;
  time_point LeaderRepliedAt;
  bool LeaderUnresponsive = false;
  std::uint32_t ReportingHosts = 1;
  /// The customers' usage at other hosts, by reporting peer; see usage_ledger.
  usage_ledger Ledger;
  peer_reports Reports;
  customer_usage LastLeaderUsage;
  std::uint64_t LastLeaderIncarnation = 0;
  std::size_t NextPeer;
  std::set<std::string> UnreachableZones;
  /// The versions up to which peers have all changes, by peer and kind.
  std::map<std::string, std::map<std::string, std::uint64_t>> PeerCursors;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ZONE_COORDINATOR_H
