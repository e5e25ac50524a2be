#include "LibGateway/fleet_table.h"

#include "LibLog/log.h"

#include <algorithm>

namespace spindle {

// How far below the best value that of an alternative engine may be.
static constexpr double MaxValueGap = 0.3;

static outlier_settings outlierSettings() {
  outlier_settings Settings;
  Settings.ConsecutiveFailures = 3;
  Settings.FailureRatio = 0.4;
  Settings.MinCalls = 8;
  Settings.MaxEjectedFraction = 0.67;
  Settings.EjectionTime = milliseconds(1'500);
  Settings.MaxEjectionTime = milliseconds(6'000);
  Settings.SlowStart = milliseconds(1'500);
  Settings.MinWeight = 0.2;
  return Settings;
}

std::vector<upstream_choice>
rankByWorth(std::span<const upstream_candidate> Candidates,
            const choice_request &Request) {
  return rankUpstreams(Candidates, Request, choice_costs{});
}

fleet_table::fleet_table(const runtime_clock &Clock, std::string OwnZone,
                         upstream_ranking Rank)
    : Clock(Clock), OwnZone(std::move(OwnZone)), Rank(std::move(Rank)) {
  Outliers.Settings = outlierSettings();
}

static std::map<adapter_name, std::uint64_t>
adaptersOf(const upstream_entry &Entry) {
  std::map<adapter_name, std::uint64_t> Adapters;
  for (const versioned_adapter &Adapter : Entry.Adapters)
    Adapters[Adapter.Name] = Adapter.Version;
  return Adapters;
}

static void logUpstream(const upstream_entry &Entry) {
  logEvent(log_event::UpstreamSeen,
           {{"upstream", Entry.Name},
            {"service", Entry.Service},
            {"zone", Entry.Zone},
            {"address", toText(Entry.Address)},
            {"leaving", Entry.Draining ? "true" : "false"},
            {"warm_up_ms", std::to_string(Entry.WarmUpLeft.count())}});
}

void fleet_table::applyUpstreams(const std::vector<upstream_pointer> &Entries) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::map<upstream_id, known_upstream> Next;
  std::vector<zoned_upstream> Places;
  std::set<upstream_id> Registered;
  for (const upstream_pointer &Registration : Entries) {
    const upstream_pointer Entry = withStatements(Registration);
    const auto Found = Upstreams.find(Entry->Id);
    const bool IsSame = Found != Upstreams.end() &&
                        Found->second.Entry->StartedAt == Entry->StartedAt;
    const bool IsUnchanged =
        Found != Upstreams.end() && Found->second.Entry == Entry;
    if (!IsUnchanged)
      noteRegistration(Admission, *Entry, Clock.now());
    known_upstream &Known = Next[Entry->Id];
    if (IsSame)
      Known = std::move(Found->second);
    else
      Known.KnownSince = Clock.now();
    if (!IsSame || Known.Entry->Draining != Entry->Draining)
      logUpstream(*Entry);
    Known.Entry = Entry;
    Known.Adapters = adaptersOf(*Entry);
    const auto Cache = CacheTokens.find(Entry->Service);
    if (Cache != CacheTokens.end())
      Known.Prompts.setCapacity(Cache->second);
    Places.push_back({Entry->Id, zone_id::ofName(Entry->Service)});
    Registered.insert(Entry->Id);
  }
  for (const auto &[Id, Known] : Upstreams)
    if (Known.Entry && !Next.contains(Id))
      logEvent(log_event::UpstreamGone, {{"upstream", Known.Entry->Name}});
  Upstreams = std::move(Next);
  retainUpstreams(Admission, Registered);
  std::erase_if(Leaving.Stated, [&Registered](const auto &Stated) {
    return !Registered.contains(Stated.first);
  });
  setUpstreams(Outliers, Places, Clock.now());
}

void fleet_table::setCacheTokens(const std::string &Service,
                                 std::int64_t Tokens) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  CacheTokens[Service] = Tokens;
}

void fleet_table::setWarmUpRate(const std::string &Service,
                                double RequestsPerSecond) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Admission.WarmUpRates[Service] = RequestsPerSecond;
}

void fleet_table::setHosts(std::vector<host_location> Hosts,
                           std::string OwnName) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Admission.Hosts = std::move(Hosts);
  Admission.OwnName = std::move(OwnName);
}

void fleet_table::setEvacuatedZones(std::set<std::string, std::less<>> Zones) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::setEvacuatedZones(Admission, std::move(Zones), entries(),
                             Clock.now());
}

bool fleet_table::admit(upstream_id Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  return Found != Upstreams.end() && !Found->second.Entry->Draining &&
         admitSend(Admission, *Found->second.Entry, Clock.now());
}

