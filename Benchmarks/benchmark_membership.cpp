// Measures what membership costs a host: processor time of a tick, and calls
// and bytes to the platform, with 1, 10 and 37 hosts in its zone.

#include "LibCore/result_code.h"
#include "LibHost/membership_agent.h"
#include "LibLog/log.h"
#include "LibPlatform/platform_port.h"
#include "Support/fake_platform.h"

#include <ctime>
#include <memory>
#include <vector>

#include <benchmark/benchmark.h>

using namespace spindle;

static constexpr int SimulatedSeconds = 120;
static constexpr int TicksPerSecond = 4;
static constexpr int Zones = 10;
static constexpr int EnginesPerZone = 110;

static snapshot_pointer makeSnapshot() {
  intent Intent;
  for (int Zone = 0; Zone < Zones; ++Zone) {
    const std::string Name = "zone-" + std::to_string(Zone);
    Intent.Zones.push_back({Name, "", 1});
    for (int Number = 0; Number < EnginesPerZone; ++Number) {
      upstream_declaration Engine;
      Engine.Name = Name + "-engine-" + std::to_string(Number);
      Engine.Zone = Name;
      Engine.Model = "model";
      Intent.Upstreams.push_back(Engine);
    }
  }
  return std::make_shared<const configuration_snapshot>(1, Intent);
}

namespace {

/// Counts the bytes of what is read and written.
platform_port countBytes(platform_port Port, std::size_t &Bytes) {
  platform_port Counting = Port;
  Counting.Get = [Port, &Bytes](std::string_view Kind, std::string_view Name) {
    std::optional<platform_object> Object = Port.Get(Kind, Name);
    Bytes += Object ? Object->Body.size() : 0;
    return Object;
  };
  Counting.List = [Port, &Bytes](std::string_view Kind) {
    platform_list List = Port.List(Kind);
    for (const platform_object &Object : List.Objects)
      Bytes += Object.Body.size();
    return List;
  };
  Counting.Update = [Port, &Bytes](std::string_view Kind, std::string_view Name,
                                   std::uint64_t Version,
                                   std::string_view Body) {
    Bytes += Body.size();
    return Port.Update(Kind, Name, Version, Body);
  };
  return Counting;
}

double processorSeconds() {
  timespec Spec{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Spec);
  return static_cast<double>(Spec.tv_sec) +
         static_cast<double>(Spec.tv_nsec) / 1e9;
}

} // namespace

static void runZone(benchmark::State &State) {
  startLogging({log_severity::Error, false});
  const auto Hosts = static_cast<std::size_t>(State.range(0));
  const snapshot_pointer Snapshot = makeSnapshot();
  for (auto Iteration : State) {
    runtime_clock Clock;
    Clock.pause();
    fake_platform Platform;
    std::size_t Bytes = 0;
    std::vector<std::unique_ptr<membership_agent>> Agents;
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      membership_settings Settings;
      Settings.Name = "host-" + std::to_string(Host);
      Settings.Zone = "zone-0";
      Settings.Link = {"127.0.0.1", static_cast<std::uint16_t>(Host + 1)};
      Settings.Incarnation = Host + 1;
      Settings.Seed = Host + 1;
      Agents.push_back(std::make_unique<membership_agent>(
          Clock, countBytes(Platform.port(), Bytes), Settings));
      Agents.back()->applyConfiguration(Snapshot);
    }
    const auto Pass = [&](int Seconds) {
      for (int Tick = 0; Tick < Seconds * TicksPerSecond; ++Tick) {
        Clock.advance(milliseconds(1'000) / TicksPerSecond);
        for (const auto &Agent : Agents)
          Agent->tick();
      }
    };
    Pass(60);
    Bytes = 0;
    const std::size_t Reads = Platform.reads();
    const std::size_t Writes = Platform.writes();
    const double Before = processorSeconds();
    Pass(SimulatedSeconds);
    const double HostSeconds = SimulatedSeconds * static_cast<double>(Hosts);
    State.counters["% of a core/host"] =
        100 * (processorSeconds() - Before) / HostSeconds;
    State.counters["bytes/s/host"] = static_cast<double>(Bytes) / HostSeconds;
    State.counters["reads/s/host"] =
        static_cast<double>(Platform.reads() - Reads) / HostSeconds;
    State.counters["writes/s/host"] =
        static_cast<double>(Platform.writes() - Writes) / HostSeconds;
  }
}

BENCHMARK(runZone)->Arg(1)->Arg(10)->Arg(37)->Iterations(1)->Unit(
    benchmark::kMillisecond);

BENCHMARK_MAIN();
