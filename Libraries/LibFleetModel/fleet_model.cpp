#include "LibFleetModel/fleet_model.h"

#include "LibCore/result_code.h"
#include "LibFleetModel/engine_model.h"
#include "LibFleetModel/zone_model.h"
#include "LibLoad/zipf_sampler.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <tuple>

namespace spindle {

namespace {

constexpr milliseconds LookPause{10};
constexpr milliseconds ExchangePause{250};
constexpr milliseconds RegistrationPause{500};
/// A lead that can't be reached is given up after this.
constexpr milliseconds UnreachableAfter{550};
constexpr milliseconds ComeBackSoon{400};
constexpr std::uint32_t MostZonesAsked = 3;
constexpr std::uint32_t RepeatsAtOnce = 3;
constexpr milliseconds LeastPatience{2'000};
constexpr int PatienceInObjectives = 4;
constexpr int PatienceInGaps = 8;
constexpr double OwnPartOfCache = 0.5;
constexpr double BodyBytes = 20'000;
const std::string Service = "engines";
const std::string Model = "base";

nanoseconds fromMilliseconds(double Milliseconds) {
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

double toMilliseconds(nanoseconds Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

double percentile(std::vector<double> Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const double Place = Part * static_cast<double>(Values.size() - 1);
  return Values[static_cast<std::size_t>(Place)];
}

/// One caller's request, over all its attempts.
struct model_request {
  std::uint64_t Id = 0;
  std::size_t Kind = 0;
  std::size_t Host = 0;
  request_description Description;
  time_point Begin;
  time_point AttemptBegin;
  std::uint32_t RetriesLeft = 0;
  bool ComesBackAtOnce = false;
  std::vector<upstream_id> Avoid;
  std::uint32_t ZonesAsked = 0;
  slot_request Wish;
  std::uint64_t Ticket = 0;
  std::size_t Zone = 0;
  /// Where it runs, if it does.
  std::optional<std::size_t> Engine;
  std::optional<time_point> FirstEvent;
  time_point LastEvent;
  bool IsLate = false;
  bool Ended = false;
};

using request_pointer = std::shared_ptr<model_request>;

struct model_host {
  std::size_t Zone = 0;
  std::unique_ptr<fleet_table> Fleet;
};

struct placed_engine {
  upstream_id Id;
  std::string Name;
  std::size_t Zone = 0;
  std::unique_ptr<engine_model> Engine;
  bool Stepping = false;
  bool Gone = false;
  std::uint64_t Life = 1;
};

struct model_event {
  time_point At;
  std::uint64_t Order = 0;
  std::function<void()> Work;
  bool operator<(const model_event &Other) const {
    return std::tie(At, Order) > std::tie(Other.At, Other.Order);
  }
};

/// The event loop and all that it drives.
class fleet_model {
public:
  fleet_model(const model_settings &Settings, const model_pattern &Pattern,
              const model_policy &Policy);
  model_result run();

private:
  void at(time_point Time, std::function<void()> Work);
  void build();
  void drive();
  void planArrivals();
  void arrive(std::size_t Kind);
  adapter_name drawAdapter();
  const model_phase *phaseNow() const;
  bool isAlone(std::size_t Zone) const;
  void attempt(const request_pointer &Request);
  void look(const request_pointer &Request);
  void passOver(const request_pointer &Request);
  void refuse(const request_pointer &Request);
  void send(const request_pointer &Request, upstream_id Engine);
  void arriveAt(const request_pointer &Request, std::size_t Engine);
  void wake(std::size_t Engine);
  void takeEvents(std::size_t Engine, const engine_events &Events);
  void takeEvent(model_request &Request);
  void finish(const request_pointer &Request);
  void giveUp(const request_pointer &Request);
  void release(model_request &Request);
  void exchange();
  void registerEngines();
  void removeEngines(double Share);
  void returnEngines();
  milliseconds patienceOf(const model_kind &Kind) const;
  nanoseconds latency(std::size_t From, std::size_t To) const;
  void bookEnd(const model_request &Request, double Worth);
  model_result summarize();

  const model_settings &Settings;
  const model_pattern &Pattern;
  const model_policy &Policy;
  const model_fleet &Fleet;
  runtime_clock Clock;
  time_point Begin;
  std::mt19937_64 Random;
  zipf_sampler Popularity;
  std::priority_queue<model_event> Events;
  std::uint64_t LastOrder = 0;
  std::uint64_t LastRequest = 0;
  weight_store_model Store;
  std::vector<std::unique_ptr<zone_model>> Zones;
  std::vector<model_host> Hosts;
  std::vector<placed_engine> Engines;
  std::map<upstream_id, std::size_t> EngineIndex;
  std::map<std::uint64_t, request_pointer> Requests;
  /// What hosts have under way, at the last exchanges.
  std::deque<std::vector<std::vector<host_link::UpstreamLoad>>> Told;
  std::vector<kind_result> Kinds;
  std::vector<std::vector<double>> FirstEvents;
  std::vector<double> Stalls;
  std::vector<double> OwedBySecond;
  std::vector<double> EarnedBySecond;
  std::int64_t ReadAgain = 0;
  std::uint64_t OtherZone = 0;
  std::uint64_t Sent = 0;
};

fleet_model::fleet_model(const model_settings &Settings,
                         const model_pattern &Pattern,
                         const model_policy &Policy)
    : Settings(Settings), Pattern(Pattern), Policy(Policy),
      Fleet(Settings.Fleet), Random(Settings.Seed),
      Popularity(Settings.Adapters, Settings.ZipfExponent),
      Kinds(Settings.Kinds.size()), FirstEvents(Settings.Kinds.size()) {
  Clock.pause();
  Begin = Clock.now();
  const std::size_t Seconds =
      static_cast<std::size_t>(std::ceil(Pattern.Seconds)) + 1;
  OwedBySecond.resize(Seconds);
  EarnedBySecond.resize(Seconds);
  for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind)
    Kinds[Kind].Name = Settings.Kinds[Kind].Name;
  build();
}

void fleet_model::at(time_point Time, std::function<void()> Work) {
  Events.push({std::max(Time, Clock.now()), ++LastOrder, std::move(Work)});
}

void fleet_model::build() {
  const model_timer Timer = [this](time_point Time,
                                   std::function<void()> Work) {
    at(Time, std::move(Work));
  };
  for (std::size_t Zone = 0; Zone < Fleet.Zones; ++Zone) {
    Zones.push_back(std::make_unique<zone_model>(Fleet, Clock, Store, Timer));
    for (std::uint32_t Host = 0; Host < Fleet.HostsPerZone; ++Host)
      Hosts.push_back(
          {Zone, std::make_unique<fleet_table>(
                     Clock, "z" + std::to_string(Zone), Policy.Rank)});
    for (std::uint32_t Engine = 0; Engine < Fleet.EnginesPerZone; ++Engine) {
      placed_engine Placed;
      Placed.Name = "e" + std::to_string(Engines.size());
      Placed.Id = upstream_id::ofName(Placed.Name);
      Placed.Zone = Zone;
      Placed.Engine = std::make_unique<engine_model>(Fleet);
      EngineIndex[Placed.Id] = Engines.size();
      Zones.back()->addEngine(Placed.Id);
      Engines.push_back(std::move(Placed));
    }
  }
  for (const model_host &Host : Hosts)
    Host.Fleet->setCacheTokens(
        Service, static_cast<std::int64_t>(
                     static_cast<double>(Fleet.MemoryTokens) * OwnPartOfCache));
  registerEngines();
}

const model_phase *fleet_model::phaseNow() const {
  const double Second =
      std::chrono::duration<double>(Clock.now() - Begin).count();
  for (const model_phase &Phase : Pattern.Phases)
    if (Second >= Phase.AtSeconds &&
        Second < Phase.AtSeconds + Phase.ForSeconds)
      return &Phase;
  return nullptr;
}

bool fleet_model::isAlone(std::size_t Zone) const {
  const model_phase *const Phase = phaseNow();
  return Phase && Phase->ZoneAlone && Zone == 0;
}

nanoseconds fleet_model::latency(std::size_t From, std::size_t To) const {
  static constexpr double WithinZone = 0.2;
  return fromMilliseconds(From == To ? WithinZone : Fleet.ZoneMilliseconds);
}

milliseconds fleet_model::patienceOf(const model_kind &Kind) const {
  return std::max({LeastPatience, Kind.Objective * PatienceInObjectives,
                   Kind.Gap * PatienceInGaps});
}

/// Draws the arrivals of each kind as a Poisson process whose rate follows the
/// phases.
void fleet_model::planArrivals() {
  for (std::size_t Kind = 0; Kind < Settings.Kinds.size(); ++Kind) {
    double MostFactor = 1;
    for (const model_phase &Phase : Pattern.Phases)
      MostFactor = std::max(MostFactor, Phase.RateFactor);
    const double MostRate =
        Settings.Kinds[Kind].PerSecond * Pattern.RateFactor * MostFactor;
    if (MostRate <= 0)
      continue;
    std::exponential_distribution<double> Pause(MostRate);
    std::uniform_real_distribution<double> Draw(0, MostFactor);
    for (double Second = Pause(Random); Second < Pattern.Seconds;
         Second += Pause(Random)) {
      const double Kept = Draw(Random);
      at(Begin + fromMilliseconds(Second * 1'000), [this, Kind, Kept] {
        const model_phase *const Phase = phaseNow();
        if (Kept < (Phase ? Phase->RateFactor : 1))
          arrive(Kind);
      });
    }
  }
}

adapter_name fleet_model::drawAdapter() {
  const model_phase *const Phase = phaseNow();
  const double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
  std::uint32_t Rank = Popularity.draw(Random);
  if (Phase && Draw < Phase->HotShare)
    Rank = Settings.Adapters - 1;
  else if (Phase && Draw < Phase->HotShare + Phase->ColdShare)
    Rank = std::uniform_int_distribution<std::uint32_t>(0, Settings.Adapters -
                                                               1)(Random);
  return {Model, "a" + std::to_string(Rank)};
}

void fleet_model::arrive(std::size_t KindIndex) {
  const model_kind &Kind = Settings.Kinds[KindIndex];
  const model_phase *const Phase = phaseNow();
  const request_pointer Request = std::make_shared<model_request>();
  Request->Id = ++LastRequest;
  Request->Kind = KindIndex;
  Request->Host =
      std::uniform_int_distribution<std::size_t>(0, Hosts.size() - 1)(Random);
  const adapter_name Adapter = drawAdapter();
  Request->Description.Model = Adapter.Model;
  Request->Description.Adapter = Adapter.Adapter;
  Request->Description.PromptTokens = Kind.SharedTokens + Kind.OwnTokens;
  if (Kind.SharedTokens > 0)
    Request->Description.Prompt.push_back({KindIndex + 1, Kind.SharedTokens});
  Request->Description.Prompt.push_back(
      {(Request->Id << 8U) + KindIndex, Kind.OwnTokens});
  Request->Begin = Clock.now();
  Request->RetriesLeft = Kind.Retries;
  const double Draw = std::uniform_real_distribution<double>(0, 1)(Random);
  if (Phase && Draw < Phase->RepeatShare) {
    Request->ComesBackAtOnce = true;
    Request->RetriesLeft += RepeatsAtOnce;
  }
  Requests[Request->Id] = Request;
  kind_result &Result = Kinds[KindIndex];
  ++Result.Asked;
  Result.WorthOwed += Kind.Worth;
  const std::size_t Second = static_cast<std::size_t>(
      std::chrono::duration<double>(Clock.now() - Begin).count());
  OwedBySecond[Second] += Kind.Worth;
  at(Clock.now() + Kind.Deadline, [this, Request] { giveUp(Request); });
  attempt(Request);
}

void fleet_model::attempt(const request_pointer &Request) {
  if (Request->Ended)
    return;
  const model_kind &Kind = Settings.Kinds[Request->Kind];
  model_host &Host = Hosts[Request->Host];
  const time_point Now = Clock.now();
  if (Request->ZonesAsked == 0)
    Request->AttemptBegin = Now;
  upstream_query Query;
  Query.Service = Service;
  Query.Model = &Request->Description;
  Query.Avoid = Request->Avoid;
  Query.Objective = Kind.Objective;
  Query.Remaining = Kind.Objective - std::chrono::duration_cast<milliseconds>(
                                         Now - Request->Begin);
  Query.BodyBytes = static_cast<std::size_t>(BodyBytes);
  const std::optional<chosen_upstream> Chosen = Host.Fleet->choose(Query);
  if (!Chosen)
    return refuse(Request);
  Request->Wish.Engines.clear();
  for (const upstream_pointer &Engine : Chosen->Engines)
    if (Policy.WaitsInZone || Request->Wish.Engines.empty())
      Request->Wish.Engines.push_back(Engine->Id);
  const nanoseconds Takes = fromMilliseconds(Chosen->ServiceMilliseconds);
  Request->Wish.OnTimeUntil = Request->Begin + Kind.Objective - Takes;
  Request->Wish.UsefulUntil =
      std::min(Request->Begin + Kind.Deadline,
               Request->AttemptBegin + patienceOf(Kind)) -
      Takes;
  Request->Wish.Urgency = Kind.Urgency;
  Request->Zone = Engines[EngineIndex.at(Chosen->Upstream->Id)].Zone;
  if (Request->Zone != Host.Zone &&
      (isAlone(Host.Zone) || isAlone(Request->Zone))) {
    at(Now + UnreachableAfter, [this, Request] {
      Hosts[Request->Host].Fleet->noteZoneSilent("z" +
                                                 std::to_string(Request->Zone));
      passOver(Request);
    });
    return;
  }
  at(Now + 2 * latency(Host.Zone, Request->Zone),
     [this, Request] { look(Request); });
}

void fleet_model::look(const request_pointer &Request) {
  if (Request->Ended)
    return;
  zone_model &Zone = *Zones[Request->Zone];
  const adapter_name Adapter{Request->Description.Model,
                             Request->Description.Adapter};
  if (Clock.now() >= Request->Wish.UsefulUntil)
    return passOver(Request);
  try {
    const std::optional<upstream_id> Held =
        Zone.look(Adapter, Request->Wish, Request->Ticket);
    if (Held) {
      Zone.leave(Adapter, Request->Ticket);
      return send(Request, *Held);
    }
  } catch (const spindle_error &) {
    return passOver(Request);
  }
  at(Clock.now() + LookPause, [this, Request] { look(Request); });
}

/// No engine of the zone that was asked can take the request.
void fleet_model::passOver(const request_pointer &Request) {
  if (Request->Ended)
    return;
  release(*Request);
  for (const upstream_id Engine : Request->Wish.Engines) {
    Hosts[Request->Host].Fleet->noteAvailableSlots({Engine, 0});
    Request->Avoid.push_back(Engine);
  }
  if (++Request->ZonesAsked >= MostZonesAsked)
    return refuse(Request);
  attempt(Request);
}

/// Turns the request away; its caller may come back.
void fleet_model::refuse(const request_pointer &Request) {
  const model_kind &Kind = Settings.Kinds[Request->Kind];
  const time_point Now = Clock.now();
  const double Draw =
      std::uniform_real_distribution<double>(0.75, 1.25)(Random);
  const nanoseconds Pause =
      Request->ComesBackAtOnce
          ? nanoseconds(0)
          : fromMilliseconds(static_cast<double>(ComeBackSoon.count()) * Draw);
  const nanoseconds Left = Request->Begin + Kind.Deadline - Now;
  if (Request->RetriesLeft == 0 || Pause > Left / 3) {
    ++Kinds[Request->Kind].Refused;
    bookEnd(*Request, 0);
    Request->Ended = true;
    Requests.erase(Request->Id);
    return;
  }
  --Request->RetriesLeft;
  Request->ZonesAsked = 0;
  Request->Avoid.clear();
  Request->Host =
      std::uniform_int_distribution<std::size_t>(0, Hosts.size() - 1)(Random);
  at(Now + Pause, [this, Request] { attempt(Request); });
}

void fleet_model::send(const request_pointer &Request, upstream_id Id) {
  const std::size_t Index = EngineIndex.at(Id);
  model_host &Host = Hosts[Request->Host];
  const model_kind &Kind = Settings.Kinds[Request->Kind];
  Host.Fleet->noteRequestSent(Id, Request->Description);
  Host.Fleet->noteAdapter(
      Id, {{Request->Description.Model, Request->Description.Adapter}, 1},
      true);
  Stalls.push_back(toMilliseconds(Clock.now() - Request->AttemptBegin));
  Request->Engine = Index;
  ++Sent;
  OtherZone += Engines[Index].Zone == Host.Zone ? 0 : 1;
  at(Clock.now() + latency(Host.Zone, Engines[Index].Zone),
     [this, Request, Index] { arriveAt(Request, Index); });
  at(Request->AttemptBegin + patienceOf(Kind), [this, Request] {
    if (!Request->FirstEvent)
      giveUp(Request);
  });
}

void fleet_model::arriveAt(const request_pointer &Request, std::size_t Index) {
  if (Request->Ended)
    return;
  placed_engine &Placed = Engines[Index];
  if (Placed.Gone) {
    Hosts[Request->Host].Fleet->noteOutcome(Placed.Id, call_outcome::Failure);
    release(*Request);
    Request->Avoid.push_back(Placed.Id);
    return attempt(Request);
  }
  const model_kind &Kind = Settings.Kinds[Request->Kind];
  std::int64_t MostKept = 0;
  for (const placed_engine &Other : Engines)
    MostKept =
        std::max(MostKept, Other.Engine->cachedTokens(Request->Description));
  ReadAgain += MostKept - Placed.Engine->cachedTokens(Request->Description);
  engine_run Run;
  Run.Id = Request->Id;
  Run.Request = &Request->Description;
  Run.OutputTokens =
      static_cast<std::int64_t>(Kind.Events) * Kind.TokensPerEvent;
  Run.TokensPerEvent = Kind.TokensPerEvent;
  Run.Urgency = Kind.Urgency;
  Placed.Engine->add(Run);
  wake(Index);
}

void fleet_model::wake(std::size_t Index) {
  placed_engine &Placed = Engines[Index];
  if (Placed.Stepping || Placed.Gone || !Placed.Engine->busy())
    return;
  Placed.Stepping = true;
  const std::shared_ptr<engine_events> Happened =
      std::make_shared<engine_events>();
  const nanoseconds Takes = Placed.Engine->step(*Happened);
  at(Clock.now() + Takes, [this, Index, Happened, Life = Placed.Life] {
    if (Engines[Index].Life != Life)
      return;
    Engines[Index].Stepping = false;
    takeEvents(Index, *Happened);
    wake(Index);
  });
}

void fleet_model::takeEvents(std::size_t Index, const engine_events &Happened) {
  for (const std::uint64_t Id : Happened.Events) {
    const auto Found = Requests.find(Id);
    if (Found != Requests.end())
      takeEvent(*Found->second);
  }
  for (const std::uint64_t Id : Happened.Ended) {
    const auto Found = Requests.find(Id);
    if (Found == Requests.end())
      continue;
    const request_pointer Request = Found->second;
    Hosts[Request->Host].Fleet->notePrompt(Engines[Index].Id,
                                           Request->Description);
    Hosts[Request->Host].Fleet->noteOutcome(Engines[Index].Id,
                                            call_outcome::Success);
    finish(Request);
  }
}

void fleet_model::takeEvent(model_request &Request) {
  const model_kind &Kind = Settings.Kinds[Request.Kind];
  const time_point Now = Clock.now();
  fleet_table &Table = *Hosts[Request.Host].Fleet;
  const upstream_id Id = Engines[*Request.Engine].Id;
  Table.noteActivity(Id);
  if (!Request.FirstEvent) {
    Request.FirstEvent = Now;
    Table.notePrefillDone(Id, Request.Description.PromptTokens);
    FirstEvents[Request.Kind].push_back(toMilliseconds(Now - Request.Begin));
    Request.IsLate = Now - Request.Begin > Kind.Objective;
  } else if (Now - Request.LastEvent > Kind.Gap)
    Request.IsLate = true;
  Request.LastEvent = Now;
}

void fleet_model::finish(const request_pointer &Request) {
  const model_kind &Kind = Settings.Kinds[Request->Kind];
  kind_result &Result = Kinds[Request->Kind];
  release(*Request);
  ++(Request->IsLate ? Result.Late : Result.InTime);
  bookEnd(*Request, Request->IsLate ? Kind.LateWorth : Kind.Worth);
  Request->Ended = true;
  Requests.erase(Request->Id);
}

/// The caller has left, or its engine has.
void fleet_model::giveUp(const request_pointer &Request) {
  if (Request->Ended)
    return;
  if (Request->Engine)
    Engines[*Request->Engine].Engine->cancel(Request->Id);
  release(*Request);
  ++Kinds[Request->Kind].Failed;
  bookEnd(*Request, 0);
  Request->Ended = true;
  Requests.erase(Request->Id);
}

/// Takes back what is booked for the request: its place in a queue and its
/// load.
void fleet_model::release(model_request &Request) {
  Zones[Request.Zone]->leave(
      {Request.Description.Model, Request.Description.Adapter}, Request.Ticket);
  if (!Request.Engine)
    return;
  fleet_table &Table = *Hosts[Request.Host].Fleet;
  const upstream_id Id = Engines[*Request.Engine].Id;
  if (!Request.FirstEvent)
    Table.notePrefillDone(Id, Request.Description.PromptTokens);
  Table.noteRequestEnd(Id, Request.Description);
  Request.Engine.reset();
}

void fleet_model::bookEnd(const model_request &Request, double Worth) {
  Kinds[Request.Kind].WorthEarned += Worth;
  const std::size_t Second = static_cast<std::size_t>(
      std::chrono::duration<double>(Request.Begin - Begin).count());
  EarnedBySecond[Second] += Worth;
}

/// Hosts learn what the others have under way: their own zone's a message
/// later, the others' two.
void fleet_model::exchange() {
  std::vector<std::vector<host_link::UpstreamLoad>> Now;
  std::vector<adapter_use> Uses;
  for (const model_host &Host : Hosts) {
    Now.push_back(Host.Fleet->localLoads());
    const std::vector<adapter_use> Own = Host.Fleet->adaptersInUse();
    Uses.insert(Uses.end(), Own.begin(), Own.end());
  }
  Told.push_back(std::move(Now));
  if (Told.size() > 3)
    Told.pop_front();
  const auto &Last = Told[Told.size() > 1 ? Told.size() - 2 : 0];
  const auto &BeforeLast = Told.front();
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
    std::vector<host_link::UpstreamLoad> Elsewhere;
    for (std::size_t Other = 0; Other < Hosts.size(); ++Other) {
      if (Other == Host)
        continue;
      const bool SameZone = Hosts[Other].Zone == Hosts[Host].Zone;
      const auto &Loads = (SameZone ? Last : BeforeLast)[Other];
      Elsewhere.insert(Elsewhere.end(), Loads.begin(), Loads.end());
    }
    Hosts[Host].Fleet->setRemoteLoads(Elsewhere);
  }
  for (const std::unique_ptr<zone_model> &Zone : Zones) {
    Zone->setInUse(Uses);
    for (const available_slots &Room : Zone->rooms())
      for (const model_host &Host : Hosts)
        Host.Fleet->noteAvailableSlots(Room);
  }
  at(Clock.now() + ExchangePause, [this] { exchange(); });
}

void fleet_model::registerEngines() {
  std::vector<upstream_pointer> Entries;
  for (const placed_engine &Placed : Engines) {
    if (Placed.Gone)
      continue;
    const std::shared_ptr<upstream_entry> Entry =
        std::make_shared<upstream_entry>();
    Entry->Name = Placed.Name;
    Entry->Id = Placed.Id;
    Entry->Service = Service;
    Entry->Zone = "z" + std::to_string(Placed.Zone);
    Entry->Slots = Fleet.BatchSlots;
    Entry->Models = {Model};
    Entry->StartedAt = static_cast<std::int64_t>(Placed.Life);
    Entry->Adapters = Zones[Placed.Zone]->loadedAt(Placed.Id);
    Entries.push_back(Entry);
  }
  for (const model_host &Host : Hosts)
    Host.Fleet->applyUpstreams(Entries);
}

void fleet_model::removeEngines(double Share) {
  const std::size_t Gone = static_cast<std::size_t>(
      std::lround(Share * static_cast<double>(Engines.size())));
  // Every second one, so that each zone loses some.
  for (std::size_t Count = 0; Count < Gone; ++Count) {
    const std::size_t Index =
        (Count * 2) % Engines.size() + (Count * 2 >= Engines.size() ? 1 : 0);
    placed_engine &Placed = Engines[std::min(Index, Engines.size() - 1)];
    if (Placed.Gone)
      continue;
    Placed.Gone = true;
    Placed.Stepping = false;
    ++Placed.Life;
    Zones[Placed.Zone]->clearEngine(Placed.Id);
    for (const std::uint64_t Id : Placed.Engine->clear()) {
      const auto Found = Requests.find(Id);
      if (Found != Requests.end())
        giveUp(request_pointer(Found->second));
    }
  }
}

void fleet_model::returnEngines() {
  for (placed_engine &Placed : Engines) {
    Placed.Gone = false;
    wake(EngineIndex.at(Placed.Id));
  }
}

void fleet_model::drive() {
  at(Begin, [this] { exchange(); });
  const std::size_t Registrations =
      static_cast<std::size_t>(Pattern.Seconds * 2) + 60;
  for (std::size_t Count = 1; Count < Registrations; ++Count)
    at(Begin + RegistrationPause * static_cast<int>(Count),
       [this] { registerEngines(); });
  for (const model_phase &Phase : Pattern.Phases) {
    if (Phase.EnginesGone <= 0)
      continue;
    at(Begin + fromMilliseconds(Phase.AtSeconds * 1'000),
       [this, Share = Phase.EnginesGone] { removeEngines(Share); });
    at(Begin + fromMilliseconds((Phase.AtSeconds + Phase.ForSeconds) * 1'000),
       [this] { returnEngines(); });
  }
  planArrivals();
}

model_result fleet_model::run() {
  drive();
  // Every request has ended by then.
  milliseconds Longest{0};
  for (const model_kind &Kind : Settings.Kinds)
    Longest = std::max(Longest, Kind.Deadline);
  const time_point End =
      Begin + fromMilliseconds(Pattern.Seconds * 1'000) + Longest + seconds(1);
  while (!Events.empty() && Events.top().At <= End) {
    const model_event Next = Events.top();
    Events.pop();
    Clock.advance(Next.At - Clock.now());
    Next.Work();
  }
  return summarize();
}

model_result fleet_model::summarize() {
  model_result Result;
  double Owed = 0;
  double Earned = 0;
  for (std::size_t Kind = 0; Kind < Kinds.size(); ++Kind) {
    Kinds[Kind].FirstEventP50Milliseconds = percentile(FirstEvents[Kind], 0.5);
    Kinds[Kind].FirstEventP99Milliseconds = percentile(FirstEvents[Kind], 0.99);
    Owed += Kinds[Kind].WorthOwed;
    Earned += Kinds[Kind].WorthEarned;
  }
  Result.Kinds = std::move(Kinds);
  Result.WorthShare = Owed > 0 ? Earned / Owed : 0;
  for (std::size_t Second = 0; Second < OwedBySecond.size(); ++Second)
    Result.WorthBySecond.push_back(
        OwedBySecond[Second] > 0 ? EarnedBySecond[Second] / OwedBySecond[Second]
                                 : 1);
  Result.Fetches = Store.Fetches;
  Result.CopiesLoaded = Store.CopiesLoaded;
  static constexpr double ShortStall = 15;
  Result.Stalled = static_cast<std::uint64_t>(
      std::count_if(Stalls.begin(), Stalls.end(),
                    [](double Stall) { return Stall > ShortStall; }));
  Result.StallP99Milliseconds = percentile(Stalls, 0.99);
  for (const placed_engine &Placed : Engines) {
    Result.TokensRead += Placed.Engine->tokensRead();
    Result.Preemptions += Placed.Engine->preemptions();
  }
  Result.ReadAgainShare = Result.TokensRead > 0
                              ? static_cast<double>(ReadAgain) /
                                    static_cast<double>(Result.TokensRead)
                              : 0;
  Result.OtherZoneShare =
      Sent > 0 ? static_cast<double>(OtherZone) / static_cast<double>(Sent) : 0;
  return Result;
}

} // namespace

model_result runFleetModel(const model_settings &Settings,
                           const model_pattern &Pattern,
                           const model_policy &Policy) {
  return fleet_model(Settings, Pattern, Policy).run();
}

} // namespace spindle