void fleet_table::noteUnreachable(upstream_id Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  if (Found != Upstreams.end())
    spindle::noteUnreachable(Admission, *Found->second.Entry, Clock.now());
}

upstream_pointer fleet_table::find(upstream_id Id) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  return Found == Upstreams.end() ? nullptr : Found->second.Entry;
}

std::vector<upstream_pointer> fleet_table::all() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return entries();
}

/// Precondition: Mutex is held.
std::vector<upstream_pointer> fleet_table::entries() const {
  std::vector<upstream_pointer> Entries;
  for (const auto &[Id, Known] : Upstreams)
    Entries.push_back(Known.Entry);
  return Entries;
}

bool fleet_table::hasUpstream(std::string_view Service) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return std::any_of(Upstreams.begin(), Upstreams.end(), [&](const auto &Pair) {
    return Pair.second.Entry->Service == Service &&
           !Pair.second.Entry->Draining;
  });
}

std::optional<milliseconds>
fleet_table::timeUntilSend(std::string_view Service) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const time_point Now = Clock.now();
  std::optional<time_point> Earliest;
  for (const auto &[Id, Known] : Upstreams) {
    if (Known.Entry->Service != Service || Known.Entry->Draining)
      continue;
    const std::optional<time_point> Next =
        nextSendAt(Admission, *Known.Entry, Now);
    if (Next && (!Earliest || *Next < *Earliest))
      Earliest = Next;
  }
  if (!Earliest)
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(std::max(*Earliest, Now) -
                                                  Now);
}

bool fleet_table::isEligible(const known_upstream &Known,
                             const upstream_query &Query) const {
  const upstream_entry &Entry = *Known.Entry;
  if (Entry.Service != Query.Service || Entry.Draining ||
      isEvacuated(Admission, Entry))
    return false;
  if (Query.Only && Entry.Id != Query.Only)
    return false;
  if (std::find(Query.Avoid.begin(), Query.Avoid.end(), Entry.Id) !=
      Query.Avoid.end())
    return false;
  if (!Query.Model || Query.Model->Model.empty())
    return true;
  return std::find(Entry.Models.begin(), Entry.Models.end(),
                   Query.Model->Model) != Entry.Models.end();
}

/// The engine chosen by rendezvous hashing of the adapter's name, so that all
/// hosts load an absent adapter on the same engine.
upstream_id fleet_table::affinityEngine(const upstream_query &Query) const {
  upstream_id AffinityEngine;
  std::uint64_t Best = 0;
  for (const auto &[Id, Known] : Upstreams) {
    if (!isEligible(Known, Query) || healthOf(Known) <= 0 ||
        sendRate(Admission, *Known.Entry, Clock.now()))
      continue;
    const std::uint64_t Rank =
        hashName(Query.Model->Adapter + "@" + Known.Entry->Name);
    if (Rank < Best)
      continue;
    Best = Rank;
    AffinityEngine = Id;
  }
  return AffinityEngine;
}

static adapter_need
needOf(const std::map<adapter_name, std::uint64_t> &Adapters,
       const upstream_query &Query) {
  const request_description &Request = *Query.Model;
  if (Request.Adapter.empty())
    return adapter_need::NotNeeded;
  const auto Found = Adapters.find({Request.Model, Request.Adapter});
  return Found != Adapters.end() && Found->second >= Query.AdapterVersion
             ? adapter_need::Loaded
             : adapter_need::Absent;
}

