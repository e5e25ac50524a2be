#include "LibGateway/prompt_cache_estimate.h"
#include "LibGateway/upstream_choice.h"

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

upstream_candidate engine(adapter_need Adapter, std::int64_t Unread) {
  upstream_candidate Candidate;
  Candidate.InOwnZone = true;
  Candidate.Adapter = Adapter;
  Candidate.UnreadTokens = Unread;
  return Candidate;
}

choice_request longPrompt() {
  choice_request Request;
  Request.PromptTokens = 9'000;
  Request.Bytes = 20'000;
  return Request;
}

std::size_t chosen(const std::vector<upstream_candidate> &Candidates) {
  return chooseUpstream(Candidates, longPrompt(), choice_costs{})->Index;
}

} // namespace

TEST_CASE("a loaded adapter is worth a wait within the latency objective") {
  REQUIRE(chosen({engine(adapter_need::Absent, 0),
                  engine(adapter_need::Loaded, 10'000)}) == 1);
}

TEST_CASE("an adapter is loaded on another engine once its own would be late") {
  REQUIRE(chosen({engine(adapter_need::Absent, 0),
                  engine(adapter_need::Loaded, 60'000)}) == 0);
}

TEST_CASE("an absent adapter is loaded on its affinity engine in any zone") {
  upstream_candidate Preferred = engine(adapter_need::Absent, 0);
  Preferred.IsAffinityEngine = true;
  Preferred.InOwnZone = false;
  REQUIRE(chosen({engine(adapter_need::Absent, 0), Preferred}) == 1);
}

TEST_CASE("an engine with the prompt cached is preferred to an idle one") {
  upstream_candidate Warm = engine(adapter_need::Loaded, 4'000);
  Warm.CachedTokens = 6'000;
  REQUIRE(chosen({engine(adapter_need::Loaded, 0), Warm}) == 1);
}

TEST_CASE("an unhealthy upstream is avoided, and one of health 0 unused") {
  upstream_candidate Unhealthy = engine(adapter_need::Loaded, 0);
  Unhealthy.Health = 0.3;
  REQUIRE(chosen({Unhealthy, engine(adapter_need::Absent, 0)}) == 1);
  Unhealthy.Health = 0;
  REQUIRE_FALSE(chooseUpstream(std::vector<upstream_candidate>{Unhealthy},
                               longPrompt(), choice_costs{}));
}

TEST_CASE("non-model calls stay in the zone until its upstream is busy") {
  choice_request Call;
  Call.ObjectiveMilliseconds = 150;
  Call.RemainingMilliseconds = 150;
  Call.Bytes = 1'000;
  upstream_candidate Near;
  Near.InOwnZone = true;
  Near.Slots = 6;
  upstream_candidate Far = Near;
  Far.InOwnZone = false;
  REQUIRE(chooseUpstream(std::vector<upstream_candidate>{Near, Far}, Call,
                         choice_costs{})
              ->Index == 0);
  Near.Requests = 18;
  REQUIRE(chooseUpstream(std::vector<upstream_candidate>{Near, Far}, Call,
                         choice_costs{})
              ->Index == 1);
}

TEST_CASE("an answer is worth less the later it is expected") {
  const choice_request Request = longPrompt();
  const choice_costs Costs;
  double Last = 1;
  for (double Expected = 0; Expected < 3'000; Expected += 50) {
    const double Worth = expectedWorth(Expected, Request, Costs);
    REQUIRE(Worth <= Last);
    REQUIRE(Worth >= Costs.LateWorth);
    Last = Worth;
  }
}

TEST_CASE("the prompt cache estimate depends on adapter, order and capacity") {
  request_description Request;
  Request.Model = "m";
  Request.Adapter = "a1";
  Request.Prompt = {{1, 100}, {2, 200}, {3, 300}};
  prompt_cache_estimate Cache;
  Cache.setCapacity(1'000);
  Cache.note(Request);
  REQUIRE(Cache.cachedTokens(Request) == 600);
  request_description Other = Request;
  Other.Prompt[1].Id = 9;
  REQUIRE(Cache.cachedTokens(Other) == 100);
  Other = Request;
  Other.Adapter = "a2";
  REQUIRE(Cache.cachedTokens(Other) == 0);
  Cache.setCapacity(300);
  REQUIRE(Cache.cachedTokens(Request) <= 300);
}
