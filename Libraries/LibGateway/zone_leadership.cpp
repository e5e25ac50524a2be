#include "LibGateway/zone_leadership.h"

#include "LibCore/bounded_json.h"
#include "LibCore/result_code.h"
#include "LibLog/log.h"
#include "LibPlatform/platform_version.h"

#include <algorithm>
#include <utility>

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
// A successor gives its first order no sooner after the leader last replied.
static constexpr milliseconds MinSuccessionTime =
    LeaderTimeout + WaitAfterTakeover;
// A host that has not run for this long was paused.
static constexpr milliseconds PauseAfter{1'000};
// The registration of a host that has not reported for this long is removed.
static constexpr milliseconds HostExpiry{8'000};

zone_leadership::zone_leadership(host_identity Self, const runtime_clock &Clock,
                                 const platform_port &Platform,
                                 object_mirror &Members)
    : Self(std::move(Self)), Clock(Clock), Platform(Platform),
      Members(Members) {}

bool zone_leadership::leader_record::isOfOtherHistory() const {
  return Era.value_or(0) != eraOf(Revision);
}

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
  Leader.ReleasedEarly = Body.value("released_early", false);
  Leader.Revision = Object->Version;
  if (Body.contains("era"))
    Leader.Era = Body.value("era", std::uint64_t{0});
  return Leader;
}

nlohmann::json zone_leadership::makeLeaderBody(std::uint64_t Era) const {
  nlohmann::json Body;
  Body["host"] = Self.Name;
  Body["link"] = toText(Self.Link);
  Body["incarnation"] = Self.Incarnation;
  Body["era"] = Era;
  return Body;
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
    if (Body.contains("era"))
      Host.Era = Body.value("era", std::uint64_t{0});
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
  if (!MayGiveOrders)
    return std::nullopt;
  return TokenHasEra ? *Token : revisionOf(*Token);
}

void zone_leadership::markFenced(std::uint64_t RejectedToken) {
  // A copy of less age would show a successor that gives orders.
  const bool IsCurrent = Members.age() < WaitAfterTakeover;
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool IsBareRevision =
      Token && RejectedToken != *Token && RejectedToken == revisionOf(*Token);
  if (IsBareRevision && IsCurrent) {
    TokenHasEra = true;
    return;
  }
  FencedToken = std::max(FencedToken, IsBareRevision ? *Token : RejectedToken);
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
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Body["era"] = FirstEra.value_or(0);
  }
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

/// Whether the platform began \p Era since this process or a registered one
/// first read it, so that it may have lost the record of a leader.
bool zone_leadership::wasRestored(std::uint64_t Era) const {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (FirstEra != Era)
      return true;
  }
  const std::vector<registered_host> Hosts = hosts();
  return std::any_of(Hosts.begin(), Hosts.end(),
                     [Era](const registered_host &Host) {
                       return Host.Era.value_or(0) != Era;
                     });
}

/// Whether another host may give orders when this one takes over from
/// \p Leader, the record in a copy of \p Era.
bool zone_leadership::mayHavePredecessor(
    const std::optional<leader_record> &Leader, std::uint64_t Era) const {
  if (!Leader)
    return wasRestored(Era);
  return Leader->isOfOtherHistory() || Leader->ReleasedEarly ||
         (!Leader->Released && Leader->Host != Self.Name);
}

void zone_leadership::takeLeadership(
    const std::optional<leader_record> &Leader) {
  const std::string Name = std::string(LeaderPrefix) + Self.Zone;
  const std::uint64_t Era = eraOf(Leader ? Leader->Revision : Members.cursor());
  const std::string Text = makeLeaderBody(Era).dump();
  const std::string &Kind = Members.kind();
  const bool HasPredecessor = mayHavePredecessor(Leader, Era);
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    PredecessorMayBeAlive = HasPredecessor;
  }
  const std::uint64_t Revision =
      Leader ? Platform.Update(Kind, Name, Leader->Revision, Text)
             : Platform.Create(Kind, Name, Text);
  Members.applyOwnWrite({Kind, Name, Revision, Text});
  updateLeader();
}

