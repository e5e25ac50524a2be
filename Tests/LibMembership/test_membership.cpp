#include "LibLog/log.h"
#include "simulated_fleet.h"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

/// Zones a, b, ... each with two engines; the second ignores fencing.
static snapshot_pointer
makeSnapshot(std::uint64_t Version, const std::vector<std::uint32_t> &Weights) {
  intent Intent;
  for (std::size_t Index = 0; Index < Weights.size(); ++Index) {
    const std::string Zone(1, static_cast<char>('a' + Index));
    Intent.Zones.push_back({Zone, "", Weights[Index]});
    for (int Number = 1; Number <= 2; ++Number) {
      upstream_declaration Engine;
      Engine.Name = Zone + "-engine-" + std::to_string(Number);
      Engine.Zone = Zone;
      Engine.Model = "m";
      Engine.HonoursFencing = Number == 1;
      Intent.Upstreams.push_back(Engine);
    }
  }
  return std::make_shared<const configuration_snapshot>(Version, Intent);
}

namespace {

/// Checks the invariants that must hold at every moment of any history.
class safety_checker {
public:
  safety_checker(simulated_fleet &Fleet, const configuration_snapshot &Of)
      : Fleet(Fleet) {
    for (const upstream_declaration &Engine : Of.upstreams())
      Engines.emplace_back(upstream_id::ofName(Engine.Name),
                           Engine.HonoursFencing);
  }

  void check() {
    std::uint64_t Sum = 0;
    for (const auto &P : Fleet.Processes)
      Sum += P->share();
    RC_ASSERT(Sum <= 1'000'000U);
    for (const auto &[Engine, HonoursFencing] : Engines)
      checkEngine(Engine, HonoursFencing);
  }

  std::uint64_t sum() const {
    std::uint64_t Sum = 0;
    for (const auto &P : Fleet.Processes)
      Sum += P->share();
    return Sum;
  }
  std::size_t actors(upstream_id Engine) const {
    std::size_t Count = 0;
    for (const auto &P : Fleet.Processes)
      Count += P->actsOn(Engine) ? 1 : 0;
    return Count;
  }

private:
  struct last_actor {
    simulated_process *Process = nullptr;
    std::uint64_t Ticks = 0;
    std::uint64_t Fence = 0;
  };

  void checkEngine(upstream_id Engine, bool HonoursFencing) {
    RC_ASSERT(actors(Engine) <= 1U);
    for (const auto &P : Fleet.Processes) {
      if (!P->actsOn(Engine))
        continue;
      last_actor &Last = LastActors[Engine];
      const std::uint64_t Fence = P->Agent->view()->Owners.at(Engine).Fence;
      if (Last.Process != nullptr && Last.Process != P.get()) {
        RC_ASSERT(Fence > Last.Fence);
        // If the engine ignores fencing, the platform must have reported that
        // the former owner is gone, or the former owner must have released the
        // engine itself.
        const bool IsGone = Last.Process->Ended || Last.Process->NameTaken;
        const bool GaveUp = Last.Process->Ticks > Last.Ticks;
        RC_ASSERT(HonoursFencing || IsGone || GaveUp);
      }
      Last = {P.get(), P->Ticks, Fence};
    }
  }

  simulated_fleet &Fleet;
  std::vector<std::pair<upstream_id, bool>> Engines;
  std::map<upstream_id, last_actor> LastActors;
};

enum class event {
  Pass,
  PassLong,
  Crash,
  CrashAndUnlist,
  Restart,
  ReplaceMachine,
  Pause,
  Resume,
  Disconnect,
  Reconnect,
  LoseResponse,
  DelayWrite,
  SlowResponse,
  LandWrites,
  Drain,
  NewWeights,
};

std::ostream &operator<<(std::ostream &Stream, event Event) {
  static const char *const Names[] = {
      "Pass",         "PassLong",       "Crash",        "CrashAndUnlist",
      "Restart",      "ReplaceMachine", "Pause",        "Resume",
      "Disconnect",   "Reconnect",      "LoseResponse", "DelayWrite",
      "SlowResponse", "LandWrites",     "Drain",        "NewWeights"};
  return Stream << Names[static_cast<int>(Event)];
}

/// Runs events on a simulated fleet and checks it.
class history {
public:
  history() : Fleet({{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"b1", "b"}}) {
    for (std::size_t Host = 0; Host < Fleet.Hosts.size(); ++Host)
      begin(Host, true);
  }

