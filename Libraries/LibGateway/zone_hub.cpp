#include "LibGateway/zone_hub.h"

#include "LibCore/result_code.h"
#include "LibGateway/sync_message.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

static constexpr milliseconds PeerLimit{400};
// What is not heard of for so long counts as cut off.
static constexpr milliseconds HeardLimit{1'200};

zone_hub::zone_hub(host_identity Identity, hub_parts HubParts)
    : Self(std::move(Identity)), Parts(std::move(HubParts)),
      Lead(Self, Parts.Clock, Parts.Platform, Parts.Members),
      Suspects(Parts.Clock) {}

std::size_t zone_hub::fleetHosts() const {
  return std::max<std::size_t>(1, Lead.hosts().size());
}

bool zone_hub::hearsLead() const {
  if (Lead.isLead())
    return false;
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Parts.Clock.now() - LeadHeardAt < HeardLimit;
}

void zone_hub::keepMembership() {
  zone_lead::heard_hosts Heard;
  Heard.HeardSince = [this](std::string_view Host, time_point Since) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Account = Ledger.Peers.find("host " + std::string(Host));
    return Account != Ledger.Peers.end() && Account->second.HeardAt >= Since;
  };
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Heard.Lead = LeadHeardAt;
  }
  Lead.keep(Heard);
}

void zone_hub::writeKinds(std::string_view Peer,
                          host_link::SyncRequest &Request) {
  std::map<std::string, std::uint64_t> Cursors;
  bool Known = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = PeerCursors.find(std::string(Peer));
    Known = Found != PeerCursors.end();
    if (Known)
      Cursors = Found->second;
  }
  for (object_mirror *const Mirror : Parts.Mirrors) {
    const std::uint64_t Cursor =
        Known ? Cursors[Mirror->kind()] : Mirror->cursor();
    Mirror->describeSince(Cursor, *Request.add_kinds());
  }
}

static void
writeLoads(std::span<const host_link::UpstreamLoad> Loads,
           google::protobuf::RepeatedPtrField<host_link::UpstreamLoad> &Sums) {
  for (const host_link::UpstreamLoad &Load : sumLoads(Loads))
    *Sums.Add() = Load;
}

/// What this host itself tells.
host_link::SyncRequest zone_hub::makeRequest(std::string_view Peer) {
  host_link::SyncRequest Request;
  *Request.mutable_sender() = Self.Sender;
  Request.set_host_name(Self.Name);
  writeUses(Parts.Quota.localUsage(), *Request.mutable_uses());
  writeLoads(Parts.Fleet.localLoads(), *Request.mutable_loads());
  for (const adapter_use &Use : Parts.Fleet.adaptersInUse())
    writeAdapterUse(Use, *Request.add_adapters());
  writeKinds(Peer, Request);
  Suspects.write(*Request.mutable_suspects());
  return Request;
}

/// What this host tells the lead of \p Zone in the name of its own zone.
host_link::SyncRequest zone_hub::makeLeadRequest(std::string_view Peer,
                                                 std::string_view Zone) {
  host_link::SyncRequest Request;
  *Request.mutable_sender() = Self.Sender;
  Request.set_host_name(Self.Name);
  Request.set_from_lead(true);
  customer_usage Uses = Parts.Quota.localUsage();
  std::vector<host_link::UpstreamLoad> Loads = Parts.Fleet.localLoads();
  std::vector<adapter_use> Adapters = Parts.Fleet.adaptersInUse();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    addUsage(Uses, peerUsage(Ledger, "", false));
    const report_filter OwnHosts{Parts.Clock.now() - HeardLimit, false, ""};
    const std::vector<host_link::UpstreamLoad> Told =
        reportedLoads(Reports, OwnHosts);
    Loads.insert(Loads.end(), Told.begin(), Told.end());
    const std::vector<adapter_use> Used = reportedUses(Reports, OwnHosts);
    Adapters.insert(Adapters.end(), Used.begin(), Used.end());
  }
  writeUses(Uses, *Request.mutable_uses());
  writeLoads(Loads, *Request.mutable_loads());
  for (const adapter_use &Use : Adapters) {
    const upstream_pointer Engine = Parts.Fleet.find(Use.Engine);
    if (Engine && Engine->Zone == Zone)
      writeAdapterUse(Use, *Request.add_adapters());
  }
  writeRooms(Parts.Rooms(), *Request.mutable_rooms());
  writeKinds(Peer, Request);
  Suspects.write(*Request.mutable_suspects());
  return Request;
}

void zone_hub::mergeKinds(
    std::string_view Peer,
    const google::protobuf::RepeatedPtrField<host_link::MirroredKind> &Kinds) {
  for (const host_link::MirroredKind &Kind : Kinds) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      PeerCursors[std::string(Peer)][Kind.kind()] = Kind.cursor();
    }
    for (object_mirror *const Mirror : Parts.Mirrors)
      if (Mirror->kind() == Kind.kind())
        Mirror->merge(Kind);
  }
}

