#include "LibGateway/zone_coordinator.h"

#include "LibCore/result_code.h"
#include "LibGateway/sync_message.h"
#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

static constexpr milliseconds PeerTimeout{400};
// The largest object takes about a second on a slow link.
static constexpr milliseconds FetchTimeout{3'000};
// A peer that has not sent anything for this long counts as unreachable.
static constexpr milliseconds PeerExpiry{1'200};

zone_coordinator::zone_coordinator(
    host_identity Identity, zone_coordinator_dependencies HostDependencies)
    : Self(std::move(Identity)), Dependencies(std::move(HostDependencies)),
      Leadership(Self, Dependencies.Clock, Dependencies.Platform,
                 Dependencies.Members),
      Suspects(Dependencies.Clock), PartSuspects(Dependencies.Clock),
      NextPeer(hashName(Self.Name)) {}

std::size_t zone_coordinator::registeredHostCount() const {
  return std::max<std::size_t>(1, Leadership.hosts().size());
}

std::vector<host_location> zone_coordinator::hostLocations() const {
  std::vector<host_location> Locations;
  for (const registered_host &Host : Leadership.hosts())
    Locations.push_back({Host.Name, Host.Zone});
  return Locations;
}

bool zone_coordinator::isLeaderResponding() const {
  if (Leadership.isLeader())
    return false;
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Dependencies.Clock.now() - LeaderRepliedAt < PeerExpiry;
}

void zone_coordinator::maintainMembership() {
  zone_leadership::contact_times Contacts;
  Contacts.HasReportedSince = [this](std::string_view Host, time_point Since) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Account = Ledger.Peers.find("host " + std::string(Host));
    return Account != Ledger.Peers.end() && Account->second.ReceivedAt >= Since;
  };
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Contacts.Leader = LeaderRepliedAt;
  }
  Leadership.maintain(Contacts);
}

void zone_coordinator::addMirroredKinds(std::string_view Peer,
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
  for (object_mirror *const Mirror : Dependencies.Mirrors) {
    const std::uint64_t Cursor =
        Known ? Cursors[Mirror->kind()] : Mirror->cursor();
    Mirror->writeSmallChangesSince(Cursor, *Request.add_kinds());
  }
}

static void
writeLoads(std::span<const host_link::UpstreamLoad> Loads,
           google::protobuf::RepeatedPtrField<host_link::UpstreamLoad> &Sums) {
  for (const host_link::UpstreamLoad &Load : sumLoads(Loads))
    *Sums.Add() = Load;
}

/// Makes the report of this host alone.
host_link::SyncRequest zone_coordinator::makeRequest(std::string_view Peer) {
  host_link::SyncRequest Request;
  *Request.mutable_sender() = Self.Sender;
  Request.set_host_name(Self.Name);
  writeCustomerUsage(Dependencies.Quota.localUsage(), *Request.mutable_uses());
  writeLoads(Dependencies.Fleet.localLoads(), *Request.mutable_loads());
  for (const adapter_use &Use : Dependencies.Fleet.adaptersInUse())
    writeAdapterUse(Use, *Request.add_adapters());
  addMirroredKinds(Peer, Request);
  Suspects.write(*Request.mutable_suspects());
  PartSuspects.write(*Request.mutable_part_suspects());
  Dependencies.Fleet.writeStatements(*Request.mutable_statements());
  return Request;
}

/// Makes the report to the leader of \p Zone on behalf of this host's own zone.
host_link::SyncRequest
zone_coordinator::makeLeaderRequest(std::string_view Peer,
                                    std::string_view Zone) {
  host_link::SyncRequest Request;
  *Request.mutable_sender() = Self.Sender;
  Request.set_host_name(Self.Name);
  Request.set_from_lead(true);
  customer_usage Usage = Dependencies.Quota.localUsage();
  std::vector<host_link::UpstreamLoad> Loads = Dependencies.Fleet.localLoads();
  std::vector<adapter_use> Adapters = Dependencies.Fleet.adaptersInUse();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    addUsage(Usage, peerUsage(Ledger, "", false));
    const report_filter OwnHosts{Dependencies.Clock.now() - PeerExpiry, false,
                                 ""};
    const std::vector<host_link::UpstreamLoad> Reported =
        reportedLoads(Reports, OwnHosts);
    Loads.insert(Loads.end(), Reported.begin(), Reported.end());
    const std::vector<adapter_use> Used = reportedUses(Reports, OwnHosts);
    Adapters.insert(Adapters.end(), Used.begin(), Used.end());
  }
  writeCustomerUsage(Usage, *Request.mutable_uses());
  writeLoads(Loads, *Request.mutable_loads());
  for (const adapter_use &Use : Adapters) {
    const upstream_pointer Engine = Dependencies.Fleet.find(Use.Engine);
    if (Engine && Engine->Zone == Zone)
      writeAdapterUse(Use, *Request.add_adapters());
  }
  writeAvailableSlots(Dependencies.AvailableSlots(), *Request.mutable_rooms());
  addMirroredKinds(Peer, Request);
  Suspects.write(*Request.mutable_suspects());
  PartSuspects.write(*Request.mutable_part_suspects());
  Dependencies.Fleet.writeStatements(*Request.mutable_statements());
  Dependencies.Fleet.writeFactsOf(Zone, *Request.mutable_facts());
  return Request;
}

