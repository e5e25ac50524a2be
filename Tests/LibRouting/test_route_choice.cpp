#include "LibRouting/route_choice.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static constexpr time_point Now{seconds(1'000)};
static constexpr adapter_id Adapter{42};

static routing_table tableOf(std::size_t Engines) {
  routing_table Table;
  model_engines &Model = Table.Models["base"];
  for (std::size_t Index = 0; Index < Engines; ++Index) {
    routed_engine Engine;
    Engine.Id = {Index + 1};
    Engine.Load.BatchSize = 4;
    Table.Index[Engine.Id] = static_cast<engine_index>(Index);
    Table.Engines.push_back(Engine);
    Model.Engines.push_back(static_cast<engine_index>(Index));
  }
  const std::vector<std::uint32_t> Slots(Engines, 8);
  rankEngines(Table, Model, Slots);
  return Table;
}

static route_query queryFor(std::span<const upstream_id> Avoid = {}) {
  route_query Query;
  Query.Model = "base";
  Query.Adapter = Adapter;
  Query.Avoid = Avoid;
  Query.Now = Now;
  return Query;
}

TEST_CASE("only eligible engines are chosen, and one is found if any exists") {
  rc::prop("under every policy", [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    routing_table Table = tableOf(1 + Random() % 40);
    std::vector<upstream_id> Avoid;
    bool AnyAllowed = false;
    for (routed_engine &Engine : Table.Engines) {
      Engine.Draining = Random() % 3 == 0;
      Engine.Health = Random() % 3 == 0 ? 0 : 1;
      if (Random() % 3 == 0)
        Avoid.push_back(Engine.Id);
      if (Random() % 4 == 0)
        setSite(Table, Adapter, Table.Index[Engine.Id],
                static_cast<adapter_presence>(Random() % 3));
      AnyAllowed = AnyAllowed || (!Engine.Draining && Engine.Health > 0 &&
                                  (Avoid.empty() || Avoid.back() != Engine.Id));
    }
    for (const routing_policy Policy :
         {routing_policy::Residency, routing_policy::LeastLoaded,
          routing_policy::Random, routing_policy::ConsistentHash}) {
      const std::optional<route_choice> Choice =
          chooseEngine(Table, Policy, queryFor(Avoid), Random);
      RC_ASSERT(Choice.has_value() == AnyAllowed);
      if (!Choice)
        continue;
      const routed_engine &Chosen =
          Table.Engines[Table.Index.at(Choice->Engine)];
      RC_ASSERT(!Chosen.Draining);
      RC_ASSERT(Chosen.Health > 0);
      RC_ASSERT(std::ranges::find(Avoid, Chosen.Id) == Avoid.end());
    }
  });
}

TEST_CASE("a request waits for a resident engine until a load costs less") {
  routing_table Table = tableOf(9);
  std::mt19937_64 Random(1);
  // The adapter is resident at an engine that its hash does not rank first.
  const std::span<const engine_index> Preferred =
      preferredEngines(Table.Models["base"], Adapter);
  engine_index ResidentEngine = 0;
  while (std::ranges::find(Preferred, ResidentEngine) != Preferred.end())
    ++ResidentEngine;
  setSite(Table, Adapter, ResidentEngine, adapter_presence::Resident);
  engine_load &Load = Table.Engines[ResidentEngine].Load;
  Load.ServiceMilliseconds = 400;
  // Each queued request adds a wait of 100 ms; a load takes 250 ms.
  for (std::uint32_t Requests = 0; Requests < 12; ++Requests) {
    Load.Reported = Requests;
    const std::optional<route_choice> Choice =
        chooseEngine(Table, routing_policy::Residency, queryFor(), Random);
    REQUIRE(Choice->Resident == (Requests < 6));
  }
  // Scarce loads make a longer wait worthwhile.
  for (routed_engine &Engine : Table.Engines)
    Engine.LoadWaitMilliseconds = 2'000;
  REQUIRE(chooseEngine(Table, routing_policy::Residency, queryFor(), Random)
              ->Resident);
}

TEST_CASE("a cached prefix and the distance decide between equal engines") {
  routing_table Table = tableOf(4);
  std::mt19937_64 Random(1);
  for (engine_index Engine = 0; Engine < 4; ++Engine) {
    setSite(Table, Adapter, Engine, adapter_presence::Resident);
    Table.Engines[Engine].DistanceMilliseconds = Engine == 2 ? 0 : 3;
  }
  route_query Query = queryFor();
  Query.PrefixHash = 99;
  Query.PromptTokens = 1'000;
  REQUIRE(
      chooseEngine(Table, routing_policy::Residency, Query, Random)->Engine ==
      Table.Engines[2].Id);
  notePrefix(Table.Prefixes, 99, 1, Now);
  REQUIRE(
      chooseEngine(Table, routing_policy::Residency, Query, Random)->Engine ==
      Table.Engines[1].Id);
  // An entry expires unless a use or an event renews it.
  Query.Now = Now + Table.Prefixes.Lifetime;
  REQUIRE(
      chooseEngine(Table, routing_policy::Residency, Query, Random)->Engine ==
      Table.Engines[2].Id);
}

TEST_CASE("a lagging report is corrected by this host's own requests") {
  engine_load Load;
  time_point Time = Now;
  for (int Index = 0; Index < 6; ++Index, Time += milliseconds(200))
    noteDispatch(Load, Time);
  // Made after two of the six requests were sent; the other five requests in
  // it came from other hosts.
  noteReport(Load, 7, 0, Now + milliseconds(300));
  REQUIRE(correctedLoad(Load) == 11);
  noteFinish(Load, seconds(1), Time);
  REQUIRE(correctedLoad(Load) == 10);
  noteReport(Load, 0, 0, Time + milliseconds(1));
  REQUIRE(correctedLoad(Load) == 5);
}

TEST_CASE("removing an engine moves only the adapters that preferred it") {
  routing_table Table = tableOf(20);
  model_engines Fewer = Table.Models["base"];
  Fewer.Engines.pop_back();
  const std::vector<std::uint32_t> Slots(19, 8);
  rankEngines(Table, Fewer, Slots);
  const model_engines &All = Table.Models["base"];
  std::map<engine_index, int> Share;
  for (std::size_t Bucket = 0; Bucket < model_engines::Buckets; ++Bucket) {
    const engine_index First = All.Preferred[Bucket][0];
    ++Share[First];
    REQUIRE(Fewer.Preferred[Bucket][0] ==
            (First == 19 ? All.Preferred[Bucket][1] : First));
  }
  for (const auto &[Engine, Count] : Share)
    REQUIRE(std::abs(Count - 4'096 / 20) < 70);
}