void zone_hub::applyShare() {
  const double Fleet = static_cast<double>(fleetHosts());
  double Heard = 1;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Since = Parts.Clock.now() - HeardLimit;
    if (Lead.isLead())
      Heard = 1 + hostsHeard(Ledger, true, Since);
    else if (!LeadSilent)
      Heard = HostsHeard;
  }
  Parts.Quota.setFleetShare(std::clamp(Heard / Fleet, 1 / Fleet, 1.0));
}

/// Takes over, on a lead, what all peers have under way.
void zone_hub::applyReports() {
  std::vector<host_link::UpstreamLoad> Loads;
  std::vector<adapter_use> Uses = Parts.Fleet.adaptersInUse();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Since = Parts.Clock.now() - HeardLimit;
    dropReportsBefore(Reports, Since);
    const report_filter All{Since, true, ""};
    Loads = reportedLoads(Reports, All);
    const std::vector<adapter_use> Told = reportedUses(Reports, All);
    Uses.insert(Uses.end(), Told.begin(), Told.end());
  }
  Parts.Fleet.setRemoteLoads(Loads);
  Parts.OnAdapterUses(Uses);
}

void zone_hub::takeCommonReply(std::string_view Peer,
                               const host_link::SyncReply &Reply) {
  mergeKinds(Peer, Reply.kinds());
  Suspects.merge(Reply.suspects());
  for (const host_link::EngineRoom &Room : Reply.rooms())
    Parts.Fleet.noteAvailableSlots({upstream_id{Room.upstream()}, Room.room()});
}

void zone_hub::takeReplyOfLead(std::string_view Peer,
                               const host_link::SyncReply &Reply) {
  takeCommonReply(Peer, Reply);
  for (const std::string &Zone : Reply.silent_zones())
    Parts.Fleet.noteZoneSilent(Zone);
  const customer_usage Uses = readUses(Reply.uses());
  customer_usage Grown;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const bool SameLead = SeenIncarnation == Reply.incarnation();
    for (const auto &[Customer, Units] : Uses)
      Grown[Customer] = SameLead ? Units - SeenFromLead[Customer] : 0;
    SeenFromLead = Uses;
    SeenIncarnation = Reply.incarnation();
    HostsHeard = Reply.hosts_heard();
    LeadHeardAt = Parts.Clock.now();
  }
  Parts.Quota.noteRemoteUsage(Grown);
  Parts.Fleet.setRemoteLoads({Reply.loads().begin(), Reply.loads().end()});
}

void zone_hub::takeReplyOfOtherLead(std::string_view Peer,
                                    const host_link::SyncReply &Reply) {
  takeCommonReply(Peer, Reply);
  customer_usage Grown;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Now = Parts.Clock.now();
    const usage_report Told{Reply.incarnation(), readUses(Reply.uses()),
                            Reply.hosts_heard(), true};
    Grown = noteUsageReport(Ledger, std::string(Peer), Told, Now);
    peer_report &Report = Reports.Peers[std::string(Peer)];
    Report.Loads = {Reply.loads().begin(), Reply.loads().end()};
    Report.HeardAt = Now;
    Report.IsLeader = true;
  }
  Parts.Quota.noteRemoteUsage(Grown);
}