  void begin(std::size_t Host, bool SameBoot) {
    simulated_process &P = Fleet.start(Host, SameBoot);
    P.Agent->applyConfiguration(Snapshot);
  }

  void pass(int Steps) {
    for (int Step = 0; Step < Steps; ++Step)
      Fleet.step(milliseconds(500), [this] { Checker.check(); });
  }

  void run(event Event, std::size_t Host) {
    simulated_process &P = *Fleet.latestProcess(Host);
    switch (Event) {
    case event::Pass:
      return pass(6);
    case event::PassLong:
      return pass(40);
    case event::CrashAndUnlist:
      // The list no longer has a machine of this name, so none of its processes
      // may run again.
      for (const auto &Other : Fleet.Processes)
        Other->Ended = Other->Ended || Other->Host == P.Host;
      Fleet.unlist(Host);
      return;
    case event::Crash:
      P.Ended = true;
      return;
    case event::Restart:
      if (P.Ended)
        begin(Host, true);
      return;
    case event::ReplaceMachine:
      // The old process may be paused rather than ended.
      P.Paused = true;
      P.NameTaken = true;
      return begin(Host, false);
    case event::Pause:
      P.Paused = true;
      return;
    case event::Resume:
      P.Paused = false;
      return;
    case event::Disconnect:
      P.Disconnected = true;
      return;
    case event::Reconnect:
      P.Disconnected = false;
      return;
    case event::LoseResponse:
      P.LoseResponses += 1;
      return;
    case event::DelayWrite:
      P.DelayWrites += 1;
      return;
    case event::SlowResponse:
      P.SlowResponses += 1;
      return;
    case event::LandWrites:
      return land(P);
    case event::Drain:
      P.Agent->startDrain();
      return;
    case event::NewWeights:
      ++Version;
      Snapshot =
          makeSnapshot(Version, {Version % 3 + 1, (Version + 1) % 3 + 1});
      P.Agent->applyConfiguration(Snapshot);
      return;
    }
  }

  void land(simulated_process &P) {
    while (!P.Delayed.empty()) {
      P.Delayed.front()();
      P.Delayed.pop_front();
    }
    Checker.check();
  }

  /// Clears all faults; then all shares and engines must be assigned again.
  void recover() {
    for (const auto &P : Fleet.Processes) {
      P->Disconnected = P->Paused = false;
      P->LoseResponses = P->DelayWrites = P->SlowResponses = 0;
      land(*P);
    }
    for (std::size_t Host = 0; Host < Fleet.Hosts.size(); ++Host) {
      Fleet.latestProcess(Host)->Ended = true;
      begin(Host, true);
    }
    pass(320);
    RC_ASSERT(Checker.sum() >= 1'000'000U - 10U);
    for (const upstream_declaration &Engine : Snapshot->upstreams())
      RC_ASSERT(Checker.actors(upstream_id::ofName(Engine.Name)) == 1U);
  }

  simulated_fleet Fleet;
  std::uint32_t Version = 1;
  snapshot_pointer Snapshot = makeSnapshot(1, {1, 1});
  safety_checker Checker{Fleet, *Snapshot};
};

} // namespace

TEST_CASE("over any history no engine has two owners, the shares never "
          "exceed the total, and both recover") {
  startLogging({log_severity::Error, false});
  rc::prop(
      "crashes, pauses, disconnections, lost and late writes, replacements",
      [] {
        const auto Events =
            *rc::gen::container<std::vector<std::pair<event, std::size_t>>>(
                30,
                rc::gen::pair(rc::gen::weightedOneOf<event>(
                                  {{5, rc::gen::just(event::Pass)},
                                   {3, rc::gen::just(event::PassLong)},
                                   {8, rc::gen::map(rc::gen::inRange(2, 16),
                                                    [](int Number) {
                                                      return static_cast<event>(
                                                          Number);
                                                    })}}),
                              rc::gen::inRange<std::size_t>(0, 4)));
        history History;
        History.pass(20);
        for (const auto &[Event, Host] : Events) {
          History.run(Event, Host);
          History.pass(1);
        }
        History.recover();
      });
}

