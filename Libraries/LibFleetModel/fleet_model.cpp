#include "LibFleetModel/fleet_model.h"

#include "LibFleetModel/host_group.h"
#include "LibFleetModel/request_flow.h"
#include "LibLoad/event_queue.h"

#include <algorithm>

namespace spindle {

namespace {

constexpr milliseconds ExchangePause{250};
constexpr milliseconds RegistrationPause{500};
/// The part of an engine's memory that a host expects to hold its prompts.
constexpr double OwnPartOfCache = 0.5;

/// One run: the event loop and all that it drives.
class fleet_model {
public:
  fleet_model(const model_settings &Settings, const model_pattern &Pattern,
              const model_policy &Policy);
  model_result run();

private:
  void at(time_point Time, std::function<void()> Work);
  model_timer timer();
  void build();
  void scheduleAll();
  void schedulePhase(const model_phase &Phase);
  time_point endOfRun() const;
  void exchange();
  void registerEngines();
  void removeEngines(double Share);

  const model_settings &Settings;
  const model_pattern &Pattern;
  const model_policy &Policy;
  const model_fleet &Fleet;
  runtime_clock Clock;
  const time_point Begin;
  event_queue Events;
  request_source Source;
  run_statistics Statistics;
  weight_store_model Store;
  std::vector<std::unique_ptr<zone_model>> Zones;
  host_group Hosts;
  engine_group Engines;
  request_flow Flow;
};

/// Pauses the clock and returns its time.
time_point pauseNow(runtime_clock &Clock) {
  Clock.pause();
  return Clock.now();
}

fleet_model::fleet_model(const model_settings &Settings,
                         const model_pattern &Pattern,
                         const model_policy &Policy)
    : Settings(Settings), Pattern(Pattern), Policy(Policy),
      Fleet(Settings.Fleet), Begin(pauseNow(Clock)),
      Source(Settings, Pattern, Begin),
      Statistics(Settings, Begin, Pattern.Seconds), Hosts(Clock),
      Engines(Fleet, Clock, timer(),
              [this](std::size_t Engine, const engine_events &Step) {
                Flow.endStep(Engine, Step);
              }),
      Flow({Settings, Policy, Clock, timer(), Source, Statistics, Zones, Hosts,
            Engines}) {
  build();
}

void fleet_model::at(time_point Time, std::function<void()> Work) {
  Events.add(std::max(Time, Clock.now()), std::move(Work));
}

model_timer fleet_model::timer() {
  return [this](time_point Time, std::function<void()> Work) {
    at(Time, std::move(Work));
  };
}

void fleet_model::build() {
  const std::int64_t CacheTokens = static_cast<std::int64_t>(
      static_cast<double>(Fleet.MemoryTokens) * OwnPartOfCache);
  for (std::size_t Zone = 0; Zone < Fleet.Zones; ++Zone) {
    Zones.push_back(std::make_unique<zone_model>(Fleet, Clock, Store, timer()));
    for (std::uint32_t Host = 0; Host < Fleet.HostsPerZone; ++Host)
      Hosts.add(Zone, Policy.Rank, CacheTokens);
    for (std::uint32_t Engine = 0; Engine < Fleet.EnginesPerZone; ++Engine)
      Zones.back()->addEngine(Engines.add(Zone));
  }
  registerEngines();
}

void fleet_model::exchange() {
  Hosts.exchangeLoads();
  Hosts.exchangeSlots(Zones);
  at(Clock.now() + ExchangePause, [this] { exchange(); });
}

void fleet_model::registerEngines() {
  Hosts.applyEngines(Engines, Zones, Fleet.BatchSlots);
}

void fleet_model::removeEngines(double Share) {
  Engines.remove(
      Share, [this](std::size_t Index, std::span<const std::uint64_t> Lost) {
        const engine_group::member &Engine = Engines.at(Index);
        Zones[Engine.Zone]->clearEngine(Engine.Id);
        Flow.failLost(Lost);
      });
}

void fleet_model::schedulePhase(const model_phase &Phase) {
  if (Phase.EnginesGone <= 0)
    return;
  const double EndSeconds = Phase.AtSeconds + Phase.ForSeconds;
  at(Begin + fromMilliseconds(Phase.AtSeconds * 1'000),
     [this, Share = Phase.EnginesGone] { removeEngines(Share); });
  at(Begin + fromMilliseconds(EndSeconds * 1'000),
     [this] { Engines.restore(); });
}

void fleet_model::scheduleAll() {
  at(Begin, [this] { exchange(); });
  const int Registrations = static_cast<int>(Pattern.Seconds * 2) + 60;
  for (int Count = 1; Count < Registrations; ++Count)
    at(Begin + RegistrationPause * Count, [this] { registerEngines(); });
  for (const model_phase &Phase : Pattern.Phases)
    schedulePhase(Phase);
  Source.drawArrivals([this](time_point Time, std::size_t Kind) {
    at(Time, [this, Kind] { Flow.arrive(Kind); });
  });
}

/// A time by which every request has ended.
time_point fleet_model::endOfRun() const {
  milliseconds Longest{0};
  for (const model_kind &Kind : Settings.Kinds)
    Longest = std::max(Longest, Kind.Deadline);
  return Begin + fromMilliseconds(Pattern.Seconds * 1'000) + Longest +
         seconds(1);
}

model_result fleet_model::run() {
  scheduleAll();
  const time_point End = endOfRun();
  while (const std::optional<timed_work> Next = Events.takeUntil(End)) {
    Clock.advance(Next->Time - Clock.now());
    Next->Work();
  }
  std::int64_t TokensPrefilled = 0;
  std::uint64_t Preemptions = 0;
  for (const engine_group::member &Engine : Engines.all()) {
    TokensPrefilled += Engine.Engine->tokensPrefilled();
    Preemptions += Engine.Engine->preemptions();
  }
  model_result Result = Statistics.summarize(TokensPrefilled);
  Result.Fetches = Store.Fetches;
  Result.CopiesLoaded = Store.CopiesLoaded;
  Result.Preemptions = Preemptions;
  return Result;
}

} // namespace

model_result runFleetModel(const model_settings &Settings,
                           const model_pattern &Pattern,
                           const model_policy &Policy) {
  return fleet_model(Settings, Pattern, Policy).run();
}

} // namespace spindle
