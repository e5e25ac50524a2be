#include "LibGateway/zone_hub.h"

#include "LibCore/result_code.h"
#include "LibGateway/sync_message.h"
#include "LibLog/log.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace spindle {

static constexpr std::string_view HostPrefix = "host.";
static constexpr std::string_view LeadPrefix = "lead.";
static constexpr milliseconds PeerLimit{400};
// A lead that is silent for so long may be replaced.
static constexpr milliseconds LeadSilence{1'500};
// Those that might replace it try one after the other.
static constexpr milliseconds RankDelay{350};
// What is not heard of for so long counts as cut off.
static constexpr milliseconds HeardLimit{1'200};
// A former lead that is alive learns within this that it was replaced, and
// engines take the turns of two holders that are further apart.
static constexpr milliseconds WaitAfterTakeover{3'000};
// A host that was not heard of for so long is removed from the register.
static constexpr milliseconds ForgetHost{8'000};

zone_hub::zone_hub(hub_identity Self, hub_parts Parts)
    : Self(std::move(Self)), Parts(std::move(Parts)) {}

std::optional<zone_hub::lead_record>
zone_hub::readLead(std::string_view Zone) const {
  const std::optional<platform_object> Object =
      Parts.Members.find(std::string(LeadPrefix) + std::string(Zone));
  if (!Object)
    return std::nullopt;
  const nlohmann::json Body =
      nlohmann::json::parse(Object->Body, nullptr, false);
  if (!Body.is_object())
    return std::nullopt;
  lead_record Lead;
  Lead.Host = Body.value("host", "");
  Lead.Link = Body.value("link", "");
  Lead.Incarnation = Body.value("incarnation", std::uint64_t{0});
  Lead.Released = Body.value("released", false);
  Lead.Revision = Object->Version;
  return Lead;
}

std::optional<endpoint> zone_hub::leadOf(std::string_view Zone) const {
  const std::optional<lead_record> Lead = readLead(Zone);
  if (!Lead || Lead->Released || Lead->Link.empty())
    return std::nullopt;
  return parseEndpoint(Lead->Link);
}

std::map<std::string, endpoint> zone_hub::otherLeads() const {
  std::map<std::string, endpoint> Leads;
  for (const platform_object &Object : Parts.Members.objects()) {
    if (!Object.Name.starts_with(LeadPrefix))
      continue;
    const std::string Zone = Object.Name.substr(LeadPrefix.size());
    if (Zone == Self.Zone)
      continue;
    if (const std::optional<endpoint> Link = leadOf(Zone))
      Leads.emplace(Zone, *Link);
  }
  return Leads;
}

std::size_t zone_hub::fleetHosts() const {
  std::size_t Hosts = 0;
  for (const platform_object &Object : Parts.Members.objects())
    Hosts += Object.Name.starts_with(HostPrefix) ? 1 : 0;
  return std::max<std::size_t>(1, Hosts);
}

bool zone_hub::isLead() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Token.has_value();
}

bool zone_hub::hearsLead() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return !Token && Parts.Clock.now() - LeadHeardAt < HeardLimit;
}

std::optional<std::uint64_t> zone_hub::fence(std::string_view Zone) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool MayOrder = Zone == Self.Zone && Token && *Token != FencedToken &&
                        Parts.Clock.now() >= MayOrderFrom;
  return MayOrder ? Token : std::nullopt;
}

void zone_hub::noteFenced(std::uint64_t Fenced) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  FencedToken = std::max(FencedToken, Fenced);
  if (Token && *Token <= FencedToken) {
    Token.reset();
    logEvent(log_event::ZoneLeadLost, {{"token", std::to_string(Fenced)}});
  }
}

void zone_hub::registerHost() {
  const std::string Name = std::string(HostPrefix) + Self.Name;
  const std::optional<platform_object> Known = Parts.Members.find(Name);
  nlohmann::json Body;
  Body["zone"] = Self.Zone;
  Body["link"] = toText(Self.Link);
  Body["incarnation"] = Self.Incarnation;
  const std::string Text = Body.dump();
  if (Known && Known->Body == Text)
    return;
  const std::string &Kind = Parts.Members.kind();
  const std::uint64_t Revision =
      Known ? Parts.Platform.Update(Kind, Name, Known->Version, Text)
            : Parts.Platform.Create(Kind, Name, Text);
  Parts.Members.noteWritten({Kind, Name, Revision, Text});
}