/// Runs hosts without intermediate checks.
static void pass(simulated_fleet &Fleet, int Seconds) {
  for (int Step = 0; Step < 4 * Seconds; ++Step)
    Fleet.step(milliseconds(250), [] {});
}

static simulated_process &begin(simulated_fleet &Fleet, std::size_t Host,
                                const snapshot_pointer &Snapshot) {
  simulated_process &P = Fleet.start(Host, true);
  P.Agent->applyConfiguration(Snapshot);
  return P;
}

TEST_CASE("a released share is not used again while the write that released "
          "it may still take effect") {
  startLogging({log_severity::Error, false});
  simulated_fleet Fleet({{"a1", "a"}, {"a2", "a"}});
  const snapshot_pointer Snapshot = makeSnapshot(1, {1});
  simulated_process &First = begin(Fleet, 0, Snapshot);
  pass(Fleet, 5);
  REQUIRE(First.share() == 1'000'000);
  First.DelayedKind = "zonetables";
  First.DelayWrites = 1'000;
  simulated_process &Second = begin(Fleet, 1, Snapshot);
  pass(Fleet, 8);
  REQUIRE(First.share() == 500'000);
  Second.Ended = true;
  Fleet.unlist(1);
  pass(Fleet, 20);
  First.Disconnected = true;
  First.Delayed.front()();
  begin(Fleet, 1, Snapshot);
  pass(Fleet, 8);
  CHECK(Fleet.latestProcess(1)->share() == 500'000);
  CHECK(First.share() == 500'000);
}

TEST_CASE("draining upstreams and hosts are known within 3 s without a watch") {
  startLogging({log_severity::Error, false});
  simulated_fleet Fleet({std::pair<std::string, std::string>("a1", "a")});
  simulated_process &Host = begin(Fleet, 0, makeSnapshot(1, {1}));
  pass(Fleet, 5);
  const platform_port Port = Fleet.Platform.port();
  Port.Create("machines", "a-engine-1",
              R"({"role":"upstream","state":"leaving"})");
  Port.Update("machines", "a1", Port.Get("machines", "a1")->Version,
              R"({"role":"host","state":"leaving"})");
  CHECK_FALSE(Host.Agent->drainRequested());
  pass(Fleet, 3);
  CHECK(Host.Agent->view()->DrainingUpstreams ==
        std::vector<upstream_id>{upstream_id::ofName("a-engine-1")});
  CHECK(Host.Agent->drainRequested());
  // The watch continues from the last read, without a full read.
  const std::size_t Reads = Fleet.Platform.reads();
  Port.Update("machines", "a1", Port.Get("machines", "a1")->Version,
              R"({"role":"host","state":"live"})");
  CHECK(Host.Agent->watchMachines(seconds(1)));
  CHECK_FALSE(Host.Agent->drainRequested());
  CHECK(Fleet.Platform.reads() == Reads + 2);
}

TEST_CASE("a host that the platform rate-limits does not call more often") {
  startLogging({log_severity::Error, false});
  simulated_fleet Fleet({std::pair<std::string, std::string>("a1", "a")});
  simulated_process &Host = begin(Fleet, 0, makeSnapshot(1, {1}));
  pass(Fleet, 30);
  const auto ReadsIn = [&Fleet](int Seconds) {
    const std::size_t Before = Fleet.Platform.reads();
    pass(Fleet, Seconds);
    return Fleet.Platform.reads() - Before;
  };
  const std::size_t Usual = ReadsIn(40);
  Host.RateLimited = true;
  // Intervals have a jitter of a tenth.
  CHECK(ReadsIn(40) <= Usual + Usual / 10);
  CHECK(Host.share() == 1'000'000);
  CHECK_FALSE(Host.actsOn(upstream_id::ofName("a-engine-1")));
  Host.RateLimited = false;
  pass(Fleet, 10);
  CHECK(Host.actsOn(upstream_id::ofName("a-engine-1")));
}

TEST_CASE("a drain hands over engines first, then the share, and other hosts "
          "of the zone take over both immediately") {
  startLogging({log_severity::Error, false});
  simulated_fleet Fleet({{"a1", "a"}, {"a2", "a"}});
  const snapshot_pointer Snapshot = makeSnapshot(1, {1});
  simulated_process &First = begin(Fleet, 0, Snapshot);
  simulated_process &Second = begin(Fleet, 1, Snapshot);
  pass(Fleet, 40);
  REQUIRE(First.share() == 500'000);
  First.Agent->startDrain();
  pass(Fleet, 10);
  CHECK(First.Agent->enginesReleased());
  CHECK(First.share() > 0);
  for (const char *Engine : {"a-engine-1", "a-engine-2"})
    CHECK(Second.actsOn(upstream_id::ofName(Engine)));
  First.Agent->finishDrain();
  pass(Fleet, 10);
  CHECK(First.Agent->drained());
  CHECK(First.share() == 0);
  CHECK(Second.share() == 1'000'000);
}

TEST_CASE("a share is no longer used when the write that releases it takes "
          "effect, even if the response is slow") {
  startLogging({log_severity::Error, false});
  simulated_fleet Fleet({{"a1", "a"}, {"a2", "a"}});
  const snapshot_pointer Snapshot = makeSnapshot(1, {1});
  simulated_process &First = begin(Fleet, 0, Snapshot);
  pass(Fleet, 5);
  REQUIRE(First.share() == 1'000'000);
  First.DelayedKind = "zonetables";
  First.SlowResponses = 1;
  simulated_process &Second = begin(Fleet, 1, Snapshot);
  std::uint32_t Most = 0;
  for (int Step = 0; Step < 40; ++Step)
    Fleet.step(milliseconds(250),
               [&] { Most = std::max(Most, First.share() + Second.share()); });
  CHECK(First.SlowResponses == 0);
  CHECK(Second.share() == 500'000);
  CHECK(Most <= 1'000'000);
}

TEST_CASE("a zone of 37 hosts stays within the platform's rate limits, also "
          "when all start at once and after an hour's outage") {
  startLogging({log_severity::Error, false});
  static constexpr std::size_t HostsInZone = 37;
  static constexpr std::size_t Zones = 10;
  std::vector<std::pair<std::string, std::string>> Hosts;
  for (std::size_t Host = 1; Host <= HostsInZone; ++Host)
    Hosts.emplace_back("a" + std::to_string(Host), "a");
  simulated_fleet Fleet(Hosts);
  const snapshot_pointer Snapshot =
      makeSnapshot(1, std::vector<std::uint32_t>(Zones, 1));
  for (std::size_t Host = 0; Host < HostsInZone; ++Host)
    begin(Fleet, Host, Snapshot);
  // The highest number of calls in any second, scaled to ten such zones.
  const auto Busiest = [&Fleet](int Seconds) {
    std::pair<std::size_t, std::size_t> Most;
    for (int Second = 0; Second < Seconds; ++Second) {
      const std::size_t Reads = Fleet.Platform.reads();
      const std::size_t Writes = Fleet.Platform.writes();
      pass(Fleet, 1);
      Most.first = std::max(Most.first, Fleet.Platform.reads() - Reads);
      Most.second = std::max(Most.second, Fleet.Platform.writes() - Writes);
    }
    return std::pair(Most.first * Zones, Most.second * Zones);
  };
  const auto Report = [](const char *When,
                         std::pair<std::size_t, std::size_t> Calls) {
    WARN(When << ": at most " << Calls.first << " reads and " << Calls.second
              << " writes a second for ten zones");
    CHECK(Calls.first < 2'000);
    CHECK(Calls.second < 500);
  };
  Report("all start at once", Busiest(10));
  Busiest(60);
  Report("steady", Busiest(20));
  Fleet.Platform.setFaults({true, 0, 0});
  for (int Minute = 0; Minute < 60; ++Minute)
    Fleet.step(seconds(60), [] {});
  Fleet.Platform.setFaults({});
  Report("after an hour's outage", Busiest(20));
}
