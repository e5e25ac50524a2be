#include "LibGateway/zone_leadership.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"
#include "LibLog/log.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace spindle {

static constexpr std::string_view HostPrefix = "host.";
static constexpr std::string_view LeaderPrefix = "lead.";
// A leader that has not replied for this long may be replaced.
static constexpr milliseconds LeaderTimeout{1'500};
// Candidates attempt a takeover one after the other, this far apart.
static constexpr milliseconds RankDelay{350};
// A former leader that is still alive learns within this time that it was
// replaced, and engines accept the terms of two holders that are further apart.
static constexpr milliseconds WaitAfterTakeover{3'000};
// A host that has not run for this long was paused.
static constexpr milliseconds PauseAfter{1'000};
// The registration of a host that has not reported for this long is removed.
static constexpr milliseconds HostExpiry{8'000};

zone_leadership::zone_leadership(host_identity Self, const runtime_clock &Clock,
                                 const platform_port &Platform,
                                 object_mirror &Members)
    : Self(std::move(Self)), Clock(Clock), Platform(Platform),
      Members(Members) {}

std::optional<zone_leadership::leader_record>
zone_leadership::readLeader(std::string_view Zone) const {
  const std::optional<platform_object> Object =
      Members.find(std::string(LeaderPrefix) + std::string(Zone));
  if (!Object)
    return std::nullopt;
  const nlohmann::json Body = tryParseBoundedJson(Object->Body);
  if (!Body.is_object())
    return std::nullopt;
  leader_record Leader;
  Leader.Host = Body.value("host", "");
  Leader.Link = Body.value("link", "");
  Leader.Incarnation = Body.value("incarnation", std::uint64_t{0});
  Leader.Released = Body.value("released", false);
  Leader.Revision = Object->Version;
  return Leader;
}

std::string zone_leadership::serializeLeader(bool Released) const {
  nlohmann::json Body;
  Body["host"] = Self.Name;
  Body["link"] = toText(Self.Link);
  Body["incarnation"] = Self.Incarnation;
  if (Released)
    Body["released"] = true;
  return Body.dump();
}

std::optional<endpoint> zone_leadership::leaderOf(std::string_view Zone) const {
  const std::optional<leader_record> Leader = readLeader(Zone);
  if (!Leader || Leader->Released || Leader->Link.empty())
    return std::nullopt;
  return parseEndpoint(Leader->Link);
}

std::map<std::string, endpoint> zone_leadership::otherLeaders() const {
  std::map<std::string, endpoint> Leaders;
  for (const platform_object &Object : Members.objects()) {
    if (!Object.Name.starts_with(LeaderPrefix))
      continue;
    const std::string Zone = Object.Name.substr(LeaderPrefix.size());
    if (Zone == Self.Zone)
      continue;
    if (const std::optional<endpoint> Link = leaderOf(Zone))
      Leaders.emplace(Zone, *Link);
  }
  return Leaders;
}

static std::optional<endpoint> readLink(const nlohmann::json &Body) {
  try {
    return parseEndpoint(Body.value("link", ""));
  } catch (const std::exception &Error) {
    logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
    return std::nullopt;
  }
}

static registered_host parseHost(const platform_object &Object) {
  const nlohmann::json Body = tryParseBoundedJson(Object.Body);
  registered_host Host;
  Host.Name = Object.Name.substr(HostPrefix.size());
  Host.Revision = Object.Version;
  if (Body.is_object()) {
    Host.Zone = Body.value("zone", "");
    Host.Link = readLink(Body);
  }
  return Host;
}

std::vector<registered_host> zone_leadership::hosts() const {
  std::vector<registered_host> Hosts;
  std::map<std::string, registered_host> Parsed;
  const std::lock_guard<std::mutex> Lock(ParsedMutex);
  for (const platform_object &Object : Members.objects()) {
    if (!Object.Name.starts_with(HostPrefix))
      continue;
    const auto Known = ParsedHosts.find(Object.Name);
    const bool IsSame =
        Known != ParsedHosts.end() && Known->second.Revision == Object.Version;
    Hosts.push_back(IsSame ? Known->second : parseHost(Object));
    Parsed[Object.Name] = Hosts.back();
  }
  ParsedHosts = std::move(Parsed);
  return Hosts;
}

bool zone_leadership::isLeader() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Token.has_value();
}

std::optional<std::uint64_t>
zone_leadership::fencingToken(std::string_view Zone) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool MayGiveOrders = Zone == Self.Zone && Token &&
                             *Token != FencedToken &&
                             Clock.now() >= OrdersAllowedFrom;
  return MayGiveOrders ? Token : std::nullopt;
}

void zone_leadership::markFenced(std::uint64_t RejectedToken) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  FencedToken = std::max(FencedToken, RejectedToken);
  if (Token && *Token <= FencedToken) {
    Token.reset();
    logEvent(log_event::ZoneLeadLost,
             {{"token", std::to_string(RejectedToken)}});
  }
}

void zone_leadership::registerHost() {
  const std::string Name = std::string(HostPrefix) + Self.Name;
  const std::optional<platform_object> Known = Members.find(Name);
  nlohmann::json Body;
  Body["zone"] = Self.Zone;
  Body["link"] = toText(Self.Link);
  Body["incarnation"] = Self.Incarnation;
  const std::string Text = Body.dump();
  if (Known && Known->Body == Text)
    return;
  const std::string &Kind = Members.kind();
  const std::uint64_t Revision =
      Known ? Platform.Update(Kind, Name, Known->Version, Text)
            : Platform.Create(Kind, Name, Text);
  Members.applyOwnWrite({Kind, Name, Revision, Text});
}

/// The number of the zone's hosts that attempt a takeover before \p Name.
static std::ptrdiff_t rankIn(const std::vector<registered_host> &Hosts,
                             std::string_view Zone, std::string_view Name) {
  return std::count_if(Hosts.begin(), Hosts.end(),
                       [&](const registered_host &Host) {
                         return Host.Zone == Zone && Host.Name < Name;
                       });
}

bool zone_leadership::mayTakeLeadership(
    const std::optional<leader_record> &Leader,
    time_point LeaderRepliedAt) const {
  const milliseconds Delay = RankDelay * rankIn(hosts(), Self.Zone, Self.Name);
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Leader || Leader->Released)
    return Now - LeaderSeenAt >= Delay;
  if (Leader->Host == Self.Name)
    return Leader->Incarnation != Self.Incarnation ||
           Leader->Revision <= FencedToken;
  const time_point Since =
      std::max({LeaderRepliedAt, LeaderSeenAt, RunningSince});
  return Now - Since >= LeaderTimeout + Delay;
}