/// The number of registered hosts of the zone that try before this one.
static std::size_t rankIn(const std::vector<platform_object> &Members,
                          std::string_view Zone, std::string_view Name) {
  std::size_t Rank = 0;
  for (const platform_object &Object : Members) {
    if (!Object.Name.starts_with(HostPrefix))
      continue;
    const nlohmann::json Body =
        nlohmann::json::parse(Object.Body, nullptr, false);
    const std::string Host = Object.Name.substr(HostPrefix.size());
    if (Body.is_object() && Body.value("zone", "") == Zone && Host < Name)
      ++Rank;
  }
  return Rank;
}

bool zone_hub::mayTakeLead(const std::optional<lead_record> &Lead) const {
  const milliseconds Delay =
      RankDelay *
      static_cast<int>(rankIn(Parts.Members.objects(), Self.Zone, Self.Name));
  const time_point Now = Parts.Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Lead || Lead->Released)
    return Now - LeadSeenAt >= Delay;
  if (Lead->Host == Self.Name)
    return Lead->Incarnation != Self.Incarnation ||
           Lead->Revision <= FencedToken;
  return Now - std::max(LeadHeardAt, LeadSeenAt) >= LeadSilence + Delay;
}

void zone_hub::takeLead(const std::optional<lead_record> &Lead) {
  const std::string Name = std::string(LeadPrefix) + Self.Zone;
  nlohmann::json Body;
  Body["host"] = Self.Name;
  Body["link"] = toText(Self.Link);
  Body["incarnation"] = Self.Incarnation;
  const std::string Text = Body.dump();
  const std::string &Kind = Parts.Members.kind();
  const bool FormerMayLive = Lead && !Lead->Released && Lead->Host != Self.Name;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    MayOrderFrom = Parts.Clock.now() +
                   (FormerMayLive ? WaitAfterTakeover : milliseconds(0));
  }
  const std::uint64_t Revision =
      Lead ? Parts.Platform.Update(Kind, Name, Lead->Revision, Text)
           : Parts.Platform.Create(Kind, Name, Text);
  Parts.Members.noteWritten({Kind, Name, Revision, Text});
  noteLead(readLead(Self.Zone));
}

/// Takes over who the lead is now.
void zone_hub::noteLead(const std::optional<lead_record> &Lead) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool IsSelf = Lead && !Lead->Released && Lead->Host == Self.Name &&
                      Lead->Incarnation == Self.Incarnation &&
                      Lead->Revision > FencedToken;
  if (Lead && Lead->Incarnation != LeadIncarnation) {
    LeadIncarnation = Lead->Incarnation;
    LeadSeenAt = Parts.Clock.now();
  }
  if (!IsSelf) {
    if (Token)
      logEvent(log_event::ZoneLeadLost,
               {{"token", std::to_string(*Token)},
                {"lead", Lead ? Lead->Host : std::string("none")}});
    Token.reset();
    return;
  }
  if (Token == Lead->Revision)
    return;
  Token = Lead->Revision;
  LeadSince = Parts.Clock.now();
  logEvent(log_event::ZoneLeadTaken,
           {{"zone", Self.Zone}, {"token", std::to_string(*Token)}});
}

/// The registered hosts of the zone that have told this lead nothing for long.
std::vector<platform_object> zone_hub::lostHosts() const {
  const std::vector<platform_object> Members = Parts.Members.objects();
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<platform_object> Lost;
  const time_point Before = Parts.Clock.now() - ForgetHost;
  if (!Token || LeadSince > Before)
    return Lost;
  for (const platform_object &Object : Members) {
    if (!Object.Name.starts_with(HostPrefix))
      continue;
    const nlohmann::json Body =
        nlohmann::json::parse(Object.Body, nullptr, false);
    const std::string Name = Object.Name.substr(HostPrefix.size());
    if (!Body.is_object() || Body.value("zone", "") != Self.Zone ||
        Name == Self.Name)
      continue;
    const auto Account = Ledger.Peers.find("host " + Name);
    if (Account == Ledger.Peers.end() || Account->second.HeardAt < Before)
      Lost.push_back(Object);
  }
  return Lost;
}