/// How far the sender of a message is.
template <typename message>
static mirror_position positionOf(const message &Message) {
  mirror_position Position{Message.cursor(), std::nullopt};
  if (Message.has_era())
    Position.Era = Message.era();
  return Position;
}

void zone_coordinator::mergeMirroredKinds(
    std::string_view Peer,
    const google::protobuf::RepeatedPtrField<host_link::MirroredKind> &Kinds) {
  for (const host_link::MirroredKind &Kind : Kinds) {
    for (object_mirror *const Mirror : Dependencies.Mirrors) {
      if (Mirror->kind() != Kind.kind())
        continue;
      Mirror->merge(Kind);
      const std::uint64_t Cursor = Mirror->versionOf(positionOf(Kind));
      const std::lock_guard<std::mutex> Lock(Mutex);
      PeerCursors[std::string(Peer)][Kind.kind()] = Cursor;
    }
  }
}

void zone_coordinator::updateFleetShare() {
  const double FleetSize = static_cast<double>(registeredHostCount());
  double Reporting = 1;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Since = Dependencies.Clock.now() - PeerExpiry;
    if (Leadership.isLeader())
      Reporting = 1 + reportingHosts(Ledger, true, Since);
    else if (!LeaderUnresponsive)
      Reporting = ReportingHosts;
  }
  Dependencies.Quota.setFleetShare(
      std::clamp(Reporting / FleetSize, 1 / FleetSize, 1.0));
}

/// Applies, on a leader, the loads and adapter uses that all peers reported.
void zone_coordinator::applyReports() {
  std::vector<host_link::UpstreamLoad> Loads;
  std::vector<adapter_use> Uses = Dependencies.Fleet.adaptersInUse();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Since = Dependencies.Clock.now() - PeerExpiry;
    dropReportsBefore(Reports, Since);
    const report_filter All{Since, true, ""};
    Loads = reportedLoads(Reports, All);
    const std::vector<adapter_use> Reported = reportedUses(Reports, All);
    Uses.insert(Uses.end(), Reported.begin(), Reported.end());
  }
  Dependencies.Fleet.setRemoteLoads(Loads);
  Dependencies.OnAdaptersInUse(Uses);
}

void zone_coordinator::applyCommonReply(std::string_view Peer,
                                        const host_link::SyncReply &Reply) {
  mergeMirroredKinds(Peer, Reply.kinds());
  Suspects.merge(Reply.suspects());
  PartSuspects.merge(Reply.part_suspects());
  Dependencies.Fleet.mergeStatements(Reply.statements());
  for (const host_link::EngineRoom &Slots : Reply.rooms())
    Dependencies.Fleet.noteAvailableSlots(
        {upstream_id{Slots.upstream()}, Slots.room()});
}

void zone_coordinator::applyLeaderReply(std::string_view Peer,
                                        const host_link::SyncReply &Reply) {
  applyCommonReply(Peer, Reply);
  for (const std::string &Zone : Reply.silent_zones())
    Dependencies.Fleet.noteZoneSilent(Zone);
  const customer_usage Usage = readCustomerUsage(Reply.uses());
  customer_usage Increase;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const bool SameLeader = LastLeaderIncarnation == Reply.incarnation();
    for (const auto &[Customer, Units] : Usage)
      Increase[Customer] = SameLeader ? Units - LastLeaderUsage[Customer] : 0;
    LastLeaderUsage = Usage;
    LastLeaderIncarnation = Reply.incarnation();
    ReportingHosts = Reply.hosts_heard();
    LeaderRepliedAt = Dependencies.Clock.now();
  }
  Dependencies.Quota.noteRemoteUsage(Increase);
  Dependencies.Fleet.setRemoteLoads(
      {Reply.loads().begin(), Reply.loads().end()});
}

void zone_coordinator::applyOtherLeaderReply(
    std::string_view Peer, const host_link::SyncReply &Reply) {
  applyCommonReply(Peer, Reply);
  customer_usage Increase;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Now = Dependencies.Clock.now();
    const usage_report UsageReport{Reply.incarnation(),
                                   readCustomerUsage(Reply.uses()),
                                   Reply.hosts_heard(), true};
    Increase = noteUsageReport(Ledger, std::string(Peer), UsageReport, Now);
    peer_report &Report = Reports.Peers[std::string(Peer)];
    Report.Loads = {Reply.loads().begin(), Reply.loads().end()};
    Report.ReceivedAt = Now;
    Report.IsLeader = true;
  }
  Dependencies.Quota.noteRemoteUsage(Increase);
}