void zone_leadership::takeLeadership(
    const std::optional<leader_record> &Leader) {
  const std::string Name = std::string(LeaderPrefix) + Self.Zone;
  const std::string Text = serializeLeader(false);
  const std::string &Kind = Members.kind();
  const bool PredecessorMayBeAlive =
      Leader && !Leader->Released && Leader->Host != Self.Name;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    OrdersAllowedFrom = Clock.now() + (PredecessorMayBeAlive ? WaitAfterTakeover
                                                             : milliseconds(0));
  }
  const std::uint64_t Revision =
      Leader ? Platform.Update(Kind, Name, Leader->Revision, Text)
             : Platform.Create(Kind, Name, Text);
  Members.applyOwnWrite({Kind, Name, Revision, Text});
  updateLeader(readLeader(Self.Zone));
}

/// Updates the state of this host from the current leader record.
void zone_leadership::updateLeader(const std::optional<leader_record> &Leader) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool IsSelf =
      Leader && !Leader->Released && Leader->Host == Self.Name &&
      Leader->Incarnation == Self.Incarnation && Leader->Revision > FencedToken;
  if (Leader && Leader->Incarnation != LeaderIncarnation) {
    LeaderIncarnation = Leader->Incarnation;
    LeaderSeenAt = Clock.now();
  }
  if (!IsSelf) {
    if (Token)
      logEvent(log_event::ZoneLeadLost,
               {{"token", std::to_string(*Token)},
                {"lead", Leader ? Leader->Host : std::string("none")}});
    Token.reset();
    return;
  }
  if (Token == Leader->Revision)
    return;
  Token = Leader->Revision;
  LeaderSince = Clock.now();
  logEvent(log_event::ZoneLeadTaken,
           {{"zone", Self.Zone}, {"token", std::to_string(*Token)}});
}