/// Removes hosts that are gone from the register, so that their shares of the
/// customers' rates are used by the others. One that was only cut off
/// registers again.
void zone_hub::removeLostHosts() {
  for (const platform_object &Lost : lostHosts()) {
    Parts.Platform.Remove(Parts.Members.kind(), Lost.Name, Lost.Version);
    logEvent(log_event::HostLost, {{"host", Lost.Name}});
  }
}

void zone_hub::keepMembership() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Leaving)
      return;
  }
  const std::optional<lead_record> Lead = readLead(Self.Zone);
  noteLead(Lead);
  if (!Parts.Members.known() || !Parts.Members.reachable())
    return;
  try {
    registerHost();
    const bool IsSelf = isLead();
    if (IsSelf)
      removeLostHosts();
    else if (mayTakeLead(Lead))
      takeLead(Lead);
  } catch (const spindle_error &Error) {
    // Another host was faster, or the platform is away: the next look tells.
    if (Error.code() != result_code::PlatformConflict)
      logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
  }
}

/// Gives the lead to whoever takes it first.
void zone_hub::releaseLead() {
  std::optional<std::uint64_t> Held;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Held = Token;
  }
  if (!Held)
    return;
  nlohmann::json Body;
  Body["host"] = Self.Name;
  Body["link"] = toText(Self.Link);
  Body["incarnation"] = Self.Incarnation;
  Body["released"] = true;
  Parts.Platform.Update(Parts.Members.kind(),
                        std::string(LeadPrefix) + Self.Zone, *Held,
                        Body.dump());
  const std::lock_guard<std::mutex> Lock(Mutex);
  Token.reset();
}

bool zone_hub::leave() {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Leaving = true;
  }
  try {
    releaseLead();
    const std::string Name = std::string(HostPrefix) + Self.Name;
    if (const std::optional<platform_object> Known = Parts.Members.find(Name))
      Parts.Platform.Remove(Parts.Members.kind(), Name, Known->Version);
    return true;
  } catch (const spindle_error &Error) {
    logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
    // What is not there any more needs no leaving.
    return Error.code() == result_code::PlatformNotFound ||
           Error.code() == result_code::PlatformConflict;
  }
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

template <typename message> void zone_hub::writeSuspects(message &Message) {
  const time_point Now = Parts.Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const suspect_record &Record : takeUnshared(Suspects, Now))
    RecentSuspects[Record.Fingerprint] = Record;
  for (const auto &[Fingerprint, Record] : RecentSuspects)
    writeSuspect(Record, *Message.add_suspects());
}

void zone_hub::mergeSuspectMessages(
    const google::protobuf::RepeatedPtrField<host_link::Suspect> &Messages) {
  const time_point Now = Parts.Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const host_link::Suspect &Message : Messages) {
    const suspect_record Record = readSuspect(Message);
    if (mergeSuspects(Suspects, std::span(&Record, 1), Now))
      RecentSuspects[Record.Fingerprint] = Record;
  }
  expireSuspects(Suspects, Now);
  std::erase_if(RecentSuspects, [this](const auto &Entry) {
    return !Suspects.Suspects.contains(Entry.first);
  });
}

host_link::SyncRequest zone_hub::makeRequest(std::string_view Peer,
                                             bool FromLead) {
  host_link::SyncRequest Request;
  *Request.mutable_sender() = Self.Sender;
  Request.set_host_name(Self.Name);
  Request.set_from_lead(FromLead);
  customer_uses Uses = Parts.Quota.ownUses();
  std::vector<host_link::UpstreamLoad> Loads = Parts.Fleet.ownLoads();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (FromLead) {
      addUses(Uses, usedByOthers(Ledger, "", false));
      for (const auto &[Host, Told] : LoadsByPeer)
        if (!Ledger.Peers[Host].IsLead)
          Loads.insert(Loads.end(), Told.begin(), Told.end());
      for (const auto &[Host, Used] : UsesByHost)
        for (const adapter_use &Use : Used)
          writeAdapterUse(Use, *Request.add_adapters());
    }
  }
  for (const adapter_use &Use : Parts.Fleet.adaptersInUse())
    writeAdapterUse(Use, *Request.add_adapters());
  if (FromLead)
    writeRooms(Parts.Rooms(), *Request.mutable_rooms());
  writeUses(Uses, *Request.mutable_uses());
  for (const host_link::UpstreamLoad &Load : sumLoads(Loads))
    *Request.add_loads() = Load;
  writeKinds(Peer, Request);
  writeSuspects(Request);
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
    if (Token)
      Heard = 1 + hostsHeard(Ledger, true, Since);
    else if (!LeadSilent)
      Heard = HostsHeard;
  }
  Parts.Quota.setFleetShare(std::clamp(Heard / Fleet, 1 / Fleet, 1.0));
}

