#include "placement_model.h"

#include "LibResidency/pin_cache.h"
#include "LibResidency/residency_owner.h"
#include "LibRouting/route_choice.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>

namespace spindle {

namespace {

struct model_request {
  std::size_t Host = 0;
  adapter_id Adapter;
  time_point Arrived;
  nanoseconds Service{0};
  std::size_t Engine = 0;
  time_point Pinned;
  bool Stalled = false;
  bool Measured = false;
};

using request_pointer = std::shared_ptr<model_request>;

struct model_engine {
  std::uint32_t Running = 0;
  std::deque<request_pointer> Waiting;
  time_point Changed;
  double BusySeconds = 0;
  double BatchSeconds = 0;
  std::vector<adapter_id> Loaded;
};

struct model_host {
  routing_table Table;
  pin_cache Pins;
  residency_owner Owner;
  std::map<std::uint64_t, std::pair<waiting_pin, request_pointer>> Waiters;
};

struct model_event {
  time_point Time;
  std::uint64_t Order = 0;
  std::function<void()> Run;
  bool operator<(const model_event &Other) const {
    return std::tie(Time, Order) > std::tie(Other.Time, Other.Order);
  }
};

/// The event loop and all that it drives.
class placement_model {
public:
  placement_model(const placement_load &Load, const placement_policy &Policy);
  placement_result run();

private:
  void at(time_point Time, std::function<void()> Run);
  void every(milliseconds Period, const std::function<void()> &Run);
  void buildHosts();
  void buildTable(model_host &Host, std::size_t HostIndex);
  void placeBest();
  void arrive();
  adapter_id drawAdapter();
  void drift();
  void route(const request_pointer &Request);
  void askOwner(const request_pointer &Request, placement Placement);
  void giveUp(std::size_t Owner, std::uint64_t Ticket);
  void pinned(const request_pointer &Request);
  void start(const request_pointer &Request);
  void finish(const request_pointer &Request);
  void account(model_engine &Engine);
  void plan();
  void carryOut(std::size_t Owner, const residency_order &Order);
  void load(std::size_t Owner, const residency_order &Order);
  void resolve(std::size_t Owner, const std::vector<pin_resolution> &Resolved);
  void report();
  void sync();
  void knowPopularity();
  std::size_t ownerOf(std::size_t Engine) const;
  std::size_t zoneOfHost(std::size_t Host) const;
  std::size_t zoneOfEngine(std::size_t Engine) const;
  static upstream_id engineId(std::size_t Engine) { return {Engine + 1}; }
  static adapter_id adapterIdOf(std::size_t Index) {
    return {(Index + 1) * 0x9e3779b97f4a7c15};
  }
  placement_result summarize();

