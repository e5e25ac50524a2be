#include "placement_model.h"

#include "adapter_popularity.h"
#include "placement_fleet.h"
#include "placement_report.h"
#include "placement_statistics.h"

#include "LibLoad/event_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace spindle {

namespace {

constexpr milliseconds PlanPeriod{20};
constexpr milliseconds ReportPeriod{500};
constexpr milliseconds SyncPeriod{500};
constexpr milliseconds PopularityPeriod{5'000};
constexpr milliseconds UnloadTime{5};
/// A request chooses an engine again after it has waited this long for a pin.
constexpr seconds PinWaitLimit{2};

nanoseconds fromSeconds(double Seconds) {
  return std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double>(Seconds));
}

double toSeconds(nanoseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

/// One run: the event loop and all that it drives.
class placement_model {
public:
  placement_model(const placement_load &Load, const placement_policy &Policy);
  placement_result run();

private:
  void at(time_point Time, std::function<void()> Work);
  void every(milliseconds Period, const std::function<void()> &Work);
  void scheduleAll();

  void arrive();
  placement_request_pointer drawRequest();
  void drift();
  void route(const placement_request_pointer &Request);
  placement choosePlacement(placement_request &Request);
  void requestPinOf(const placement_request_pointer &Request,
                    placement Placement);
  void endPinWait(std::size_t Owner, std::uint64_t Ticket);
  void resolve(std::size_t Owner, const std::vector<pin_resolution> &Resolved);
  void pinned(const placement_request_pointer &Request);
  void start(const placement_request_pointer &Request);
  void finish(const placement_request_pointer &Request);
  void account(placement_engine &Engine) const;

  void plan();
  void planFor(std::size_t Owner);
  void carryOut(std::size_t Owner, const residency_order &Order);
  void load(std::size_t Owner, const residency_order &Order);
  void report();

  const placement_load &Load;
  const placement_policy &Policy;
  /// Draws arrivals and popularity.
  std::mt19937_64 Random;
  /// Draws what policies leave to chance.
  std::mt19937_64 Choices;
  time_point Now{seconds(1'000)};
  time_point Begin;
  time_point End;
  event_queue Events;
  adapter_popularity Popularity;
  placement_fleet Fleet;
  placement_statistics Statistics;
  double LoadTokens = 1;
  std::uint32_t LoadsRunning = 0;
};

placement_model::placement_model(const placement_load &Load,
                                 const placement_policy &Policy)
    : Load(Load), Policy(Policy), Random(Load.Seed), Choices(Load.Seed + 1),
      Begin(Now + Load.WarmUp), End(Begin + Load.Measured),
      Popularity(Load, Random), Fleet(Load, Policy, Now) {}

void placement_model::at(time_point Time, std::function<void()> Work) {
  Events.add(Time, std::move(Work));
}

void placement_model::every(milliseconds Period,
                            const std::function<void()> &Work) {
  at(Now + Period, [this, Period, Work] {
    Work();
    every(Period, Work);
  });
}

void placement_model::drift() {
  Popularity.exchangeRanks();
  // An exchange changes the popularity of two adapters.
  const double PerSecond = Load.DriftPerHour * Load.Adapters / 2 / 3'600;
  std::exponential_distribution<double> Gap(PerSecond);
  at(Now + fromSeconds(Gap(Random)), [this] { drift(); });
}

placement_request_pointer placement_model::drawRequest() {
  static constexpr double TokensSigma = 0.5;
  static constexpr double PrefillMillisecondsPerToken = 0.2;
  std::lognormal_distribution<double> Tokens(std::log(Load.MeanAnswerTokens) -
                                                 TokensSigma * TokensSigma / 2,
                                             TokensSigma);
  placement_request_pointer Request = std::make_shared<placement_request>();
  Request->Host = Random() % Fleet.Hosts.size();
  Request->Adapter = Popularity.draw();
  Request->Arrived = Now;
  Request->Measured = Now >= Begin;
  const double Answer = std::max(1.0, Tokens(Random));
  Request->Service = std::chrono::duration_cast<nanoseconds>(
      std::chrono::duration<double, std::milli>(
          Answer * Load.StepMilliseconds +
          Load.PromptTokens * PrefillMillisecondsPerToken));
  return Request;
}

void placement_model::arrive() {
  const placement_request_pointer Request = drawRequest();
  std::exponential_distribution<double> Gap(Load.RequestsPerSecond);
  if (Now < End)
    at(Now + fromSeconds(Gap(Random)), [this] { arrive(); });
  route(Request);
}

placement placement_model::choosePlacement(placement_request &Request) {
  placement_host &Host = Fleet.Hosts[Request.Host];
  route_query Query;
  Query.Model = "base";
  Query.Adapter = Request.Adapter;
  Query.PromptTokens = static_cast<std::int64_t>(Load.PromptTokens);
  Query.Now = Now;
  const std::optional<route_choice> Choice =
      chooseEngine(Host.Table, Policy.Routing, Query, Choices);
  Request.Engine = Host.Table.Index.at(Choice->Engine);
  return {Choice->Engine, Request.Adapter};
}

void placement_model::route(const placement_request_pointer &Request) {
  if (Now - Request->Arrived >= Load.Patience) {
    if (Request->Measured)
      noteRefused(Statistics, Load.Patience);
    return;
  }
  const placement Placement = choosePlacement(*Request);
  if (beginCachedUse(Fleet.Hosts[Request->Host].Pins, Placement, Now))
    return pinned(Request);
  requestPinOf(Request, Placement);
}

/// Requests a pin from the owner of the chosen engine.
void placement_model::requestPinOf(const placement_request_pointer &Request,
                                   placement Placement) {
  placement_host &Host = Fleet.Hosts[Request->Host];
  const std::size_t OwnerHost = Fleet.ownerOf(Request->Engine);
  placement_host &Owner = Fleet.Hosts[OwnerHost];
  waiting_pin Waiting;
  Waiting.Placement = Placement;
  Waiting.Holder = Fleet.Holders[Request->Host];
  Waiting.Sequence = beginPinRequest(Host.Pins, Placement);
  Waiting.Since = Now;
  Waiting.Weight = 1 + toSeconds(Now - Request->Arrived);
  if (requestPin(Owner.Owner, Waiting, Now) == pin_verdict::Pinned) {
    endPinRequest(Host.Pins, Placement, true, 1, 1, Now);
    return pinned(Request);
  }
  Request->Stalled = true;
  const engine_index Engine = static_cast<engine_index>(Request->Engine);
  if (!presenceAt(Host.Table, Request->Adapter, Engine))
    setSite(Host.Table, Request->Adapter, Engine, adapter_presence::Requested);
  Owner.Waiters[Waiting.Ticket] = {Waiting, Request};
  at(Now + PinWaitLimit, [this, OwnerHost, Ticket = Waiting.Ticket] {
    endPinWait(OwnerHost, Ticket);
  });
}

/// Ends a wait for a pin that has taken too long and chooses an engine again.
void placement_model::endPinWait(std::size_t OwnerHost, std::uint64_t Ticket) {
  placement_host &Owner = Fleet.Hosts[OwnerHost];
  const auto Found = Owner.Waiters.find(Ticket);
  if (Found == Owner.Waiters.end())
    return;
  const auto [Waiting, Request] = Found->second;
  Owner.Waiters.erase(Found);
  cancelWaitingPin(Owner.Owner, Waiting);
  placement_host &Host = Fleet.Hosts[Request->Host];
  endPinRequest(Host.Pins, Waiting.Placement, false, 0, 1, Now);
  const engine_index Engine = static_cast<engine_index>(Request->Engine);
  if (presenceAt(Host.Table, Request->Adapter, Engine) ==
      adapter_presence::Requested)
    eraseSite(Host.Table, Request->Adapter, Engine);
  route(Request);
}

void placement_model::resolve(std::size_t OwnerHost,
                              const std::vector<pin_resolution> &Resolved) {
  placement_host &Owner = Fleet.Hosts[OwnerHost];
  for (const pin_resolution &Resolution : Resolved) {
    const auto Found = Owner.Waiters.find(Resolution.Ticket);
    if (Found == Owner.Waiters.end())
      continue;
    const auto [Waiting, Request] = Found->second;
    Owner.Waiters.erase(Found);
    const bool Granted = Resolution.Verdict == pin_verdict::Pinned;
    placement_host &Host = Fleet.Hosts[Request->Host];
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

void placement_model::pinned(const placement_request_pointer &Request) {
  Request->Pinned = Now;
  noteDispatch(Fleet.Hosts[Request->Host].Table.Engines[Request->Engine].Load,
               Now);
  placement_engine &Engine = Fleet.Engines[Request->Engine];
  if (Engine.Running < Load.BatchSize)
    return start(Request);
  Engine.Waiting.push_back(Request);
}

/// Adds the time since the engine's last change, as far as it is measured.
void placement_model::account(placement_engine &Engine) const {
  const double Passed =
      toSeconds(std::min(Now, End) - std::max(Engine.Changed, Begin));
  Engine.Changed = Now;
  if (Passed <= 0 || Engine.Running == 0)
    return;
  Engine.BusySeconds += Passed;
  Engine.BatchSeconds += Passed * Engine.Running;
}

void placement_model::start(const placement_request_pointer &Request) {
  placement_engine &Engine = Fleet.Engines[Request->Engine];
  account(Engine);
  ++Engine.Running;
  if (Request->Measured) {
    Statistics.Waits.push_back(toSeconds(Now - Request->Arrived));
    Statistics.Stalls.push_back(toSeconds(Request->Pinned - Request->Arrived));
    Statistics.StalledRequests += Request->Stalled ? 1 : 0;
    Statistics.CrossZone +=
        Fleet.zoneOfEngine(Request->Engine) != Fleet.zoneOfHost(Request->Host);
  }
  at(Now + Request->Service, [this, Request] { finish(Request); });
}

void placement_model::finish(const placement_request_pointer &Request) {
  placement_engine &Engine = Fleet.Engines[Request->Engine];
  placement_host &Host = Fleet.Hosts[Request->Host];
  account(Engine);
  --Engine.Running;
  noteFinish(Host.Table.Engines[Request->Engine].Load, Now - Request->Pinned,
             Now);
  endUse(Host.Pins, {placement_fleet::idOf(Request->Engine), Request->Adapter},
         Now);
  if (Engine.Waiting.empty())
    return;
  const placement_request_pointer Next = Engine.Waiting.front();
  Engine.Waiting.pop_front();
  start(Next);
}

/// Orders loads within the common budget.
void placement_model::plan() {
  static constexpr double MostLoadTokens = 2;
  LoadTokens = std::min(
      LoadTokens + Load.LoadsPerSecond * toSeconds(PlanPeriod), MostLoadTokens);
  // Owners take the budget in random order, as none has the others' queues.
  std::vector<std::size_t> Owners;
  for (std::size_t Zone = 0; Zone < Load.Zones; ++Zone)
    Owners.push_back(Zone * Load.HostsPerZone);
  std::ranges::shuffle(Owners, Choices);
  for (const std::size_t Owner : Owners)
    planFor(Owner);
}

void placement_model::planFor(std::size_t OwnerHost) {
  residency_owner &Owner = Fleet.Hosts[OwnerHost].Owner;
  const std::size_t Allowed =
      LoadTokens >= 1 && LoadsRunning < Load.LoadsInFlight ? 1 : 0;
  for (const residency_order &Order :
       planOrders(Owner, Fleet.Holders, Allowed, Now)) {
    LoadTokens -= 1;
    ++LoadsRunning;
    carryOut(OwnerHost, Order);
  }
  for (std::size_t Engine = 0; Engine < Fleet.Engines.size(); ++Engine)
    if (Fleet.ownerOf(Engine) == OwnerHost)
      resolve(OwnerHost,
              resolveLoaded(Owner, placement_fleet::idOf(Engine), Now));
}

void placement_model::carryOut(std::size_t Owner,
                               const residency_order &Order) {
  if (!Order.Victim)
    return load(Owner, Order);
  at(Now + UnloadTime, [this, Owner, Order] {
    if (endVictimUnload(Fleet.Hosts[Owner].Owner, Order, order_result::Done,
                        Now))
      load(Owner, Order);
    else
      --LoadsRunning;
  });
}

void placement_model::load(std::size_t Owner, const residency_order &Order) {
  at(Now + Load.LoadTime, [this, Owner, Order] {
    --LoadsRunning;
    if (Now >= Begin && Now < End)
      ++Statistics.Loads;
    resolve(Owner,
            endOrder(Fleet.Hosts[Owner].Owner, Order, order_result::Done, Now));
  });
}

/// Reports the engines to all hosts, where the reports arrive later.
void placement_model::report() {
  for (std::size_t Engine = 0; Engine < Fleet.Engines.size(); ++Engine)
    at(Now + Load.ReportLag, [this, Report = takeReport(Fleet, Engine, Now)] {
      for (placement_host &Host : Fleet.Hosts)
        applyReport(Host.Table, Report);
    });
}

void placement_model::scheduleAll() {
  if (Policy.HasTruePopularity) {
    placeBest(Fleet, Load, Popularity, Now);
    applyPopularity(Fleet, Load, Popularity, Now);
    every(PopularityPeriod,
          [this] { applyPopularity(Fleet, Load, Popularity, Now); });
  }
  arrive();
  if (Load.DriftPerHour > 0)
    drift();
  every(PlanPeriod, [this] { plan(); });
  every(ReportPeriod, [this] { report(); });
  every(SyncPeriod, [this] { syncAllPins(Fleet, Now); });
}

placement_result placement_model::run() {
  scheduleAll();
  // Every measured request has started or was refused by then.
  const time_point Last = End + Load.Patience - nanoseconds(1);
  while (const std::optional<timed_work> Next = Events.takeUntil(Last)) {
    Now = Next->Time;
    Next->Work();
  }
  for (const placement_engine &Engine : Fleet.Engines) {
    Statistics.BusySeconds += Engine.BusySeconds;
    Statistics.BatchSeconds += Engine.BatchSeconds;
  }
  return summarize(Statistics, Load);
}

} // namespace

placement_result runPlacement(const placement_load &Load,
                              const placement_policy &Policy) {
  return placement_model(Load, Policy).run();
}

} // namespace spindle
