#ifndef PARSLEYSPINDLE_LIBGATEWAY_ZONE_HUB_H
#define PARSLEYSPINDLE_LIBGATEWAY_ZONE_HUB_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/customer_quota.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/object_mirror.h"
#include "LibGateway/peer_reports.h"
#include "LibGateway/shared_suspects.h"
#include "LibGateway/use_ledger.h"
#include "LibGateway/zone_lead.h"
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
  /// Told, on a lead, of all adapters that hosts use now.
  std::function<void(std::span<const adapter_use>)> OnAdapterUses;
  /// The rooms of the engines that this host orders.
  std::function<std::vector<available_slots>()> Rooms;
};

/// Keeps the zone's hosts in step. One host of each zone is its lead, see
/// zone_lead, and gives the orders to the zone's engines. The other hosts tell
/// it several times a second what they have admitted and under way, and learn
/// from it what the rest of the fleet has; leads do the same with each other.
/// So the messages of a host don't grow with the fleet, and those of a lead
/// grow with its zone and the number of zones.
///
/// Thread-safe in every method.
class zone_hub {
public:
  zone_hub(host_identity Self, hub_parts Parts);

  /// Registers this host and takes the lead if it is free. Blocks the fiber
  /// while the platform is asked.
  void keepMembership();
  /// Exchanges news with the lead, or, as lead, with other leads. Blocks.
  /// A host that knows no lead asks one of the other hosts, or of \p Seeds,
  /// for what the platform does not tell it.
  void exchange(std::span<const endpoint> Seeds);
  /// How many hosts are registered, at least 1.
  std::size_t fleetHosts() const;
  /// See zone_lead::leave().
  bool leave(bool LastChance) { return Lead.leave(LastChance); }

  /// The fencing token for orders in \p Zone, if this host may order there.
  std::optional<std::uint64_t> fence(std::string_view Zone) const {
    return Lead.fence(Zone);
  }
  /// Notes that an engine has seen a higher token than \p Token.
  void noteFenced(std::uint64_t Token) { Lead.noteFenced(Token); }
  /// Where the lead of a zone can be asked; none if the zone has none.
  std::optional<endpoint> leadOf(std::string_view Zone) const {
    return Lead.leadOf(Zone);
  }
  bool isLead() const { return Lead.isLead(); }
  /// Whether another host is lead and has answered lately.
  bool hearsLead() const;
  /// Where other hosts reach this one.
  const endpoint &link() const { return Self.Link; }
  /// The requests that crash upstreams, which all hosts share.
  shared_suspects &suspects() { return Suspects; }

  host_link::SyncReply handleSync(const host_link::SyncRequest &Request);

private:
  void exchangeWithLead(const endpoint &Peer);
  void askAnyHost(std::span<const endpoint> Seeds);
  void exchangeWithLeads();
  host_link::SyncRequest makeRequest(std::string_view Peer);
  host_link::SyncRequest makeLeadRequest(std::string_view Peer,
                                         std::string_view Zone);
  void writeKinds(std::string_view Peer, host_link::SyncRequest &Request);
  void takeReplyOfLead(std::string_view Peer,
                       const host_link::SyncReply &Reply);
  void takeReplyOfOtherLead(std::string_view Peer,
                            const host_link::SyncReply &Reply);
  void takeCommonReply(std::string_view Peer,
                       const host_link::SyncReply &Reply);
  void noteRequest(const std::string &Peer,
                   const host_link::SyncRequest &Request);
  void applyReports();
  void applyShare();
  void mergeKinds(
      std::string_view Peer,
      const google::protobuf::RepeatedPtrField<host_link::MirroredKind> &Kinds);

  const host_identity Self;
  const hub_parts Parts;
  zone_lead Lead;
  shared_suspects Suspects;
  mutable std::mutex Mutex;
  time_point LeadHeardAt;
  bool LeadSilent = false;
  std::uint32_t HostsHeard = 1;
  /// What others have used, by who tells; see usage_ledger.
  usage_ledger Ledger;
  peer_reports Reports;
  customer_usage SeenFromLead;
  std::uint64_t SeenIncarnation = 0;
  std::size_t NextAsked = 0;
  std::set<std::string> SilentZones;
  std::map<std::string, std::map<std::string, std::uint64_t>> PeerCursors;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ZONE_HUB_H