  const placement_load &Load;
  const placement_policy &Policy;
  std::mt19937_64 Random;
  std::mt19937_64 Choices;
  time_point Now{seconds(1'000)};
  time_point Begin;
  time_point End;
  std::uint64_t Events = 0;
  std::priority_queue<model_event> Queue;
  std::vector<double> Cumulative;
  std::vector<std::size_t> AdapterOfRank;
  std::vector<model_host> Hosts;
  std::vector<model_engine> Engines;
  std::vector<pin_holder> Holders;
  double LoadTokens = 1;
  std::uint32_t LoadsRunning = 0;
  std::uint64_t LoadsDone = 0;
  std::uint64_t Refused = 0;
  std::uint64_t CrossZone = 0;
  std::vector<double> Stalls;
  std::vector<double> Waits;
  std::uint64_t StalledRequests = 0;
};

placement_model::placement_model(const placement_load &Load,
                                 const placement_policy &Policy)
    : Load(Load), Policy(Policy), Random(Load.Seed), Choices(Load.Seed + 1),
      Begin(Now + Load.WarmUp), End(Begin + Load.Measured),
      AdapterOfRank(Load.Adapters),
      Hosts(std::size_t{Load.Zones} * Load.HostsPerZone),
      Engines(std::size_t{Load.Zones} * Load.EnginesPerZone) {
  double Sum = 0;
  for (std::size_t Rank = 1; Rank <= Load.Adapters; ++Rank) {
    Sum += std::pow(static_cast<double>(Rank), -Load.ZipfExponent);
    Cumulative.push_back(Sum);
  }
  std::iota(AdapterOfRank.begin(), AdapterOfRank.end(), 0);
  std::ranges::shuffle(AdapterOfRank, Random);
  buildHosts();
}

std::size_t placement_model::zoneOfHost(std::size_t Host) const {
  return Host / Load.HostsPerZone;
}

std::size_t placement_model::zoneOfEngine(std::size_t Engine) const {
  return Engine / Load.EnginesPerZone;
}

std::size_t placement_model::ownerOf(std::size_t Engine) const {
  return zoneOfEngine(Engine) * Load.HostsPerZone;
}

void placement_model::at(time_point Time, std::function<void()> Run) {
  Queue.push({Time, ++Events, std::move(Run)});
}

void placement_model::every(milliseconds Period,
                            const std::function<void()> &Run) {
  at(Now + Period, [this, Period, Run] {
    Run();
    every(Period, Run);
  });
}

void placement_model::buildTable(model_host &Host, std::size_t HostIndex) {
  model_engines &Model = Host.Table.Models["base"];
  Host.Table.LoadsPerSecond = Load.LoadsPerSecond;
  Host.Table.TurnoverSeconds =
      static_cast<double>(Engines.size() * Load.Slots) / Load.LoadsPerSecond;
  Host.Table.LoadMilliseconds = static_cast<double>(Load.LoadTime.count());
  for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine) {
    routed_engine Routed;
    Routed.Id = engineId(Engine);
    Routed.Load.BatchSize = Load.BatchSize;
    Routed.DistanceMilliseconds =
        zoneOfEngine(Engine) == zoneOfHost(HostIndex) ? 0 : 3;
    Host.Table.Index[Routed.Id] = static_cast<engine_index>(Engine);
    Host.Table.Engines.push_back(Routed);
    Model.Engines.push_back(static_cast<engine_index>(Engine));
  }
  const std::vector<std::uint32_t> Slots(Engines.size(), Load.Slots);
  rankEngines(Host.Table, Model, Slots);
}

void placement_model::buildHosts() {
  for (std::size_t Host = 0; Host < Hosts.size(); ++Host) {
    Holders.push_back({{Host + 1}, 1});
    buildTable(Hosts[Host], Host);
    Hosts[Host].Owner.ValidUntil = time_point::max();
    Hosts[Host].Owner.Settings.Victims = Policy.Victims;
    Hosts[Host].Owner.LoadWait.BaseLoadMilliseconds =
        static_cast<double>(Load.LoadTime.count());
  }
  for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine) {
    engine_slots &Slots =
        Hosts[ownerOf(Engine)].Owner.Engines[engineId(Engine)];
    Slots.Engine = engineId(Engine);
    takeOver(Slots, 1, Now);
    applyReport(Slots, {1, Load.Slots, 1, {}, {}, Now + milliseconds(1)}, Now);
    for (const pin_holder &Holder : Holders)
      syncPins(Slots, Holder, 1, {}, Now);
    Engines[Engine].Changed = Now;
  }
  for (model_host &Host : Hosts)
    Host.Pins.LastSequence = 1;
}

/// Fills the slots with the most popular adapters, each as often as its
/// demand needs engines.
void placement_model::placeBest() {
  const double ServiceSeconds =
      Load.MeanAnswerTokens * Load.StepMilliseconds / 1'000;
  std::size_t Next = 0;
  const std::size_t Slots = Engines.size() * Load.Slots;
  for (std::size_t Rank = 0; Rank < Load.Adapters && Next < Slots; ++Rank) {
    const double Share =
        std::pow(static_cast<double>(Rank + 1), -Load.ZipfExponent) /
        Cumulative.back();
    const double Busy = Share * Load.RequestsPerSecond * ServiceSeconds;
    const std::size_t Replicas =
        static_cast<std::size_t>(std::ceil(Busy / (0.5 * Load.BatchSize)));
    for (std::size_t Copy = 0; Copy < Replicas && Next < Slots;
         ++Copy, ++Next) {
      const std::size_t Engine = Next % Engines.size();
      const adapter_id Adapter = adapterIdOf(AdapterOfRank[Rank]);
      engine_slots &Owned =
          Hosts[ownerOf(Engine)].Owner.Engines[engineId(Engine)];
      Owned.Occupied.push_back({Adapter, slot_state::Loaded, Now, Now, false});
    }
  }
}

adapter_id placement_model::drawAdapter() {
  std::uniform_real_distribution<double> Uniform(0, Cumulative.back());
  const auto Found = std::ranges::lower_bound(Cumulative, Uniform(Random));
  const std::size_t Rank =
      static_cast<std::size_t>(std::distance(Cumulative.begin(), Found));
  return adapterIdOf(
      AdapterOfRank[std::min<std::size_t>(Rank, Load.Adapters - 1)]);
}

void placement_model::drift() {
  const std::size_t Left = Random() % Load.Adapters;
  const std::size_t Right = Random() % Load.Adapters;
  std::swap(AdapterOfRank[Left], AdapterOfRank[Right]);
  // A swap changes the popularity of two adapters.
  const double PerSecond = Load.DriftPerHour * Load.Adapters / 2 / 3'600;
  std::exponential_distribution<double> Gap(PerSecond);
  at(Now + std::chrono::duration_cast<nanoseconds>(
               std::chrono::duration<double>(Gap(Random))),
     [this] { drift(); });
}

void placement_model::arrive() {
  std::exponential_distribution<double> Gap(Load.RequestsPerSecond);
  std::lognormal_distribution<double> Tokens(
      std::log(Load.MeanAnswerTokens) - 0.125, 0.5);
  const request_pointer Request = std::make_shared<model_request>();
  Request->Host = Random() % Hosts.size();
  Request->Adapter = drawAdapter();
  Request->Arrived = Now;
  Request->Measured = Now >= Begin;
  const double Answer = std::max(1.0, Tokens(Random));
  Request->Service = std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double, std::milli>(Answer * Load.StepMilliseconds +
                                                Load.PromptTokens * 0.2));
  if (Now < End)
    at(Now + std::chrono::duration_cast<nanoseconds>(
                 std::chrono::duration<double>(Gap(Random))),
       [this] { arrive(); });
  route(Request);
}

void placement_model::route(const request_pointer &Request) {
  if (Now - Request->Arrived >= Load.Patience) {
    if (Request->Measured) {
      ++Refused;
      ++StalledRequests;
      Stalls.push_back(std::chrono::duration<double>(Load.Patience).count());
      Waits.push_back(Stalls.back());
    }
    return;
  }
  model_host &Host = Hosts[Request->Host];
  route_query Query;
  Query.Model = "base";
  Query.Adapter = Request->Adapter;
  Query.PromptTokens = static_cast<std::int64_t>(Load.PromptTokens);
  Query.Now = Now;
  const std::optional<route_choice> Choice =
      chooseEngine(Host.Table, Policy.Routing, Query, Choices);
  Request->Engine = Host.Table.Index.at(Choice->Engine);
  const placement Placement{Choice->Engine, Request->Adapter};
  if (beginCachedUse(Host.Pins, Placement, Now))
    return pinned(Request);
  askOwner(Request, Placement);
}

void placement_model::askOwner(const request_pointer &Request,
                               placement Placement) {
  model_host &Host = Hosts[Request->Host];
  const std::size_t OwnerHost = ownerOf(Request->Engine);
  model_host &Owner = Hosts[OwnerHost];
  waiting_pin Waiting;
  Waiting.Placement = Placement;
  Waiting.Holder = Holders[Request->Host];
  Waiting.Sequence = beginPinRequest(Host.Pins, Placement);
  Waiting.Since = Now;
  Waiting.Weight =
      1 + std::chrono::duration<double>(Now - Request->Arrived).count();
  if (requestPin(Owner.Owner, Waiting, Now) == pin_verdict::Pinned) {
    endPinRequest(Host.Pins, Placement, true, 1, 1, Now);
    return pinned(Request);
  }
  Request->Stalled = true;
  const engine_index Engine = static_cast<engine_index>(Request->Engine);
  if (!presenceAt(Host.Table, Request->Adapter, Engine))
    setSite(Host.Table, Request->Adapter, Engine, adapter_presence::Requested);
  Owner.Waiters[Waiting.Ticket] = {Waiting, Request};
  at(Now + seconds(2),
     [this, OwnerHost, Ticket = Waiting.Ticket] { giveUp(OwnerHost, Ticket); });
}

void placement_model::giveUp(std::size_t Owner, std::uint64_t Ticket) {
  const auto Found = Hosts[Owner].Waiters.find(Ticket);
  if (Found == Hosts[Owner].Waiters.end())
    return;
  const auto [Waiting, Request] = Found->second;
  Hosts[Owner].Waiters.erase(Found);
  cancelWaitingPin(Hosts[Owner].Owner, Waiting);
  model_host &Host = Hosts[Request->Host];
  endPinRequest(Host.Pins, Waiting.Placement, false, 0, 1, Now);
  const engine_index Engine = static_cast<engine_index>(Request->Engine);
  if (presenceAt(Host.Table, Request->Adapter, Engine) ==
      adapter_presence::Requested)
    eraseSite(Host.Table, Request->Adapter, Engine);
  route(Request);
}

void placement_model::resolve(std::size_t Owner,
                              const std::vector<pin_resolution> &Resolved) {
  for (const pin_resolution &Resolution : Resolved) {
    const auto Found = Hosts[Owner].Waiters.find(Resolution.Ticket);
    if (Found == Hosts[Owner].Waiters.end())
      continue;
    const auto [Waiting, Request] = Found->second;
    Hosts[Owner].Waiters.erase(Found);
    const bool Granted = Resolution.Verdict == pin_verdict::Pinned;
    model_host &Host = Hosts[Request->Host];
    if (!endPinRequest(Host.Pins, Waiting.Placement, Granted, 1, 1, Now)) {
      route(Request);
      continue;
    }
    setSite(Host.Table, Request->Adapter,
            static_cast<engine_index>(Request->Engine),
            adapter_presence::Resident);
    pinned(Request);
  }
}

void placement_model::pinned(const request_pointer &Request) {
  Request->Pinned = Now;
  noteDispatch(Hosts[Request->Host].Table.Engines[Request->Engine].Load, Now);
  model_engine &Engine = Engines[Request->Engine];
  if (Engine.Running < Load.BatchSize)
    return start(Request);
  Engine.Waiting.push_back(Request);
}

void placement_model::account(model_engine &Engine) {
  const double Passed =
      std::chrono::duration<double>(std::min(Now, End) -
                                    std::max(Engine.Changed, Begin))
          .count();
  Engine.Changed = Now;
  if (Passed <= 0 || Engine.Running == 0)
    return;
  Engine.BusySeconds += Passed;
  Engine.BatchSeconds += Passed * Engine.Running;
}

void placement_model::start(const request_pointer &Request) {
  model_engine &Engine = Engines[Request->Engine];
  account(Engine);
  ++Engine.Running;
  if (Request->Measured) {
    Waits.push_back(
        std::chrono::duration<double>(Now - Request->Arrived).count());
    Stalls.push_back(
        std::chrono::duration<double>(Request->Pinned - Request->Arrived)
            .count());
    StalledRequests += Request->Stalled ? 1 : 0;
    CrossZone += zoneOfEngine(Request->Engine) != zoneOfHost(Request->Host);
  }
  at(Now + Request->Service, [this, Request] { finish(Request); });
}

void placement_model::finish(const request_pointer &Request) {
  model_engine &Engine = Engines[Request->Engine];
  model_host &Host = Hosts[Request->Host];
  account(Engine);
  --Engine.Running;
  noteFinish(Host.Table.Engines[Request->Engine].Load, Now - Request->Pinned,
             Now);
  endUse(Host.Pins, {engineId(Request->Engine), Request->Adapter}, Now);
  if (Engine.Waiting.empty())
    return;
  const request_pointer Next = Engine.Waiting.front();
  Engine.Waiting.pop_front();
  start(Next);
}

void placement_model::plan() {
  LoadTokens = std::min(LoadTokens + Load.LoadsPerSecond * 0.02, 2.0);
  // Owners take the budget in turn, as no owner knows the others' waiting.
  std::vector<std::size_t> Owners;
  for (std::size_t Zone = 0; Zone < Load.Zones; ++Zone)
    Owners.push_back(Zone * Load.HostsPerZone);
  std::ranges::shuffle(Owners, Choices);
  for (const std::size_t Owner : Owners) {
    const std::size_t Allowed =
        LoadTokens >= 1 && LoadsRunning < Load.LoadsInFlight ? 1 : 0;
    for (const residency_order &Order :
         planOrders(Hosts[Owner].Owner, Holders, Allowed, Now)) {
      LoadTokens -= 1;
      ++LoadsRunning;
      carryOut(Owner, Order);
    }
    for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine)
      if (ownerOf(Engine) == Owner)
        resolve(Owner,
                resolveLoaded(Hosts[Owner].Owner, engineId(Engine), Now));
  }
}

