#include "LibResidency/pin_cache.h"
#include "LibResidency/residency_owner.h"

#include <random>

#include <benchmark/benchmark.h>

using namespace spindle;

/// Adapters that one owner may be requested for at the designed size.
static constexpr std::size_t FullAdapters = 62'000;
static constexpr std::size_t EnginesPerOwner = 3;
static constexpr std::uint32_t SlotsPerEngine = 32;
static constexpr pin_holder Holder{{1}, 1};

static adapter_id adapterAt(std::size_t Index) {
  return {(Index + 1) * 0x9e3779b97f4a7c15};
}

/// An owner of full engines, requested for \p Percent of all adapters.
static residency_owner makeOwner(std::int64_t Percent, time_point Now) {
  residency_owner Owner;
  Owner.ValidUntil = time_point::max();
  for (std::size_t Index = 0; Index < EnginesPerOwner; ++Index) {
    const upstream_id Id{Index + 1};
    engine_slots &Engine = Owner.Engines[Id];
    Engine.Engine = Id;
    takeOver(Engine, 1, Now - seconds(10));
    slot_report Report{1, SlotsPerEngine, 1, {}, {}, Now};
    for (std::size_t Slot = 0; Slot < SlotsPerEngine; ++Slot)
      Report.Loaded.push_back(adapterAt(Slot));
    applyReport(Engine, Report, Now);
    syncPins(Engine, Holder, 1, {}, Now);
  }
  for (std::size_t Index = 0; Index < FullAdapters * Percent / 100; ++Index)
    noteDemand(Owner.Uses, adapterAt(Index), 1, Now);
  return Owner;
}

static void pinLoaded(benchmark::State &State) {
  time_point Now{seconds(1'000)};
  residency_owner Owner = makeOwner(State.range(0), Now);
  std::uint64_t Sequence = 1;
  for (auto Step : State) {
    waiting_pin Request;
    Request.Placement = {{1 + Sequence % EnginesPerOwner},
                         adapterAt(Sequence % SlotsPerEngine)};
    Request.Holder = Holder;
    Request.Sequence = ++Sequence;
    benchmark::DoNotOptimize(requestPin(Owner, Request, Now));
  }
}
BENCHMARK(pinLoaded)->Arg(1)->Arg(10)->Arg(100);

static void useCachedPin(benchmark::State &State) {
  const time_point Now{seconds(1'000)};
  pin_cache Pins;
  const std::size_t Count = FullAdapters * State.range(0) / 100 / 100;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const placement Placement{{1 + Index % 1'100}, adapterAt(Index)};
    beginPinRequest(Pins, Placement);
    endPinRequest(Pins, Placement, true, 1, 1, Now);
    endUse(Pins, Placement, Now);
  }
  std::size_t Next = 0;
  for (auto Step : State) {
    Next = (Next + 7) % Count;
    const placement Placement{{1 + Next % 1'100}, adapterAt(Next)};
    benchmark::DoNotOptimize(beginCachedUse(Pins, Placement, Now));
    endUse(Pins, Placement, Now);
  }
}
BENCHMARK(useCachedPin)->Arg(1)->Arg(10)->Arg(100);

/// One pass over the waiting loads of an owner with \p State.range(0) of them.
static void planAmongWaiting(benchmark::State &State) {
  time_point Now{seconds(1'000)};
  residency_owner Owner = makeOwner(1, Now);
  const std::vector<pin_holder> Holders{Holder};
  for (std::int64_t Index = 0; Index < State.range(0); ++Index) {
    waiting_pin Request;
    Request.Placement = {
        {1 + static_cast<std::uint64_t>(Index) % EnginesPerOwner},
        adapterAt(1'000 + Index)};
    Request.Holder = Holder;
    Request.Sequence = 2 + static_cast<std::uint64_t>(Index);
    Request.Since = Now;
    requestPin(Owner, Request, Now);
  }
  for (auto Step : State)
    benchmark::DoNotOptimize(planOrders(Owner, Holders, 0, Now));
}
BENCHMARK(planAmongWaiting)->Arg(1)->Arg(10)->Arg(100);

static void demandTableBytes(benchmark::State &State) {
  const residency_owner Owner =
      makeOwner(State.range(0), time_point(seconds(1'000)));
  // A node of the map holds its key, the count, and a pointer.
  constexpr std::size_t NodeBytes =
      sizeof(adapter_id) + sizeof(demand_count) + 16;
  const double Bytes =
      static_cast<double>(Owner.Uses.Counts.size() * NodeBytes +
                          Owner.Uses.Counts.bucket_count() * 8);
  for (auto Step : State)
    benchmark::DoNotOptimize(Owner.Uses.Counts.size());
  State.counters["bytes"] = Bytes;
}
BENCHMARK(demandTableBytes)->Arg(1)->Arg(10)->Arg(100);

BENCHMARK_MAIN();