void zone_hub::exchangeWithLead(const endpoint &Peer) {
  const std::string Name = toText(Peer);
  bool Heard = false;
  try {
    const host_link::SyncReply Reply =
        Parts.Peers.Sync(Peer, makeRequest(Name), PeerLimit);
    Heard = Reply.is_lead();
    if (Heard)
      takeReplyOfLead(Name, Reply);
    else
      takeCommonReply(Name, Reply);
  } catch (const spindle_error &Error) {
    if (Error.code() != result_code::PeerUnreachable)
      throw;
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool Silent = !Heard && Parts.Clock.now() - LeadHeardAt > HeardLimit;
  if (Silent != LeadSilent)
    logEvent(Silent ? log_event::ZoneLeadSilent : log_event::ZoneLeadHeard,
             {{"lead", Name}});
  LeadSilent = Silent;
}

void zone_hub::exchangeWithLeads() {
  for (const auto &[Zone, Link] : Lead.otherLeads()) {
    const std::string Peer = "zone " + Zone;
    try {
      const host_link::SyncReply Reply =
          Parts.Peers.Sync(Link, makeLeadRequest(Peer, Zone), PeerLimit);
      if (Reply.is_lead())
        takeReplyOfOtherLead(Peer, Reply);
      const std::lock_guard<std::mutex> Lock(Mutex);
      SilentZones.erase(Zone);
    } catch (const spindle_error &Error) {
      // Its share of the rates counts as unheard until it answers again.
      Parts.Fleet.noteZoneSilent(Zone);
      const std::lock_guard<std::mutex> Lock(Mutex);
      SilentZones.insert(Zone);
      logEvent(log_event::PeerSilent,
               {{"zone", Zone}, {"cause", Error.what()}});
    }
  }
  applyReports();
}

/// Learns from another host what the platform and the lead do not tell.
void zone_hub::askAnyHost(std::span<const endpoint> Seeds) {
  std::vector<endpoint> Hosts(Seeds.begin(), Seeds.end());
  for (const registered_host &Host : Lead.hosts())
    if (Host.Link)
      Hosts.push_back(*Host.Link);
  std::erase(Hosts, Self.Link);
  if (Hosts.empty())
    return;
  const endpoint Asked = Hosts[NextAsked++ % Hosts.size()];
  const std::string Peer = toText(Asked);
  try {
    const host_link::SyncReply Reply =
        Parts.Peers.Sync(Asked, makeRequest(Peer), PeerLimit);
    mergeKinds(Peer, Reply.kinds());
    Suspects.merge(Reply.suspects());
  } catch (const spindle_error &Error) {
    logEvent(log_event::PeerSilent, {{"peer", Peer}, {"cause", Error.what()}});
  }
}

void zone_hub::exchange(std::span<const endpoint> Seeds) {
  const std::optional<endpoint> Peer = Lead.leadOf(Self.Zone);
  const bool OwnLead = Lead.isLead();
  if (OwnLead)
    exchangeWithLeads();
  else if (Peer && *Peer != Self.Link)
    exchangeWithLead(*Peer);
  bool Silent = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Silent = !OwnLead && (!Peer || LeadSilent);
  }
  if (Silent || !Parts.Members.reachable())
    askAnyHost(Seeds);
  applyShare();
}

/// Books, on a lead, what a peer tells.
void zone_hub::noteRequest(const std::string &Peer,
                           const host_link::SyncRequest &Request) {
  const bool IsOwnHost =
      !Request.from_lead() && Request.sender().zone() == Self.Sender.zone();
  if (!Lead.isLead() || (!IsOwnHost && !Request.from_lead()))
    return;
  customer_usage Grown;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Now = Parts.Clock.now();
    peer_report &Report = Reports.Peers[Peer];
    Report.HeardAt = Now;
    Report.IsLeader = Request.from_lead();
    Report.Uses.clear();
    for (const host_link::AdapterUse &Use : Request.adapters())
      Report.Uses.push_back(readAdapterUse(Use));
    if (IsOwnHost) {
      const usage_report Told{Request.sender().incarnation(),
                              readUses(Request.uses()), 1, false};
      Grown = noteUsageReport(Ledger, Peer, Told, Now);
      Report.Loads = {Request.loads().begin(), Request.loads().end()};
    }
  }
  Parts.Quota.noteRemoteUsage(Grown);
  applyReports();
}

host_link::SyncReply
zone_hub::handleSync(const host_link::SyncRequest &Request) {
  const bool FromLead = Request.from_lead();
  const std::string Peer =
      (FromLead ? "from zone " : "host ") + Request.host_name();
  mergeKinds(Peer, Request.kinds());
  Suspects.merge(Request.suspects());
  for (const host_link::EngineRoom &Room : Request.rooms())
    Parts.Fleet.noteAvailableSlots({upstream_id{Room.upstream()}, Room.room()});
  noteRequest(Peer, Request);
  host_link::SyncReply Reply;
  writeRooms(Parts.Rooms(), *Reply.mutable_rooms());
  if (!FromLead)
    writeRooms(Parts.Fleet.availableSlotsOutside(Self.Zone),
               *Reply.mutable_rooms());
  Reply.set_incarnation(Self.Incarnation);
  Reply.set_is_lead(Lead.isLead());
  customer_usage Uses = Parts.Quota.localUsage();
  std::vector<host_link::UpstreamLoad> Loads = Parts.Fleet.localLoads();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Since = Parts.Clock.now() - HeardLimit;
    for (const std::string &Zone : SilentZones)
      Reply.add_silent_zones(Zone);
    addUsage(Uses, peerUsage(Ledger, Peer, !FromLead));
    Reply.set_hosts_heard(1 + hostsHeard(Ledger, !FromLead, Since));
    const std::vector<host_link::UpstreamLoad> Told =
        reportedLoads(Reports, {Since, !FromLead, Peer});
    Loads.insert(Loads.end(), Told.begin(), Told.end());
  }
  writeUses(Uses, *Reply.mutable_uses());
  writeLoads(Loads, *Reply.mutable_loads());
  for (const host_link::MirroredKind &Kind : Request.kinds())
    for (const object_mirror *const Mirror : Parts.Mirrors)
      if (Mirror->kind() == Kind.kind())
        Mirror->describeSince(Kind.cursor(), *Reply.add_kinds());
  Suspects.write(*Reply.mutable_suspects());
  return Reply;
}

} // namespace spindle