void zone_coordinator::exchangeWithLeader(const endpoint &Peer) {
  const std::string Name = toText(Peer);
  bool LeaderReplied = false;
  try {
    host_link::SyncRequest Request = makeRequest(Name);
    Dependencies.Fleet.writeOwnFacts(*Request.mutable_facts());
    const host_link::SyncReply Reply =
        Dependencies.Peers.Sync(Peer, Request, PeerTimeout);
    LeaderReplied = Reply.is_lead();
    if (LeaderReplied)
      applyLeaderReply(Name, Reply);
    else
      applyCommonReply(Name, Reply);
  } catch (const spindle_error &Error) {
    if (Error.code() != result_code::PeerUnreachable)
      throw;
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool Unresponsive =
      !LeaderReplied && Dependencies.Clock.now() - LeaderRepliedAt > PeerExpiry;
  if (Unresponsive != LeaderUnresponsive)
    logEvent(Unresponsive ? log_event::ZoneLeadSilent
                          : log_event::ZoneLeadHeard,
             {{"lead", Name}});
  LeaderUnresponsive = Unresponsive;
}

void zone_coordinator::exchangeWithOtherLeaders() {
  for (const auto &[Zone, Link] : Leadership.otherLeaders()) {
    const std::string Peer = "zone " + Zone;
    try {
      const host_link::SyncReply Reply = Dependencies.Peers.Sync(
          Link, makeLeaderRequest(Peer, Zone), PeerTimeout);
      if (Reply.is_lead())
        applyOtherLeaderReply(Peer, Reply);
      const std::lock_guard<std::mutex> Lock(Mutex);
      UnreachableZones.erase(Zone);
    } catch (const spindle_error &Error) {
      // Its share of the rates counts as not reported until it replies again.
      Dependencies.Fleet.noteZoneSilent(Zone);
      const std::lock_guard<std::mutex> Lock(Mutex);
      UnreachableZones.insert(Zone);
      logEvent(log_event::PeerSilent,
               {{"zone", Zone}, {"cause", Error.what()}});
    }
  }
  applyReports();
}

/// Another host or seed, a different one at each call; none if none is known.
std::optional<endpoint>
zone_coordinator::nextPeer(std::span<const endpoint> Seeds) {
  std::vector<endpoint> Hosts(Seeds.begin(), Seeds.end());
  for (const registered_host &Host : Leadership.hosts())
    if (Host.Link)
      Hosts.push_back(*Host.Link);
  std::erase(Hosts, Self.Link);
  if (Hosts.empty())
    return std::nullopt;
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Hosts[NextPeer++ % Hosts.size()];
}

/// Requests from another host the changes that neither the platform nor the
/// leader delivers.
void zone_coordinator::exchangeWithAnyHost(std::span<const endpoint> Seeds) {
  const std::optional<endpoint> Target = nextPeer(Seeds);
  if (!Target)
    return;
  const std::string Peer = toText(*Target);
  try {
    const host_link::SyncReply Reply =
        Dependencies.Peers.Sync(*Target, makeRequest(Peer), PeerTimeout);
    mergeMirroredKinds(Peer, Reply.kinds());
    Suspects.merge(Reply.suspects());
    PartSuspects.merge(Reply.part_suspects());
    Dependencies.Fleet.mergeStatements(Reply.statements());
  } catch (const spindle_error &Error) {
    logEvent(log_event::PeerSilent, {{"peer", Peer}, {"cause", Error.what()}});
  }
}

void zone_coordinator::fetchWithheldChanges(std::span<const endpoint> Seeds) {
  for (object_mirror *const Mirror : Dependencies.Mirrors) {
    if (!Mirror->needsPeer())
      continue;
    const std::optional<endpoint> Target = nextPeer(Seeds);
    if (!Target)
      return;
    host_link::FetchChangesRequest Request;
    *Request.mutable_sender() = Self.Sender;
    Request.set_kind(Mirror->kind());
    const mirror_position Position = Mirror->position();
    Request.set_cursor(Position.Revision);
    if (Position.Era)
      Request.set_era(*Position.Era);
    try {
      const host_link::FetchChangesReply Reply =
          Dependencies.Peers.FetchChanges(*Target, Request, FetchTimeout);
      Mirror->merge(Reply.changes());
    } catch (const spindle_error &Error) {
      logEvent(log_event::PeerSilent,
               {{"peer", toText(*Target)}, {"cause", Error.what()}});
    }
  }
}

host_link::FetchChangesReply zone_coordinator::handleFetchChanges(
    const host_link::FetchChangesRequest &Request) const {
  host_link::FetchChangesReply Reply;
  for (const object_mirror *const Mirror : Dependencies.Mirrors)
    if (Mirror->kind() == Request.kind())
      Mirror->writeChangesSince(Mirror->versionOf(positionOf(Request)),
                                *Reply.mutable_changes());
  return Reply;
}

void zone_coordinator::exchange(std::span<const endpoint> Seeds) {
  const std::optional<endpoint> Peer = Leadership.leaderOf(Self.Zone);
  const bool IsZoneLeader = Leadership.isLeader();
  if (IsZoneLeader)
    exchangeWithOtherLeaders();
  else if (Peer && *Peer != Self.Link)
    exchangeWithLeader(*Peer);
  bool Unresponsive = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Unresponsive = !IsZoneLeader && (!Peer || LeaderUnresponsive);
  }
  if (Unresponsive || !Dependencies.Members.isPlatformReachable())
    exchangeWithAnyHost(Seeds);
  updateFleetShare();
}