/// Removes the registrations of hosts that have not reported to this leader for
/// HostExpiry, so that the others can use their shares of the customers' rates.
/// A host that was only disconnected registers again.
void zone_leadership::removeLostHosts(const contact_times &Contacts) {
  const time_point Cutoff = Clock.now() - HostExpiry;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Token || std::max(LeaderSince, RunningSince) > Cutoff)
      return;
  }
  for (const registered_host &Host : hosts()) {
    if (Host.Zone != Self.Zone || Host.Name == Self.Name ||
        Contacts.HasReportedSince(Host.Name, Cutoff))
      continue;
    Platform.Remove(Members.kind(), std::string(HostPrefix) + Host.Name,
                    Host.Revision);
    logEvent(log_event::HostLost, {{"host", Host.Name}});
  }
}

/// Notes a pause of this process, during which it could receive nothing.
/// Precondition: Mutex is held.
void zone_leadership::noteRunning() {
  const time_point Now = Clock.now();
  if (Now - LastRunAt > PauseAfter)
    RunningSince = Now;
  LastRunAt = Now;
}

void zone_leadership::maintain(const contact_times &Contacts) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    noteRunning();
    if (Leaving)
      return;
  }
  const std::optional<leader_record> Leader = readLeader(Self.Zone);
  updateLeader(Leader);
  if (!Members.isInitialized() || !Members.isPlatformReachable())
    return;
  try {
    registerHost();
    if (isLeader())
      removeLostHosts(Contacts);
    else if (mayTakeLeadership(Leader, Contacts.Leader))
      takeLeadership(Leader);
  } catch (const spindle_error &Error) {
    // Another host was faster, or the platform is unavailable: the next call
    // sees the current state.
    if (Error.code() != result_code::PlatformConflict)
      logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
  }
}

/// Whether another host of the zone could become leader. Hosts that leave have
/// removed their registrations.
bool zone_leadership::hasSuccessor() const {
  const std::vector<registered_host> Hosts = hosts();
  return std::any_of(Hosts.begin(), Hosts.end(),
                     [this](const registered_host &Host) {
                       return Host.Zone == Self.Zone && Host.Name != Self.Name;
                     });
}

/// Releases leadership to the first host that takes it over.
void zone_leadership::releaseLeadership() {
  std::optional<std::uint64_t> HeldToken;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    HeldToken = Token;
  }
  if (!HeldToken)
    return;
  Platform.Update(Members.kind(), std::string(LeaderPrefix) + Self.Zone,
                  *HeldToken, serializeLeader(true));
  const std::lock_guard<std::mutex> Lock(Mutex);
  Token.reset();
}

bool zone_leadership::leave(bool Force) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Leaving = true;
  }
  if (isLeader() && !Force && !hasSuccessor())
    return false;
  try {
    releaseLeadership();
    const std::string Name = std::string(HostPrefix) + Self.Name;
    if (const std::optional<platform_object> Known = Members.find(Name))
      Platform.Remove(Members.kind(), Name, Known->Version);
    return true;
  } catch (const spindle_error &Error) {
    logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
    // An object that is gone or that another host has changed needs no release.
    return Error.code() == result_code::PlatformNotFound ||
           Error.code() == result_code::PlatformConflict;
  }
}

} // namespace spindle