double fleet_table::healthOf(const known_upstream &Known) const {
  static constexpr double SilentHealth = 0.3;
  // A working engine sends a token of some request at least this often, even
  // during the prefill of a long prompt.
  static constexpr milliseconds MaxSilence{1'200};
  const time_point Now = Clock.now();
  const auto Silent = SilentUntil.find(Known.Entry->Zone);
  const bool ZoneIsSilent = Silent != SilentUntil.end() && Silent->second > Now;
  const bool IsSilent =
      Known.SilentSince && Now - *Known.SilentSince > MaxSilence;
  return weightOf(Outliers, Known.Entry->Id, Now) *
         (ZoneIsSilent ? SilentHealth : 1) * (IsSilent ? SilentHealth : 1);
}

void fleet_table::noteZoneSilent(const std::string &Zone) {
  static constexpr milliseconds SilentPeriod{1'500};
  const std::lock_guard<std::mutex> Lock(Mutex);
  SilentUntil[Zone] = Clock.now() + SilentPeriod;
}

upstream_candidate fleet_table::candidate(const known_upstream &Known,
                                          const upstream_query &Query) const {
  upstream_candidate Candidate;
  Candidate.Id = Known.Entry->Id;
  Candidate.InOwnZone = Known.Entry->Zone == OwnZone;
  Candidate.UnreadTokens = Known.UnreadTokens + Known.RemoteUnreadTokens;
  Candidate.Requests = Known.Requests + Known.RemoteRequests;
  Candidate.Slots = Known.Entry->Slots;
  Candidate.Health = healthOf(Known);
  if (!Query.Model)
    return Candidate;
  Candidate.Adapter = needOf(Known.Adapters, Query);
  Candidate.HasAvailableSlot =
      Known.AvailableSlots > 0 || Known.AvailableSlotsValidUntil <= Clock.now();
  Candidate.CachedTokens = Known.Prompts.cachedTokens(*Query.Model);
  return Candidate;
}

/// The upstreams to which this host may send the request now. A limited one
/// that would have to load the adapter is among them only if \p LoadsOnLimited
/// is set, as its turn may be over when the adapter is loaded.
/// Precondition: Mutex is held.
fleet_table::candidate_list fleet_table::candidates(const upstream_query &Query,
                                                    bool LoadsOnLimited) const {
  const upstream_id AffinityEngine =
      Query.Model ? affinityEngine(Query) : upstream_id{};
  candidate_list List;
  for (const auto &[Id, Known] : Upstreams) {
    if (!isEligible(Known, Query) ||
        !maySend(Admission, *Known.Entry, Clock.now()))
      continue;
    upstream_candidate Candidate = candidate(Known, Query);
    if (!LoadsOnLimited && isLimited(Known) &&
        Candidate.Adapter == adapter_need::Absent)
      continue;
    Candidate.IsAffinityEngine = Id == AffinityEngine;
    List.Candidates.push_back(Candidate);
    List.States.push_back(&Known);
  }
  return List;
}

std::optional<chosen_upstream>
fleet_table::choose(const upstream_query &Query) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  candidate_list List = candidates(Query, false);
  if (List.Candidates.empty())
    List = candidates(Query, true);
  const std::vector<upstream_candidate> &Candidates = List.Candidates;
  const std::vector<const known_upstream *> &States = List.States;
  choice_request Request;
  Request.ObjectiveMilliseconds = static_cast<double>(Query.Objective.count());
  Request.RemainingMilliseconds = static_cast<double>(Query.Remaining.count());
  Request.Bytes = static_cast<double>(Query.BodyBytes);
  if (Query.Model)
    Request.PromptTokens = std::max<std::int64_t>(1, Query.Model->PromptTokens);
  const std::vector<upstream_choice> Ranked = Rank(Candidates, Request);
  if (Ranked.empty())
    return std::nullopt;
  const upstream_choice &Best = Ranked.front();
  const adapter_need Need = Candidates[Best.Index].Adapter;
  chosen_upstream Chosen;
  Chosen.Upstream = States[Best.Index]->Entry;
  Chosen.ExpectedMilliseconds = Best.ExpectedMilliseconds;
  Chosen.ServiceMilliseconds = Best.ServiceMilliseconds;
  Chosen.AdapterLoaded = Need != adapter_need::Absent;
  Chosen.Engines.push_back(Chosen.Upstream);
  Chosen.EnginesInZone = static_cast<std::size_t>(std::count_if(
      States.begin(), States.end(), [&Chosen](const known_upstream *State) {
        return State->Entry->Zone == Chosen.Upstream->Zone;
      }));
  if (Chosen.AdapterLoaded)
    return Chosen;
  for (const upstream_choice &Other : std::span(Ranked).subspan(1))
    if (Other.Value >= Best.Value - MaxValueGap &&
        States[Other.Index]->Entry->Zone == Chosen.Upstream->Zone)
      Chosen.Engines.push_back(States[Other.Index]->Entry);
  return Chosen;
}

std::vector<placeable_engine>
fleet_table::placeable(const upstream_query &Query,
                       std::string_view Zone) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<placeable_engine> Engines;
  for (const auto &[Id, Known] : Upstreams)
    if (Known.Entry->Zone == Zone && isEligible(Known, Query) &&
        !sendRate(Admission, *Known.Entry, Clock.now()))
      Engines.push_back({Known.Entry, healthOf(Known), Known.Facts});
  return Engines;
}

std::vector<upstream_id>
fleet_table::enginesIn(std::string_view Zone, std::string_view Service) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<upstream_id> Engines;
  for (const auto &[Id, Known] : Upstreams)
    if (Known.Entry->Zone == Zone && Known.Entry->Service == Service)
      Engines.push_back(Id);
  return Engines;
}

std::vector<upstream_id> fleet_table::unusable(const upstream_query &Query,
                                               std::string_view Zone) const {
  static constexpr double MinHealth = 0.2;
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<upstream_id> Engines;
  for (const auto &[Id, Known] : Upstreams) {
    if (Known.Entry->Zone != Zone || Known.Entry->Service != Query.Service)
      continue;
    if (!isEligible(Known, Query) || healthOf(Known) < MinHealth ||
        !maySend(Admission, *Known.Entry, Clock.now()))
      Engines.push_back(Id);
  }
  return Engines;
}