void zone_hub::takeReply(std::string_view Peer,
                         const host_link::SyncReply &Reply, bool FromOwnLead) {
  mergeKinds(Peer, Reply.kinds());
  mergeSuspectMessages(Reply.suspects());
  if (FromOwnLead)
    for (const std::string &Zone : Reply.silent_zones())
      Parts.Fleet.noteZoneSilent(Zone);
  for (const host_link::EngineRoom &Room : Reply.rooms())
    Parts.Fleet.noteRoom({upstream_id{Room.upstream()}, Room.room()});
  const customer_uses Uses = readUses(Reply.uses());
  customer_uses Grown;
  std::vector<host_link::UpstreamLoad> Loads(Reply.loads().begin(),
                                             Reply.loads().end());
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Now = Parts.Clock.now();
    if (FromOwnLead) {
      const bool SameLead = SeenIncarnation == Reply.incarnation();
      for (const auto &[Customer, Units] : Uses)
        Grown[Customer] = SameLead ? Units - SeenFromLead[Customer] : 0;
      SeenFromLead = Uses;
      SeenIncarnation = Reply.incarnation();
      HostsHeard = Reply.hosts_heard();
      LeadHeardAt = Now;
    } else {
      const told_uses Told{Reply.incarnation(), Uses, Reply.hosts_heard(),
                           true};
      Grown = noteTold(Ledger, std::string(Peer), Told, Now);
      LoadsByPeer[std::string(Peer)] = Loads;
      Loads.clear();
      for (const auto &[Name, Told2] : LoadsByPeer)
        Loads.insert(Loads.end(), Told2.begin(), Told2.end());
    }
  }
  Parts.Quota.noteUsedElsewhere(Grown);
  Parts.Fleet.setLoadsElsewhere(Loads);
}

void zone_hub::exchangeWithLead(const endpoint &Lead) {
  const std::string Peer = toText(Lead);
  bool Heard = false;
  try {
    const host_link::SyncReply Reply =
        Parts.Peers.Sync(Lead, makeRequest(Peer, false), PeerLimit);
    Heard = Reply.is_lead();
    takeReply(Peer, Reply, Heard);
  } catch (const spindle_error &Error) {
    if (Error.code() != result_code::PeerUnreachable)
      throw;
  }
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool Silent = !Heard && Parts.Clock.now() - LeadHeardAt > HeardLimit;
  if (Silent != LeadSilent)
    logEvent(Silent ? log_event::ZoneLeadSilent : log_event::ZoneLeadHeard,
             {{"lead", Peer}});
  LeadSilent = Silent;
}

