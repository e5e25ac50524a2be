#include "LibGateway/zone_leadership.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace spindle {

static constexpr std::string_view HostPrefix = "host.";
static constexpr std::string_view LeadPrefix = "lead.";
// A lead that is silent for so long may be replaced.
static constexpr milliseconds LeadSilence{1'500};
// Those that might replace it try one after the other.
static constexpr milliseconds RankDelay{350};
// A former lead that is alive learns within this that it was replaced, and
// engines take the turns of two holders that are further apart.
static constexpr milliseconds WaitAfterTakeover{3'000};
// A host that was not heard of for so long is removed from the register.
static constexpr milliseconds ForgetHost{8'000};

zone_leadership::zone_leadership(host_identity Self, const runtime_clock &Clock,
                                 const platform_port &Platform,
                                 object_mirror &Members)
    : Self(std::move(Self)), Clock(Clock), Platform(Platform),
      Members(Members) {}

std::optional<zone_leadership::lead_record>
zone_leadership::readLead(std::string_view Zone) const {
  const std::optional<platform_object> Object =
      Members.find(std::string(LeadPrefix) + std::string(Zone));
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

std::string zone_leadership::writeLead(bool Released) const {
  nlohmann::json Body;
  Body["host"] = Self.Name;
  Body["link"] = toText(Self.Link);
  Body["incarnation"] = Self.Incarnation;
  if (Released)
    Body["released"] = true;
  return Body.dump();
}

std::optional<endpoint> zone_leadership::leaderOf(std::string_view Zone) const {
  const std::optional<lead_record> Lead = readLead(Zone);
  if (!Lead || Lead->Released || Lead->Link.empty())
    return std::nullopt;
  return parseEndpoint(Lead->Link);
}

std::map<std::string, endpoint> zone_leadership::otherLeaders() const {
  std::map<std::string, endpoint> Leads;
  for (const platform_object &Object : Members.objects()) {
    if (!Object.Name.starts_with(LeadPrefix))
      continue;
    const std::string Zone = Object.Name.substr(LeadPrefix.size());
    if (Zone == Self.Zone)
      continue;
    if (const std::optional<endpoint> Link = leaderOf(Zone))
      Leads.emplace(Zone, *Link);
  }
  return Leads;
}

static std::optional<endpoint> readLink(const nlohmann::json &Body) {
  try {
    return parseEndpoint(Body.value("link", ""));
  } catch (const std::exception &Error) {
    logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
    return std::nullopt;
  }
}

std::vector<registered_host> zone_leadership::hosts() const {
  std::vector<registered_host> Hosts;
  for (const platform_object &Object : Members.objects()) {
    if (!Object.Name.starts_with(HostPrefix))
      continue;
    const nlohmann::json Body =
        nlohmann::json::parse(Object.Body, nullptr, false);
    registered_host Host;
    Host.Name = Object.Name.substr(HostPrefix.size());
    Host.Revision = Object.Version;
    if (Body.is_object()) {
      Host.Zone = Body.value("zone", "");
      Host.Link = readLink(Body);
    }
    Hosts.push_back(std::move(Host));
  }
  return Hosts;
}

bool zone_leadership::isLeader() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Token.has_value();
}

std::optional<std::uint64_t>
zone_leadership::fencingToken(std::string_view Zone) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool MayOrder = Zone == Self.Zone && Token && *Token != FencedToken &&
                        Clock.now() >= MayOrderFrom;
  return MayOrder ? Token : std::nullopt;
}

void zone_leadership::markFenced(std::uint64_t Fenced) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  FencedToken = std::max(FencedToken, Fenced);
  if (Token && *Token <= FencedToken) {
    Token.reset();
    logEvent(log_event::ZoneLeadLost, {{"token", std::to_string(Fenced)}});
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

/// The number of the zone's hosts that try before \p Name.
static std::ptrdiff_t rankIn(const std::vector<registered_host> &Hosts,
                             std::string_view Zone, std::string_view Name) {
  return std::count_if(Hosts.begin(), Hosts.end(),
                       [&](const registered_host &Host) {
                         return Host.Zone == Zone && Host.Name < Name;
                       });
}

bool zone_leadership::mayTake(const std::optional<lead_record> &Lead,
                              time_point LeadHeardAt) const {
  const milliseconds Delay = RankDelay * rankIn(hosts(), Self.Zone, Self.Name);
  const time_point Now = Clock.now();
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (!Lead || Lead->Released)
    return Now - LeadSeenAt >= Delay;
  if (Lead->Host == Self.Name)
    return Lead->Incarnation != Self.Incarnation ||
           Lead->Revision <= FencedToken;
  return Now - std::max(LeadHeardAt, LeadSeenAt) >= LeadSilence + Delay;
}

void zone_leadership::take(const std::optional<lead_record> &Lead) {
  const std::string Name = std::string(LeadPrefix) + Self.Zone;
  const std::string Text = writeLead(false);
  const std::string &Kind = Members.kind();
  const bool FormerMayLive = Lead && !Lead->Released && Lead->Host != Self.Name;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    MayOrderFrom =
        Clock.now() + (FormerMayLive ? WaitAfterTakeover : milliseconds(0));
  }
  const std::uint64_t Revision =
      Lead ? Platform.Update(Kind, Name, Lead->Revision, Text)
           : Platform.Create(Kind, Name, Text);
  Members.applyOwnWrite({Kind, Name, Revision, Text});
  note(readLead(Self.Zone));
}

/// Takes over who the lead is now.
void zone_leadership::note(const std::optional<lead_record> &Lead) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const bool IsSelf = Lead && !Lead->Released && Lead->Host == Self.Name &&
                      Lead->Incarnation == Self.Incarnation &&
                      Lead->Revision > FencedToken;
  if (Lead && Lead->Incarnation != LeadIncarnation) {
    LeadIncarnation = Lead->Incarnation;
    LeadSeenAt = Clock.now();
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
  LeadSince = Clock.now();
  logEvent(log_event::ZoneLeadTaken,
           {{"zone", Self.Zone}, {"token", std::to_string(*Token)}});
}

/// Removes hosts that have told this lead nothing for long from the register,
/// so that their shares of the customers' rates are used by the others. One
/// that was only cut off registers again.
void zone_leadership::removeLostHosts(const contact_times &Heard) {
  const time_point Before = Clock.now() - ForgetHost;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!Token || LeadSince > Before)
      return;
  }
  for (const registered_host &Host : hosts()) {
    if (Host.Zone != Self.Zone || Host.Name == Self.Name ||
        Heard.HasReportedSince(Host.Name, Before))
      continue;
    Platform.Remove(Members.kind(), std::string(HostPrefix) + Host.Name,
                    Host.Revision);
    logEvent(log_event::HostLost, {{"host", Host.Name}});
  }
}

