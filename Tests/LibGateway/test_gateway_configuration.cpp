#include "LibGateway/gateway_configuration.h"
#include "LibGateway/load_rate_limiter.h"
#include "LibGateway/release_table.h"
#include "LibGateway/service_retry_budgets.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

gateway_route route(std::string Host, std::string Prefix) {
  gateway_route Route;
  Route.Name = Host + Prefix;
  Route.Host = std::move(Host);
  Route.PathPrefix = std::move(Prefix);
  return Route;
}

} // namespace

TEST_CASE(
    "findRoute returns the host's route with the longest matching prefix") {
  gateway_configuration Configuration;
  Configuration.Routes = {route("a.example", "/x/"),
                          route("a.example", "/x/y/"),
                          route("b.example", "/x/y/z/")};
  REQUIRE(findRoute(Configuration, "A.example:80", "/x/y/z/1")->PathPrefix ==
          "/x/y/");
  REQUIRE(findRoute(Configuration, "a.example", "/x/1")->PathPrefix == "/x/");
  REQUIRE_FALSE(findRoute(Configuration, "a.example", "/xy/1"));
  REQUIRE_FALSE(findRoute(Configuration, "c.example", "/x/1"));
}

TEST_CASE("findCustomer returns the customer that an API key belongs to") {
  gateway_configuration Configuration;
  Configuration.Customers.resize(2);
  Configuration.Customers[0].Name = "aalst";
  Configuration.Customers[0].Keys = {"k1", "k2"};
  Configuration.Customers[1].Name = "gent";
  Configuration.Customers[1].Keys = {"k3"};
  indexKeys(Configuration);
  REQUIRE(findCustomer(Configuration, "k2")->Name == "aalst");
  REQUIRE(findCustomer(Configuration, "k3")->Name == "gent");
  REQUIRE_FALSE(findCustomer(Configuration, "k"));
  REQUIRE_FALSE(findCustomer(Configuration, ""));
}

TEST_CASE("a split route selects configured services by weight") {
  gateway_configuration Configuration;
  Configuration.Services["a"].Name = "a";
  Configuration.Services["b"].Name = "b";
  gateway_route Route;
  Route.Services = {{"a", 90}, {"b", 10}, {"gone", 50}};
  int ToA = 0;
  for (int Draw = 0; Draw < 150; ++Draw)
    ToA += chooseService(Configuration, Route, Draw / 150.0)->Name == "a";
  REQUIRE(ToA == 90);
  Route.Services = {{"gone", 1}};
  REQUIRE_FALSE(chooseService(Configuration, Route, 0.5));
}

TEST_CASE("the adapter slots of an engine are also limited by its memory") {
  engine_capacity Engine;
  Engine.AdapterSlots = 8;
  Engine.Megabytes = 1'000;
  Engine.Models = {{"m", 900, 20}};
  REQUIRE(adapterSlotCount(Engine) == 5);
}

TEST_CASE("the retries of all hosts together stay within the retry budget") {
  rc::prop("retries in a window <= ratio * requests + extra", [] {
    runtime_clock Clock;
    Clock.pause();
    const retry_limits Limits{20, 50, seconds(10)};
    const std::size_t Hosts = *rc::gen::inRange<std::size_t>(1, 8);
    std::vector<std::unique_ptr<service_retry_budgets>> Budgets;
    for (std::size_t Host = 0; Host < Hosts; ++Host) {
      Budgets.push_back(std::make_unique<service_retry_budgets>(Clock, Limits));
      Budgets.back()->setHosts(Hosts);
    }
    const int PerTick = *rc::gen::inRange(0, 5);
    int Requests = 0;
    int Retries = 0;
    for (int Tick = 0; Tick < 100; ++Tick) {
      for (const std::unique_ptr<service_retry_budgets> &Budget : Budgets) {
        for (int Request = 0; Request < PerTick; ++Request) {
          Budget->noteRequest("s");
          ++Requests;
        }
        while (Budget->spend("s"))
          ++Retries;
      }
      Clock.advance(milliseconds(100));
    }
    RC_ASSERT(Retries <= 0.2 * Requests + 50);
  });
}

TEST_CASE("model loads from the weight store stay within the configured rate") {
  load_rate_limiter Pace;
  time_point Now{seconds(1)};
  REQUIRE_FALSE(Pace.tryAcquire(Now));
  Pace.setRate(2);
  int Loads = 0;
  for (int Tick = 0; Tick < 100; ++Tick) {
    Loads += Pace.tryAcquire(Now) ? 1 : 0;
    Now += milliseconds(100);
  }
  REQUIRE(Loads <= 20);
  REQUIRE(Loads >= 19);
}

TEST_CASE("the newest version of an adapter never decreases") {
  release_table Releases;
  const adapter_name Name{"m", "a1"};
  REQUIRE(Releases.newestVersion(Name) == 0);
  Releases.apply({{Name, 3}});
  Releases.apply({{Name, 2}});
  REQUIRE(Releases.newestVersion(Name) == 3);
}
