#include "LibRouting/route_choice.h"

#include <string>

#include <benchmark/benchmark.h>

using namespace spindle;

/// The designed size.
static constexpr std::size_t FullEngines = 1'100;
static constexpr std::size_t FullAdapters = 62'000;
static constexpr std::size_t Models = 7;
static constexpr std::size_t SlotsPerEngine = 32;
static constexpr time_point Now{seconds(1'000)};

namespace {

struct routing_fleet {
  routing_table Table;
  std::vector<adapter_id> Adapters;
  std::mt19937_64 Random{1};
};

} // namespace

static std::string modelName(std::size_t Index) {
  return "model-" + std::to_string(Index);
}

/// A fleet of \p Percent of the full size with every slot in use.
static routing_fleet makeFleet(std::int64_t Percent) {
  routing_fleet Fleet;
  const std::size_t Engines =
      std::max<std::size_t>(Models, FullEngines * Percent / 100);
  for (std::size_t Index = 0; Index < Engines; ++Index) {
    routed_engine Engine;
    Engine.Id = upstream_id::ofName("engine-" + std::to_string(Index));
    Engine.Load.Reported = static_cast<std::uint32_t>(Index % 20);
    Fleet.Table.Index[Engine.Id] = static_cast<engine_index>(Index);
    Fleet.Table.Engines.push_back(Engine);
    Fleet.Table.Models[modelName(Index % Models)].Engines.push_back(
        static_cast<engine_index>(Index));
  }
  for (auto &[Name, Model] : Fleet.Table.Models) {
    const std::vector<std::uint32_t> Slots(Model.Engines.size(),
                                           SlotsPerEngine);
    rankEngines(Fleet.Table, Model, Slots);
  }
  for (std::size_t Index = 0; Index < FullAdapters * Percent / 100; ++Index)
    Fleet.Adapters.push_back(
        adapter_id::ofName("adapter-" + std::to_string(Index) + "@1"));
  for (std::size_t Slot = 0; Slot < Engines * SlotsPerEngine; ++Slot) {
    const std::size_t Index = Fleet.Random() % Fleet.Adapters.size();
    const std::size_t Engine =
        (Slot / Models * Models + Index % Models) % Engines;
    setSite(Fleet.Table, Fleet.Adapters[Index],
            static_cast<engine_index>(Engine), adapter_presence::Resident);
  }
  return Fleet;
}

static void chooseAtSize(benchmark::State &State) {
  routing_fleet Fleet = makeFleet(State.range(0));
  std::size_t Next = 0;
  for (auto Step : State) {
    Next = (Next + 7'919) % Fleet.Adapters.size();
    const std::string Model = modelName(Next % Models);
    route_query Query;
    Query.Model = Model;
    Query.Adapter = Fleet.Adapters[Next];
    Query.PrefixHash = Next + 1;
    Query.PromptTokens = 500;
    Query.Now = Now;
    benchmark::DoNotOptimize(chooseEngine(
        Fleet.Table, routing_policy::Residency, Query, Fleet.Random));
  }
}
BENCHMARK(chooseAtSize)->Arg(1)->Arg(10)->Arg(100);

static void takeLoadReport(benchmark::State &State) {
  routing_fleet Fleet = makeFleet(State.range(0));
  time_point Time = Now;
  std::size_t Next = 0;
  for (auto Step : State) {
    Next = (Next + 7) % Fleet.Table.Engines.size();
    Time += milliseconds(1);
    noteReport(Fleet.Table.Engines[Next].Load, 3, 1, Time);
  }
}
BENCHMARK(takeLoadReport)->Arg(1)->Arg(10)->Arg(100);

/// The memory of the table, computed from its parts.
static void tableBytes(benchmark::State &State) {
  const routing_fleet Fleet = makeFleet(State.range(0));
  double Bytes = static_cast<double>(
      Fleet.Table.Engines.capacity() * sizeof(routed_engine) +
      Fleet.Table.Prefixes.Sites.size() * sizeof(prefix_site) *
          prefix_table::Ways);
  for (const auto &[Name, Model] : Fleet.Table.Models)
    Bytes += static_cast<double>(Model.Preferred.size() *
                                 sizeof(Model.Preferred.front()));
  // A node of the map holds its key, the vector, the hash and a pointer.
  constexpr std::size_t NodeBytes =
      sizeof(adapter_id) + sizeof(std::vector<adapter_site>) + 16;
  Bytes += static_cast<double>(Fleet.Table.Sites.bucket_count() * 8);
  for (const auto &[Adapter, Sites] : Fleet.Table.Sites)
    Bytes += static_cast<double>(NodeBytes +
                                 Sites.capacity() * sizeof(adapter_site));
  for (auto Step : State)
    benchmark::DoNotOptimize(Bytes);
  State.counters["bytes"] = Bytes;
}
BENCHMARK(tableBytes)->Arg(1)->Arg(10)->Arg(100);

static void rankOneModel(benchmark::State &State) {
  routing_fleet Fleet = makeFleet(State.range(0));
  model_engines &Model = Fleet.Table.Models.begin()->second;
  const std::vector<std::uint32_t> Slots(Model.Engines.size(), SlotsPerEngine);
  for (auto Step : State)
    rankEngines(Fleet.Table, Model, Slots);
}
BENCHMARK(rankOneModel)
    ->Arg(1)
    ->Arg(10)
    ->Arg(100)
    ->Unit(benchmark::kMillisecond);

BENCHMARK_MAIN();