/// Updates the state of this host from the current leader record, and returns
/// the record.
std::optional<zone_leadership::leader_record> zone_leadership::updateLeader() {
  const time_point ReadAt = Clock.now() - Members.age();
  std::optional<leader_record> Leader = readLeader(Self.Zone);
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
    return Leader;
  }
  const time_point PreviouslyHeldAt = std::exchange(HeldAt, ReadAt);
  if (Token == Leader->Revision)
    return Leader;
  // A host that had taken over in what a copy lacks would have waited itself.
  const bool IsHeldThroughRestore =
      Token && Leader->isOfOtherHistory() &&
      revisionOf(Leader->Revision) == revisionOf(*Token) &&
      Clock.now() - PreviouslyHeldAt < MinSuccessionTime;
  Token = Leader->Revision;
  LeaderSince = Clock.now();
  if (IsHeldThroughRestore)
    return Leader;
  // A takeover may take effect long after it was sent.
  if (PredecessorMayBeAlive || Leader->isOfOtherHistory())
    OrdersAllowedFrom = LeaderSince + WaitAfterTakeover;
  logEvent(log_event::ZoneLeadTaken,
           {{"zone", Self.Zone}, {"token", std::to_string(*Token)}});
  return Leader;
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

/// Notes the platform's first era. Returns whether the copy states its era: one
/// from a host that states no eras is of no known one.
bool zone_leadership::noteEra() {
  const mirror_position Position = Members.position();
  if (!Position.Era ||
      makeVersion(*Position.Era, Position.Revision) != Members.cursor())
    return false;
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!FirstEra)
    FirstEra = Position.Era;
  return true;
}

/// Lets the tokens of this host's orders carry the era, once all hosts of the
/// zone state eras, or if a revision alone may be lower than one of a lost
/// history.
void zone_leadership::chooseTokenForm(
    const std::optional<leader_record> &Leader) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (TokenHasEra)
      return;
  }
  const std::vector<registered_host> Hosts = hosts();
  const bool AllStateEras =
      std::all_of(Hosts.begin(), Hosts.end(), [this](const auto &Host) {
        return Host.Zone != Self.Zone || Host.Era;
      });
  const std::uint64_t Era = eraOf(Members.cursor());
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (AllStateEras || FirstEra != Era ||
      (Leader && Leader->Era && Leader->isOfOtherHistory()))
    TokenHasEra = true;
}

void zone_leadership::maintain(const contact_times &Contacts) {
  const std::optional<leader_record> Leader = updateLeader();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    noteRunning();
    if (Leaving)
      return;
  }
  if (!Members.isInitialized() || !Members.isPlatformReachable() || !noteEra())
    return;
  try {
    registerHost();
    chooseTokenForm(Leader);
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
  bool IsEarly = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    HeldToken = Token;
    IsEarly = Clock.now() < OrdersAllowedFrom;
  }
  if (!HeldToken)
    return;
  nlohmann::json Body = makeLeaderBody(eraOf(*HeldToken));
  Body["released"] = true;
  if (IsEarly)
    Body["released_early"] = true;
  const std::string &Kind = Members.kind();
  const std::string Name = std::string(LeaderPrefix) + Self.Zone;
  const std::string Text = Body.dump();
  const std::uint64_t Revision = Platform.Update(Kind, Name, *HeldToken, Text);
  Members.applyOwnWrite({Kind, Name, Revision, Text});
  const std::lock_guard<std::mutex> Lock(Mutex);
  Token.reset();
}

void zone_leadership::removeRegistration() {
  const std::string Name = std::string(HostPrefix) + Self.Name;
  if (const std::optional<platform_object> Known = Members.find(Name))
    Platform.Remove(Members.kind(), Name, Known->Version);
}

/// Runs \p Release; an object that is gone needs none.
static void releaseIfPresent(const std::function<void()> &Release) {
  try {
    Release();
  } catch (const spindle_error &Error) {
    if (Error.code() != result_code::PlatformNotFound)
      throw;
  }
}

bool zone_leadership::leave(bool Force) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Leaving = true;
  }
  updateLeader();
  if (isLeader() && !Force && !hasSuccessor())
    return false;
  try {
    releaseIfPresent([this] { releaseLeadership(); });
    releaseIfPresent([this] { removeRegistration(); });
    return true;
  } catch (const spindle_error &Error) {
    // After a conflict, this host's copy is behind, perhaps by an era: the next
    // call sees the current objects.
    logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
    return false;
  }
}

} // namespace spindle