void placement_model::carryOut(std::size_t Owner,
                               const residency_order &Order) {
  if (!Order.Victim)
    return load(Owner, Order);
  at(Now + milliseconds(5), [this, Owner, Order] {
    if (endVictimUnload(Hosts[Owner].Owner, Order, order_result::Done, Now))
      load(Owner, Order);
    else
      --LoadsRunning;
  });
}

void placement_model::load(std::size_t Owner, const residency_order &Order) {
  at(Now + Load.LoadTime, [this, Owner, Order] {
    --LoadsRunning;
    if (Now >= Begin && Now < End)
      ++LoadsDone;
    resolve(Owner,
            endOrder(Hosts[Owner].Owner, Order, order_result::Done, Now));
  });
}

/// What the hosts learn of an engine, some time after it was so.
void placement_model::report() {
  for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine) {
    residency_owner &Owner = Hosts[ownerOf(Engine)].Owner;
    const engine_slots &Slots = Owner.Engines[engineId(Engine)];
    std::vector<adapter_id> Old = Engines[Engine].Loaded;
    std::vector<adapter_site> New;
    for (const engine_slot &Slot : Slots.Occupied)
      if (isServing(Slot) || Slot.State == slot_state::Loading)
        Engines[Engine].Loaded.push_back(Slot.Adapter);
    Engines[Engine].Loaded.erase(Engines[Engine].Loaded.begin(),
                                 Engines[Engine].Loaded.begin() +
                                     static_cast<std::ptrdiff_t>(Old.size()));
    const std::vector<engine_slot> Occupied = Slots.Occupied;
    const slot_availability Room = slotAvailability(Owner, Slots, Holders, Now);
    const double LoadWait = expectedLoadWait(Owner.LoadWait, Now);
    const std::uint32_t Running = Engines[Engine].Running;
    const std::uint32_t Waiting =
        static_cast<std::uint32_t>(Engines[Engine].Waiting.size());
    at(Now + Load.ReportLag, [=, this, Taken = Now] {
      for (model_host &Host : Hosts) {
        const engine_index Index = static_cast<engine_index>(Engine);
        routed_engine &Routed = Host.Table.Engines[Engine];
        noteReport(Routed.Load, Running, Waiting, Taken);
        Routed.EvictableSlots = Room.Evictable;
        Routed.VictimUsesPerSecond = Room.VictimUsesPerSecond;
        Routed.LoadWaitMilliseconds = LoadWait;
        for (const adapter_id Adapter : Old)
          eraseSite(Host.Table, Adapter, Index);
        for (const engine_slot &Slot : Occupied)
          if (isServing(Slot) || Slot.State == slot_state::Loading)
            setSite(Host.Table, Slot.Adapter, Index,
                    isServing(Slot) ? adapter_presence::Resident
                                    : adapter_presence::Loading);
      }
    });
  }
}

