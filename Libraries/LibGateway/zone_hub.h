#ifndef PARSLEYSPINDLE_LIBGATEWAY_ZONE_HUB_H
#define PARSLEYSPINDLE_LIBGATEWAY_ZONE_HUB_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibGateway/customer_quota.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/object_mirror.h"
#include "LibGateway/use_ledger.h"
#include "LibPeer/host_link_client.h"
#include "LibResilience/crash_suspects.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace spindle {

/// Who this host is.
struct hub_identity {
  std::string Name;
  std::string Zone;
  endpoint Link;
  std::uint64_t Incarnation = 0;
  host_link::Sender Sender;
};

/// What a hub works with. All must outlive it.
struct hub_parts {
  const runtime_clock &Clock;
  const platform_port &Platform;
  host_link_port Peers;
  fleet_table &Fleet;
  customer_quota &Quota;
  /// Hosts and the leads of zones.
  object_mirror &Members;
  /// Every kind that hosts pass on to each other, Members included.
  std::vector<object_mirror *> Mirrors;
  /// Told of the adapters that other hosts use.
  std::function<void(const adapter_use &)> OnAdapterUse;
  /// The rooms of the engines that this host orders.
  std::function<std::vector<engine_room>()> Rooms;
};

/// Keeps the zone's hosts in step. One host of each zone is its lead: it holds
/// an object at the platform whose revision is its fencing token, and gives
/// the orders to the zone's engines. The other hosts tell it several times a
/// second what they have admitted and under way, and learn from it what the
/// rest of the fleet has; leads do the same with each other. So the messages
/// of a host don't grow with the fleet, and those of a lead grow with its
/// zone and the number of zones.
///
/// Thread-safe in every method.
class zone_hub {
public:
  zone_hub(hub_identity Self, hub_parts Parts);

  /// Registers this host and takes the lead if it is free. Blocks the fiber
  /// while the platform is asked.
  void keepMembership();
  /// Exchanges news with the lead, or, as lead, with other leads. Blocks.
  /// A host that knows no lead asks one of the other hosts, or of \p Seeds,
  /// for what the platform does not tell it.
  void exchange(std::span<const endpoint> Seeds);
  /// How many hosts are registered, at least 1.
  std::size_t fleetHosts() const;
  /// Gives the lead back, and the registration. Returns whether the platform
  /// took it; until then this host stays the lead, as nobody else could become
  /// it. Blocks the fiber.
  bool leave();

  /// The fencing token for orders in \p Zone, if this host may order there.
  std::optional<std::uint64_t> fence(std::string_view Zone) const;
  /// Notes that an engine has seen a higher token than \p Token.
  void noteFenced(std::uint64_t Token);
  /// Where the lead of a zone can be asked; none if the zone has none.
  std::optional<endpoint> leadOf(std::string_view Zone) const;
  bool isLead() const;
  /// Whether another host is lead and has answered lately.
  bool hearsLead() const;
  /// Where other hosts reach this one.
  const endpoint &link() const { return Self.Link; }

  host_link::SyncReply handleSync(const host_link::SyncRequest &Request);

  /// Notes and asks about requests that crash upstreams; see crash_suspects.
  bool isHeldBack(request_fingerprint Fingerprint);
  void noteRunStarted(upstream_id Upstream, request_fingerprint Fingerprint);
  void noteRunEnded(upstream_id Upstream, request_fingerprint Fingerprint,
                    run_end End);

private:
  struct lead_record {
    std::string Host;
    std::string Link;
    std::uint64_t Incarnation = 0;
    bool Released = false;
    std::uint64_t Revision = 0;
  };

  std::optional<lead_record> readLead(std::string_view Zone) const;
  std::map<std::string, endpoint> otherLeads() const;
  void registerHost();
  void releaseLead();
  std::vector<platform_object> lostHosts() const;
  void removeLostHosts();
  bool mayTakeLead(const std::optional<lead_record> &Lead) const;
  void takeLead(const std::optional<lead_record> &Lead);
  void noteLead(const std::optional<lead_record> &Lead);
  void exchangeWithLead(const endpoint &Lead);
  void askAnyHost(std::span<const endpoint> Seeds);
  void exchangeWithLeads();
  host_link::SyncRequest makeRequest(std::string_view Peer, bool FromLead);
  void writeKinds(std::string_view Peer, host_link::SyncRequest &Request);
  void takeReply(std::string_view Peer, const host_link::SyncReply &Reply,
                 bool FromOwnLead);
  void applyShare();
  void mergeKinds(
      std::string_view Peer,
      const google::protobuf::RepeatedPtrField<host_link::MirroredKind> &Kinds);
  void mergeSuspectMessages(
      const google::protobuf::RepeatedPtrField<host_link::Suspect> &Messages);
  template <typename message> void writeSuspects(message &Message);

  const hub_identity Self;
  const hub_parts Parts;
  mutable std::mutex Mutex;
  std::uint64_t OwnRegistration = 0;
  bool Leaving = false;
  /// Set while this host is its zone's lead.
  std::optional<std::uint64_t> Token;
  time_point LeadSince;
  time_point MayOrderFrom;
  std::uint64_t FencedToken = 0;
  time_point LeadHeardAt;
  time_point LeadSeenAt;
  std::uint64_t LeadIncarnation = 0;
  bool LeadSilent = false;
  std::uint32_t HostsHeard = 1;
  /// What others have used, by who tells; see use_ledger.
  use_ledger Ledger;
  customer_uses SeenFromLead;
  std::uint64_t SeenIncarnation = 0;
  std::size_t NextAsked = 0;
  std::set<std::string> SilentZones;
  std::map<std::string, std::vector<host_link::UpstreamLoad>> LoadsByPeer;
  std::map<std::string, std::vector<adapter_use>> UsesByHost;
  std::map<std::string, std::map<std::string, std::uint64_t>> PeerCursors;
  crash_suspects Suspects;
  std::map<request_fingerprint, suspect_record> RecentSuspects;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ZONE_HUB_H
