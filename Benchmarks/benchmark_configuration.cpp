// Measures a host's configuration at 1, 10 and 100% of the designed size of
// 62,000 adapter versions and 1,100 engines.

#include "LibConfiguration/configuration_codec.h"
#include "LibConfiguration/configuration_snapshot.h"
#include "LibConfiguration/key_decision.h"
#include "LibCore/digest.h"
#include "LibPlatform/platform_port.h"

#include <algorithm>

#include <benchmark/benchmark.h>

using namespace spindle;

static constexpr std::int64_t DesignedAdapters = 62'000;

static intent makeIntent(std::int64_t Adapters) {
  intent Intent;
  Intent.Zones = {{"zone-a", "region", 1}};
  for (int Number = 1; Number <= 50; ++Number)
    Intent.Customers.push_back(
        {"customer-" + std::to_string(Number), {100}, {1000}});
  for (int Number = 1; Number <= 1'000; ++Number) {
    const std::string Name = "key-" + std::to_string(Number);
    Intent.Keys.push_back(
        {Name, "customer-" + std::to_string(Number % 50 + 1), sha256Hex(Name)});
  }
  for (std::int64_t Number = 1; Number <= Adapters / 2; ++Number) {
    const std::string Name = "customer-adapter-" + std::to_string(Number);
    const std::string Customer = "customer-" + std::to_string(Number % 50 + 1);
    const std::string Model = "model-" + std::to_string(Number % 7);
    Intent.Adapters.push_back({Name, "1", Model, Customer, false});
    Intent.Adapters.push_back({Name, "2", Model, Customer, true});
  }
  const std::int64_t Engines =
      std::max<std::int64_t>(7, Adapters * 1'100 / DesignedAdapters);
  for (std::int64_t Number = 0; Number < Engines; ++Number) {
    upstream_declaration Engine;
    Engine.Name = "engine-" + std::to_string(Number);
    Engine.Zone = "zone-a";
    Engine.Model = "model-" + std::to_string(Number % 7);
    Engine.Address = {"127.0.0.1", static_cast<std::uint16_t>(Number + 1)};
    Intent.Upstreams.push_back(Engine);
  }
  return Intent;
}

/// Finds one adapter by "name@version".
static void findAdapter(benchmark::State &State) {
  const configuration_snapshot Snapshot(1, makeIntent(State.range(0)));
  std::int64_t Number = 0;
  for (auto Iteration : State) {
    Number = Number % (State.range(0) / 2) + 1;
    benchmark::DoNotOptimize(Snapshot.findAdapter(
        "customer-adapter-" + std::to_string(Number) + "@2"));
  }
  State.counters["bytes/adapter"] =
      static_cast<double>(Snapshot.adapterTableBytes()) /
      static_cast<double>(Snapshot.adapterCount());
  State.counters["table MB"] =
      static_cast<double>(Snapshot.adapterTableBytes()) / 1e6;
}

/// Decides on a key by its digest; the digest is computed as well.
static void decideOnKey(benchmark::State &State) {
  const configuration_snapshot Snapshot(1, makeIntent(State.range(0)));
  const time_point Now = boot_clock::now();
  for (auto Iteration : State)
    benchmark::DoNotOptimize(
        decideKey(Snapshot, sha256Hex("key-500"), Now, Now));
}

/// Reads, checks and indexes a whole configuration, as after each change.
static void applyConfiguration(benchmark::State &State) {
  const encoded_intent Encoded = encodeIntent(makeIntent(State.range(0)));
  std::size_t Bytes = 0;
  std::size_t Largest = 0;
  for (const auto &[Digest, Text] : Encoded.Parts) {
    Bytes += Text.size();
    Largest = std::max(Largest, writePartBody(Text).size());
  }
  const part_source Source = [&Encoded](const std::string &Digest) {
    return Encoded.Parts.at(Digest);
  };
  for (auto Iteration : State)
    benchmark::DoNotOptimize(std::make_shared<const configuration_snapshot>(
        1, decodeIntent(Encoded.Index, Source)));
  State.counters["parts"] = static_cast<double>(Encoded.Parts.size());
  State.counters["MB"] = static_cast<double>(Bytes) / 1e6;
  State.counters["largest part KB"] = static_cast<double>(Largest) / 1e3;
}

BENCHMARK(findAdapter)->Arg(620)->Arg(6'200)->Arg(DesignedAdapters);
BENCHMARK(decideOnKey)->Arg(DesignedAdapters);
BENCHMARK(applyConfiguration)
    ->Arg(620)
    ->Arg(6'200)
    ->Arg(DesignedAdapters)
    ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