void placement_model::sync() {
  for (std::size_t Holder = 0; Holder < Hosts.size(); ++Holder) {
    pin_cache &Pins = Hosts[Holder].Pins;
    dropUnusedPins(Pins, milliseconds(2'000), Now);
    for (std::size_t Engine = 0; Engine < Engines.size(); ++Engine) {
      residency_owner &Owner = Hosts[ownerOf(Engine)].Owner;
      const std::vector<fenced_engine> Named{{engineId(Engine), 1}};
      const pin_sync Sync = composeSync(Pins, Named);
      std::vector<adapter_id> Pinned;
      for (const synced_pin &Pin : Sync.Pins) {
        Pinned.push_back(Pin.Placement.Adapter);
        if (Pin.UsesSinceSync > 0)
          noteDemand(Owner.Uses, Pin.Placement.Adapter, Pin.UsesSinceSync, Now);
      }
      const std::optional<std::vector<adapter_id>> Recalled = applySync(
          Owner, Named.front(), Holders[Holder], Sync.Sequence, Pinned, Now);
      noteSyncAcknowledged(Pins, Sync, Named.front(), Now);
      for (const adapter_id Adapter : *Recalled)
        notePinRecalled(Pins, {engineId(Engine), Adapter});
    }
  }
}

void placement_model::knowPopularity() {
  for (model_host &Host : Hosts)
    for (std::size_t Rank = 0; Rank < Load.Adapters; ++Rank)
      Host.Owner.Uses.Counts[adapterIdOf(AdapterOfRank[Rank])] = {
          1e6 / static_cast<double>(Rank + 1), Now};
}

placement_result placement_model::run() {
  if (Policy.KnowsPopularity) {
    placeBest();
    knowPopularity();
    every(milliseconds(5'000), [this] { knowPopularity(); });
  }
  arrive();
  if (Load.DriftPerHour > 0)
    drift();
  every(milliseconds(20), [this] { plan(); });
  every(milliseconds(500), [this] { report(); });
  every(milliseconds(500), [this] { sync(); });
  while (Queue.top().Time < End + Load.Patience) {
    const model_event Event = Queue.top();
    Queue.pop();
    Now = Event.Time;
    Event.Run();
  }
  return summarize();
}

double percentile(std::vector<double> &Values, double Part) {
  if (Values.empty())
    return 0;
  const std::size_t Index =
      static_cast<std::size_t>(Part * static_cast<double>(Values.size() - 1));
  std::ranges::nth_element(Values,
                           Values.begin() + static_cast<std::ptrdiff_t>(Index));
  return Values[Index];
}

placement_result placement_model::summarize() {
  placement_result Result;
  Result.Requests = Stalls.size();
  Result.Refused = Refused;
  Result.Loads = LoadsDone;
  const double Requests =
      static_cast<double>(std::max<std::size_t>(1, Stalls.size()));
  Result.StalledShare = static_cast<double>(StalledRequests) / Requests;
  Result.StallTotal = std::accumulate(Stalls.begin(), Stalls.end(), 0.0);
  Result.StallPerRequest = Result.StallTotal / Requests;
  Result.StallP99 = percentile(Stalls, 0.99);
  Result.WaitP50 = percentile(Waits, 0.5);
  Result.WaitP99 = percentile(Waits, 0.99);
  double Busy = 0;
  double Batch = 0;
  for (model_engine &Engine : Engines) {
    Busy += Engine.BusySeconds;
    Batch += Engine.BatchSeconds;
  }
  Result.TokensPerStep = Busy > 0 ? Batch / Busy : 0;
  Result.TokensPerSecond = Batch * 1'000 / Load.StepMilliseconds /
                           std::chrono::duration<double>(Load.Measured).count();
  Result.CrossZoneShare = static_cast<double>(CrossZone) / Requests;
  return Result;
}

} // namespace

placement_result runPlacement(const placement_load &Load,
                              const placement_policy &Policy) {
  return placement_model(Load, Policy).run();
}

} // namespace spindle