void zone_leadership::maintain(const contact_times &Heard) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Leaving)
      return;
  }
  const std::optional<lead_record> Lead = readLead(Self.Zone);
  note(Lead);
  if (!Members.isInitialized() || !Members.isPlatformReachable())
    return;
  try {
    registerHost();
    if (isLeader())
      removeLostHosts(Heard);
    else if (mayTake(Lead, Heard.Lead))
      take(Lead);
  } catch (const spindle_error &Error) {
    // Another host was faster, or the platform is away: the next look tells.
    if (Error.code() != result_code::PlatformConflict)
      logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
  }
}

/// Whether another host of the zone could take the lead. Hosts that leave have
/// given their registrations back.
bool zone_leadership::hasSuccessor() const {
  const std::vector<registered_host> Hosts = hosts();
  return std::any_of(Hosts.begin(), Hosts.end(),
                     [this](const registered_host &Host) {
                       return Host.Zone == Self.Zone && Host.Name != Self.Name;
                     });
}

/// Gives the lead to whoever takes it first.
void zone_leadership::releaseLead() {
  std::optional<std::uint64_t> Held;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Held = Token;
  }
  if (!Held)
    return;
  Platform.Update(Members.kind(), std::string(LeadPrefix) + Self.Zone, *Held,
                  writeLead(true));
  const std::lock_guard<std::mutex> Lock(Mutex);
  Token.reset();
}

bool zone_leadership::leave(bool LastChance) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Leaving = true;
  }
  if (isLeader() && !LastChance && !hasSuccessor())
    return false;
  try {
    releaseLead();
    const std::string Name = std::string(HostPrefix) + Self.Name;
    if (const std::optional<platform_object> Known = Members.find(Name))
      Platform.Remove(Members.kind(), Name, Known->Version);
    return true;
  } catch (const spindle_error &Error) {
    logEvent(log_event::MembershipFailed, {{"reason", Error.what()}});
    // What is not there any more needs no leaving.
    return Error.code() == result_code::PlatformNotFound ||
           Error.code() == result_code::PlatformConflict;
  }
}

} // namespace spindle