void fleet_table::noteRequestSent(upstream_id Id,
                                  const request_description &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  if (Found == Upstreams.end())
    return;
  if (!Found->second.SilentSince)
    Found->second.SilentSince = Clock.now();
  ++Found->second.Requests;
  Found->second.UnreadTokens += Request.PromptTokens;
  if (!Request.Adapter.empty())
    ++Found->second.AdapterUses[{Request.Model, Request.Adapter}];
}

void fleet_table::noteActivity(upstream_id Id) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  if (Found != Upstreams.end())
    Found->second.SilentSince.reset();
}

void fleet_table::notePrefillDone(upstream_id Id, std::int64_t UnreadTokens) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  if (Found == Upstreams.end())
    return;
  std::int64_t &Unread = Found->second.UnreadTokens;
  Unread = std::max<std::int64_t>(0, Unread - UnreadTokens);
}

void fleet_table::noteRequestEnd(upstream_id Id,
                                 const request_description &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  if (Found == Upstreams.end())
    return;
  if (Found->second.Requests > 0)
    --Found->second.Requests;
  if (Found->second.Requests == 0)
    Found->second.SilentSince.reset();
  const auto AdapterUses =
      Found->second.AdapterUses.find({Request.Model, Request.Adapter});
  if (AdapterUses != Found->second.AdapterUses.end() &&
      --AdapterUses->second == 0)
    Found->second.AdapterUses.erase(AdapterUses);
}

std::vector<adapter_use> fleet_table::adaptersInUse() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<adapter_use> Uses;
  for (const auto &[Id, Known] : Upstreams)
    for (const auto &[Name, Users] : Known.AdapterUses)
      Uses.push_back({Id, Name});
  return Uses;
}

void fleet_table::notePrompt(upstream_id Id,
                             const request_description &Request) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  if (Found != Upstreams.end())
    Found->second.Prompts.note(Request);
}

void fleet_table::noteOutcome(upstream_id Id, call_outcome Outcome) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (noteCallOutcome(Outliers, Id, Outcome, Clock.now()))
    logEvent(log_event::UpstreamEjected,
             {{"upstream", Upstreams.contains(Id) ? Upstreams.at(Id).Entry->Name
                                                  : std::string()}});
}

// Leaders report available slots more often than this.
static constexpr milliseconds AvailableSlotsValidity{900};

void fleet_table::noteAvailableSlots(const available_slots &Available) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Available.Engine);
  if (Found == Upstreams.end())
    return;
  Found->second.AvailableSlots = Available.Count;
  Found->second.AvailableSlotsValidUntil = Clock.now() + AvailableSlotsValidity;
}

std::vector<available_slots>
fleet_table::availableSlotsOutside(std::string_view Zone) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<available_slots> Result;
  for (const auto &[Id, Known] : Upstreams)
    if (Known.Entry->Zone != Zone &&
        Known.AvailableSlotsValidUntil > Clock.now())
      Result.push_back({Id, Known.AvailableSlots});
  return Result;
}

void fleet_table::noteAdapter(upstream_id Id, const versioned_adapter &Adapter,
                              bool Present) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Upstreams.find(Id);
  if (Found == Upstreams.end())
    return;
  if (Present) {
    const bool IsNew = !Found->second.Adapters.contains(Adapter.Name);
    Found->second.Adapters[Adapter.Name] = Adapter.Version;
    if (IsNew && Found->second.AvailableSlots > 0)
      --Found->second.AvailableSlots;
  } else
    Found->second.Adapters.erase(Adapter.Name);
}

std::vector<host_link::UpstreamLoad> fleet_table::localLoads() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<host_link::UpstreamLoad> Loads;
  for (const auto &[Id, Known] : Upstreams) {
    if (Known.Requests == 0 && Known.UnreadTokens == 0)
      continue;
    host_link::UpstreamLoad &Load = Loads.emplace_back();
    Load.set_upstream(Id.Value);
    Load.set_requests(Known.Requests);
    Load.set_unread_tokens(Known.UnreadTokens);
  }
  return Loads;
}

void fleet_table::setRemoteLoads(
    const std::vector<host_link::UpstreamLoad> &Loads) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (auto &[Id, Known] : Upstreams) {
    Known.RemoteRequests = 0;
    Known.RemoteUnreadTokens = 0;
  }
  for (const host_link::UpstreamLoad &Load : Loads) {
    const auto Found = Upstreams.find(upstream_id{Load.upstream()});
    if (Found == Upstreams.end())
      continue;
    Found->second.RemoteRequests += Load.requests();
    Found->second.RemoteUnreadTokens += Load.unread_tokens();
  }
}

} // namespace spindle