void zone_hub::exchangeWithLeads() {
  for (const auto &[Zone, Lead] : otherLeads()) {
    const std::string Peer = "zone " + Zone;
    try {
      const host_link::SyncReply Reply =
          Parts.Peers.Sync(Lead, makeRequest(Peer, true), PeerLimit);
      if (Reply.is_lead())
        takeReply(Peer, Reply, false);
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
}

/// Learns from another host what the platform and the lead do not tell.
void zone_hub::askAnyHost(std::span<const endpoint> Seeds) {
  std::vector<endpoint> Hosts(Seeds.begin(), Seeds.end());
  for (const platform_object &Object : Parts.Members.objects()) {
    if (!Object.Name.starts_with(HostPrefix))
      continue;
    const nlohmann::json Body =
        nlohmann::json::parse(Object.Body, nullptr, false);
    if (Body.is_object() && Body.contains("link"))
      Hosts.push_back(parseEndpoint(Body.value("link", "")));
  }
  std::erase(Hosts, Self.Link);
  if (Hosts.empty())
    return;
  const endpoint Asked = Hosts[NextAsked++ % Hosts.size()];
  const std::string Peer = toText(Asked);
  try {
    const host_link::SyncReply Reply =
        Parts.Peers.Sync(Asked, makeRequest(Peer, false), PeerLimit);
    mergeKinds(Peer, Reply.kinds());
    mergeSuspectMessages(Reply.suspects());
  } catch (const spindle_error &Error) {
    logEvent(log_event::PeerSilent, {{"peer", Peer}, {"cause", Error.what()}});
  }
}

void zone_hub::exchange(std::span<const endpoint> Seeds) {
  const std::optional<endpoint> Lead = leadOf(Self.Zone);
  const bool OwnLead = isLead();
  if (OwnLead)
    exchangeWithLeads();
  else if (Lead && *Lead != Self.Link)
    exchangeWithLead(*Lead);
  bool Silent = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Silent = !OwnLead && (!Lead || LeadSilent);
  }
  if (Silent || !Parts.Members.reachable())
    askAnyHost(Seeds);
  applyShare();
}

host_link::SyncReply
zone_hub::handleSync(const host_link::SyncRequest &Request) {
  const std::string Peer =
      (Request.from_lead() ? "from zone " : "host ") + Request.host_name();
  mergeKinds(Peer, Request.kinds());
  mergeSuspectMessages(Request.suspects());
  std::vector<adapter_use> AdapterUses;
  for (const host_link::AdapterUse &Use : Request.adapters()) {
    AdapterUses.push_back(readAdapterUse(Use));
    Parts.OnAdapterUse(AdapterUses.back());
  }
  for (const host_link::EngineRoom &Room : Request.rooms())
    Parts.Fleet.noteRoom({upstream_id{Room.upstream()}, Room.room()});
  host_link::SyncReply Reply;
  writeRooms(Parts.Rooms(), *Reply.mutable_rooms());
  if (!Request.from_lead())
    writeRooms(Parts.Fleet.roomsOutside(Self.Zone), *Reply.mutable_rooms());
  Reply.set_incarnation(Self.Incarnation);
  customer_uses Uses = Parts.Quota.ownUses();
  std::vector<host_link::UpstreamLoad> Loads = Parts.Fleet.ownLoads();
  std::vector<host_link::UpstreamLoad> Elsewhere;
  customer_uses Grown;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const time_point Now = Parts.Clock.now();
    Reply.set_is_lead(Token.has_value());
    for (const std::string &Zone : SilentZones)
      Reply.add_silent_zones(Zone);
    const bool IsOwnHost =
        !Request.from_lead() && Request.sender().zone() == Self.Sender.zone();
    if (Token && IsOwnHost) {
      const told_uses Told{Request.sender().incarnation(),
                           readUses(Request.uses()), 1, false};
      Grown = noteTold(Ledger, Peer, Told, Now);
      LoadsByPeer[Peer] = {Request.loads().begin(), Request.loads().end()};
      UsesByHost[Peer] = std::move(AdapterUses);
    }
    addUses(Uses, usedByOthers(Ledger, Peer, !Request.from_lead()));
    Reply.set_hosts_heard(
        1 + hostsHeard(Ledger, !Request.from_lead(), Now - HeardLimit));
    for (const auto &[Name, Told] : LoadsByPeer) {
      Elsewhere.insert(Elsewhere.end(), Told.begin(), Told.end());
      const bool IsWanted =
          Name != Peer && !(Request.from_lead() && Ledger.Peers[Name].IsLead);
      if (IsWanted)
        Loads.insert(Loads.end(), Told.begin(), Told.end());
    }
  }
  Parts.Quota.noteUsedElsewhere(Grown);
  Parts.Fleet.setLoadsElsewhere(Elsewhere);
  writeUses(Uses, *Reply.mutable_uses());
  for (const host_link::UpstreamLoad &Load : sumLoads(Loads))
    *Reply.add_loads() = Load;
  for (const host_link::MirroredKind &Kind : Request.kinds())
    for (const object_mirror *const Mirror : Parts.Mirrors)
      if (Mirror->kind() == Kind.kind())
        Mirror->describeSince(Kind.cursor(), *Reply.add_kinds());
  writeSuspects(Reply);
  return Reply;
}

bool zone_hub::isHeldBack(request_fingerprint Fingerprint) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return isQuarantined(Suspects, Fingerprint, Parts.Clock.now());
}

void zone_hub::noteRunStarted(upstream_id Upstream,
                              request_fingerprint Fingerprint) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::noteRunStarted(Suspects, Upstream, Fingerprint, Parts.Clock.now());
}

void zone_hub::noteRunEnded(upstream_id Upstream,
                            request_fingerprint Fingerprint, run_end End) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::noteRunEnded(Suspects, Upstream, Fingerprint, End,
                        Parts.Clock.now());
}

} // namespace spindle
