#include "LibFleetModel/request_flow.h"

#include "LibCore/result_code.h"

#include <algorithm>

namespace spindle {

static constexpr milliseconds HoldRetryPause{10};
/// A call to a leader that can't be reached ends after this.
static constexpr milliseconds UnreachableAfter{550};
/// The mean pause of a caller before it retries.
static constexpr milliseconds CallerRetryPause{400};
static constexpr std::uint32_t MostZonesTried = 3;
/// The first event is expected within so many objectives and so many gaps.
static constexpr milliseconds LeastFirstEventLimit{2'000};
static constexpr int LimitInObjectives = 4;
static constexpr int LimitInGaps = 8;
static constexpr std::size_t BodyBytes = 20'000;

static adapter_name adapterOf(const model_request &Request) {
  return {Request.Description.Model, Request.Description.Adapter};
}

/// How long a caller waits for the first event of an attempt.
static milliseconds firstEventLimit(const model_kind &Kind) {
  return std::max({LeastFirstEventLimit, Kind.Objective * LimitInObjectives,
                   Kind.Gap * LimitInGaps});
}

request_flow::request_flow(flow_parts Parts)
    : Settings(Parts.Settings), Policy(Parts.Policy), Clock(Parts.Clock),
      Timer(std::move(Parts.Timer)), Source(Parts.Source),
      Statistics(Parts.Statistics), Zones(Parts.Zones), Hosts(Parts.Hosts),
      Engines(Parts.Engines) {}

/// Whether messages between two zones arrive.
bool request_flow::isReachable(std::size_t From, std::size_t To) const {
  if (From == To)
    return true;
  const model_phase *const Phase = Source.phaseAt(Clock.now());
  return !Phase || !Phase->ZoneAlone || (From != 0 && To != 0);
}

nanoseconds request_flow::latency(std::size_t From, std::size_t To) const {
  static constexpr double WithinZone = 0.2;
  return fromMilliseconds(From == To ? WithinZone
                                     : Settings.Fleet.ZoneMilliseconds);
}

void request_flow::arrive(std::size_t Kind) {
  const time_point Now = Clock.now();
  const request_pointer Request = Source.drawRequest(Kind, Hosts.size(), Now);
  Requests[Request->Id] = Request;
  Statistics.noteArrival(Kind, Now);
  Timer(Now + Settings.Kinds[Kind].Deadline,
        [this, Request] { fail(Request); });
  attempt(Request);
}

upstream_query request_flow::queryOf(const model_request &Request) const {
  const model_kind &Kind = kindOf(Request);
  upstream_query Query;
  Query.Service = ServiceName;
  Query.Model = &Request.Description;
  Query.Avoid = Request.Avoid;
  Query.Objective = Kind.Objective;
  Query.Remaining = Kind.Objective - std::chrono::duration_cast<milliseconds>(
                                         Clock.now() - Request.Begin);
  Query.BodyBytes = BodyBytes;
  return Query;
}

/// Sets the request's entry for the slot queue of the chosen zone.
void request_flow::requestSlot(model_request &Request,
                               const chosen_upstream &Chosen) const {
  const model_kind &Kind = kindOf(Request);
  const nanoseconds ServiceTime = fromMilliseconds(Chosen.ServiceMilliseconds);
  slot_request &Slot = Request.SlotRequest;
  Slot.Engines.clear();
  for (const upstream_pointer &Engine : Chosen.Engines)
    if (Policy.WaitsInZone || Slot.Engines.empty())
      Slot.Engines.push_back(Engine->Id);
  Slot.OnTimeUntil = Request.Begin + Kind.Objective - ServiceTime;
  Slot.UsefulUntil = std::min(Request.Begin + Kind.Deadline,
                              Request.AttemptBegin + firstEventLimit(Kind)) -
                     ServiceTime;
  Slot.Urgency = Kind.Urgency;
  Request.Zone = Engines.at(Engines.indexOf(Chosen.Upstream->Id)).Zone;
}

void request_flow::attempt(const request_pointer &Request) {
  if (Request->Ended)
    return;
  const time_point Now = Clock.now();
  if (Request->ZonesTried == 0)
    Request->AttemptBegin = Now;
  const std::optional<chosen_upstream> Chosen =
      tableOf(*Request).choose(queryOf(*Request));
  if (!Chosen)
    return refuse(Request);
  requestSlot(*Request, *Chosen);
  const std::size_t HostZone = Hosts.zoneOf(Request->Host);
  if (!isReachable(HostZone, Request->Zone)) {
    Timer(Now + UnreachableAfter, [this, Request] {
      tableOf(*Request).noteZoneSilent(zoneName(Request->Zone));
      tryNextZone(Request);
    });
    return;
  }
  Timer(Now + 2 * latency(HostZone, Request->Zone),
        [this, Request] { tryHold(Request); });
}

/// Waits for the adapter in the chosen zone.
void request_flow::tryHold(const request_pointer &Request) {
  if (Request->Ended)
    return;
  if (Clock.now() >= Request->SlotRequest.UsefulUntil)
    return tryNextZone(Request);
  zone_model &Zone = *Zones[Request->Zone];
  const adapter_name Adapter = adapterOf(*Request);
  try {
    const std::optional<upstream_id> Held =
        Zone.tryHold(Adapter, Request->SlotRequest, Request->Ticket);
    if (Held) {
      Zone.leave(Adapter, Request->Ticket);
      return send(Request, *Held);
    }
  } catch (const spindle_error &) {
    return tryNextZone(Request);
  }
  Timer(Clock.now() + HoldRetryPause, [this, Request] { tryHold(Request); });
}

/// No engine of the chosen zone can take the request.
void request_flow::tryNextZone(const request_pointer &Request) {
  if (Request->Ended)
    return;
  release(*Request);
  for (const upstream_id Engine : Request->SlotRequest.Engines) {
    tableOf(*Request).noteAvailableSlots({Engine, 0});
    Request->Avoid.push_back(Engine);
  }
  if (++Request->ZonesTried >= MostZonesTried)
    return refuse(Request);
  attempt(Request);
}

/// Refuses the attempt; the caller may retry at any host.
void request_flow::refuse(const request_pointer &Request) {
  const time_point Now = Clock.now();
  const double Jitter = Source.draw(0.75, 1.25);
  const nanoseconds Pause =
      Request->RetriesAtOnce
          ? nanoseconds(0)
          : fromMilliseconds(static_cast<double>(CallerRetryPause.count()) *
                             Jitter);
  const nanoseconds Left = Request->Begin + kindOf(*Request).Deadline - Now;
  if (Request->RetriesLeft == 0 || Pause > Left / 3)
    return end(Request, request_end::Refused);
  --Request->RetriesLeft;
  Request->ZonesTried = 0;
  Request->Avoid.clear();
  Request->Host = Source.drawHost(Hosts.size());
  Timer(Now + Pause, [this, Request] { attempt(Request); });
}

void request_flow::send(const request_pointer &Request, upstream_id Id) {
  const std::size_t Engine = Engines.indexOf(Id);
  const std::size_t EngineZone = Engines.at(Engine).Zone;
  const std::size_t HostZone = Hosts.zoneOf(Request->Host);
  fleet_table &Table = tableOf(*Request);
  Table.noteRequestSent(Id, Request->Description);
  Table.noteAdapter(Id, {adapterOf(*Request), 1}, true);
  Statistics.noteDispatch(Clock.now() - Request->AttemptBegin,
                          EngineZone != HostZone);
  Request->Engine = Engine;
  Timer(Clock.now() + latency(HostZone, EngineZone),
        [this, Request, Engine] { arriveAt(Request, Engine); });
  Timer(Request->AttemptBegin + firstEventLimit(kindOf(*Request)),
        [this, Request] {
          if (!Request->FirstEvent)
            fail(Request);
        });
}

void request_flow::arriveAt(const request_pointer &Request, std::size_t Index) {
  if (Request->Ended)
    return;
  const engine_group::member &Engine = Engines.at(Index);
  if (Engine.Removed) {
    tableOf(*Request).noteOutcome(Engine.Id, call_outcome::Failure);
    release(*Request);
    Request->Avoid.push_back(Engine.Id);
    return attempt(Request);
  }
  const request_description &Description = Request->Description;
  Statistics.notePrefilledAgain(Engines.mostCachedTokens(Description) -
                                Engine.Engine->cachedTokens(Description));
  const model_kind &Kind = kindOf(*Request);
  engine_run Run;
  Run.Id = Request->Id;
  Run.Request = &Description;
  Run.OutputTokens =
      static_cast<std::int64_t>(Kind.Events) * Kind.TokensPerEvent;
  Run.TokensPerEvent = Kind.TokensPerEvent;
  Run.Urgency = Kind.Urgency;
  Engines.start(Index, Run);
}

void request_flow::endStep(std::size_t Index, const engine_events &Step) {
  for (const std::uint64_t Id : Step.Events) {
    const auto Found = Requests.find(Id);
    if (Found != Requests.end())
      noteEvent(*Found->second);
  }
  const upstream_id Engine = Engines.at(Index).Id;
  for (const std::uint64_t Id : Step.Ended) {
    const auto Found = Requests.find(Id);
    if (Found == Requests.end())
      continue;
    const request_pointer Request = Found->second;
    tableOf(*Request).notePrompt(Engine, Request->Description);
    tableOf(*Request).noteOutcome(Engine, call_outcome::Success);
    finish(Request);
  }
}

void request_flow::noteEvent(model_request &Request) {
  const model_kind &Kind = kindOf(Request);
  const time_point Now = Clock.now();
  const upstream_id Engine = Engines.at(*Request.Engine).Id;
  tableOf(Request).noteActivity(Engine);
  if (!Request.FirstEvent) {
    Request.FirstEvent = Now;
    tableOf(Request).notePrefillDone(Engine, Request.Description.PromptTokens);
    Statistics.noteFirstEvent(Request.Kind, Now - Request.Begin);
    Request.IsLate = Now - Request.Begin > Kind.Objective;
  } else if (Now - Request.LastEvent > Kind.Gap)
    Request.IsLate = true;
  Request.LastEvent = Now;
}

void request_flow::finish(const request_pointer &Request) {
  release(*Request);
  end(Request, Request->IsLate ? request_end::Late : request_end::InTime);
}

/// Ends a request whose caller has left or whose engine was removed.
void request_flow::fail(const request_pointer &Request) {
  if (Request->Ended)
    return;
  if (Request->Engine)
    Engines.cancel(*Request->Engine, Request->Id);
  release(*Request);
  end(Request, request_end::Failed);
}

void request_flow::failLost(std::span<const std::uint64_t> Ids) {
  for (const std::uint64_t Id : Ids) {
    const auto Found = Requests.find(Id);
    if (Found != Requests.end())
      fail(request_pointer(Found->second));
  }
}

void request_flow::end(const request_pointer &Request, request_end End) {
  Statistics.noteEnd(Request->Kind, End, Request->Begin);
  Request->Ended = true;
  Requests.erase(Request->Id);
}

/// Releases the request's place in a queue and its load on an engine.
void request_flow::release(model_request &Request) {
  Zones[Request.Zone]->leave(adapterOf(Request), Request.Ticket);
  if (!Request.Engine)
    return;
  fleet_table &Table = tableOf(Request);
  const upstream_id Engine = Engines.at(*Request.Engine).Id;
  if (!Request.FirstEvent)
    Table.notePrefillDone(Engine, Request.Description.PromptTokens);
  Table.noteRequestEnd(Engine, Request.Description);
  Request.Engine.reset();
}

} // namespace spindle