/// Records, on a leader, what a peer reports.
void zone_coordinator::recordRequest(const std::string &Peer,
                                     const host_link::SyncRequest &Request) {
  const bool IsOwnHost =
      !Request.from_lead() && Request.sender().zone() == Self.Sender.zone();
  if (!Leadership.isLeader() || (!IsOwnHost && !Request.from_lead()))
    return;
  customer_usage Increase;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Now = Dependencies.Clock.now();
    peer_report &Report = Reports.Peers[Peer];
    Report.ReceivedAt = Now;
    Report.IsLeader = Request.from_lead();
    Report.Uses.clear();
    for (const host_link::AdapterUse &Use : Request.adapters())
      Report.Uses.push_back(readAdapterUse(Use));
    if (IsOwnHost) {
      const usage_report UsageReport{Request.sender().incarnation(),
                                     readCustomerUsage(Request.uses()), 1,
                                     false};
      Increase = noteUsageReport(Ledger, Peer, UsageReport, Now);
      Report.Loads = {Request.loads().begin(), Request.loads().end()};
    }
  }
  Dependencies.Quota.noteRemoteUsage(Increase);
  Dependencies.Fleet.mergeFacts(Request.facts(),
                                IsOwnHost ? facts_source::HostOfZone
                                          : facts_source::OtherLeader);
  applyReports();
}

host_link::SyncReply
zone_coordinator::handleSync(const host_link::SyncRequest &Request) {
  const bool FromLeader = Request.from_lead();
  const std::string Peer =
      (FromLeader ? "from zone " : "host ") + Request.host_name();
  mergeMirroredKinds(Peer, Request.kinds());
  Suspects.merge(Request.suspects());
  PartSuspects.merge(Request.part_suspects());
  Dependencies.Fleet.mergeStatements(Request.statements());
  for (const host_link::EngineRoom &Slots : Request.rooms())
    Dependencies.Fleet.noteAvailableSlots(
        {upstream_id{Slots.upstream()}, Slots.room()});
  recordRequest(Peer, Request);
  host_link::SyncReply Reply;
  writeAvailableSlots(Dependencies.AvailableSlots(), *Reply.mutable_rooms());
  if (!FromLeader)
    writeAvailableSlots(Dependencies.Fleet.availableSlotsOutside(Self.Zone),
                        *Reply.mutable_rooms());
  Reply.set_incarnation(Self.Incarnation);
  Reply.set_is_lead(Leadership.isLeader());
  customer_usage Usage = Dependencies.Quota.localUsage();
  std::vector<host_link::UpstreamLoad> Loads = Dependencies.Fleet.localLoads();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Since = Dependencies.Clock.now() - PeerExpiry;
    for (const std::string &Zone : UnreachableZones)
      Reply.add_silent_zones(Zone);
    addUsage(Usage, peerUsage(Ledger, Peer, !FromLeader));
    Reply.set_hosts_heard(1 + reportingHosts(Ledger, !FromLeader, Since));
    const std::vector<host_link::UpstreamLoad> Reported =
        reportedLoads(Reports, {Since, !FromLeader, Peer});
    Loads.insert(Loads.end(), Reported.begin(), Reported.end());
  }
  writeCustomerUsage(Usage, *Reply.mutable_uses());
  writeLoads(Loads, *Reply.mutable_loads());
  for (const host_link::MirroredKind &Kind : Request.kinds())
    for (const object_mirror *const Mirror : Dependencies.Mirrors)
      if (Mirror->kind() == Kind.kind())
        Mirror->writeSmallChangesSince(Mirror->versionOf(positionOf(Kind)),
                                       *Reply.add_kinds());
  Suspects.write(*Reply.mutable_suspects());
  PartSuspects.write(*Reply.mutable_part_suspects());
  Dependencies.Fleet.writeStatements(*Reply.mutable_statements());
  return Reply;
}

} // namespace spindle
