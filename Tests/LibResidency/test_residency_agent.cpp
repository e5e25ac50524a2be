#include "LibHost/residency_agent.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

/// An engine with two slots behind the port, as two hosts see it.
struct fake_fleet {
  runtime_clock Clock;
  std::set<std::string, std::less<>> Loaded;
  std::vector<std::string> Orders;
  bool FailLoads = false;
  bool OwnerCutOff = false;
  std::uint64_t Incarnation = 1;
  snapshot_pointer Configuration;
  engine_table OwnerTable{Clock, zone_id::ofName("a"), 1};
  engine_table AskerTable{Clock, zone_id::ofName("a"), 2};
  std::unique_ptr<residency_agent> Owner;
  std::unique_ptr<residency_agent> Asker;
  std::shared_ptr<host_view> View = std::make_shared<host_view>();

  fake_fleet() {
    Clock.pause();
    intent Intent;
    Intent.Zones = {{"a", "r", 1}};
    upstream_declaration Engine;
    Engine.Name = "engine";
    Engine.Zone = "a";
    Engine.Model = "base";
    Engine.Slots = 2;
    Intent.Upstreams = {Engine};
    Configuration = std::make_shared<configuration_snapshot>(1, Intent);
    Owner = makeAgent("owner", OwnerTable);
    Asker = makeAgent("asker", AskerTable);
    learn(1);
    settle();
  }
  std::unique_ptr<residency_agent> makeAgent(const std::string &Name,
                                             engine_table &Table);
  /// Gives the engine's ownership to the owner under \p Fence.
  void learn(std::uint64_t Fence);
  /// Reports and syncs reach everyone, and the settle time passes.
  void settle();
  pin_request request(const std::string &Name) const {
    pin_request Request;
    Request.Adapter = adapter_id::ofName(Name);
    Request.AdapterName = Name;
    Request.Model = "base";
    Request.Deadline = Clock.now();
    return Request;
  }
};

} // namespace

std::unique_ptr<residency_agent> fake_fleet::makeAgent(const std::string &Name,
                                                       engine_table &Table) {
  residency_ports Ports;
  Ports.Engines.Load = [this](const endpoint &, std::string_view Adapter,
                              std::uint64_t, milliseconds) {
    if (FailLoads)
      throw spindle_error(result_code::AdapterLoadFailed, "load refused");
    Loaded.emplace(Adapter);
    Orders.push_back("load " + std::string(Adapter));
  };
  Ports.Engines.Unload = [this](const endpoint &, std::string_view Adapter,
                                std::uint64_t, milliseconds) {
    Loaded.erase(std::string(Adapter));
    Orders.push_back("unload " + std::string(Adapter));
  };
  Ports.Engines.Report = [this](const endpoint &, milliseconds) {
    engine_report Report;
    Report.Incarnation = Incarnation;
    Report.Slots = 2;
    Report.Loaded.assign(Loaded.begin(), Loaded.end());
    return Report;
  };
  Ports.Engines.CacheEvents = [](const endpoint &, std::uint64_t,
                                 milliseconds) {
    return std::vector<engine_cache_event>();
  };
  const auto Reachable = [this] {
    if (OwnerCutOff)
      throw spindle_error(result_code::PeerUnreachable, "cut off");
  };
  Ports.Hosts.Pin = [this, Reachable](const endpoint &,
                                      const host_link::PinRequest &Request,
                                      milliseconds) {
    Reachable();
    return Owner->handlePin(Request);
  };
  Ports.Hosts.SyncPins = [this,
                          Reachable](const endpoint &,
                                     const host_link::SyncPinsRequest &Request,
                                     milliseconds) {
    Reachable();
    return Owner->handleSyncPins(Request);
  };
  Ports.Hosts.Residency =
      [this, Reachable](const endpoint &,
                        const host_link::ResidencyRequest &Request,
                        milliseconds) {
        Reachable();
        return Owner->handleResidency(Request);
      };
  Ports.Budget = {[](time_point) { return true; }, [] {}};
  Ports.Spawn = [](const std::function<void()> &Work) { Work(); };
  host_link::Sender Self;
  Self.set_host(host_id::ofName(Name).Value);
  Self.set_incarnation(1);
  residency_agent_settings Settings;
  Settings.PinRequestTimeout = milliseconds(0);
  Settings.OwnerRetryInterval = milliseconds(0);
  std::unique_ptr<residency_agent> Agent = std::make_unique<residency_agent>(
      Clock, std::move(Ports), Self, Table, nullptr, Settings);
  Agent->applyConfiguration(Configuration);
  return Agent;
}

void fake_fleet::learn(std::uint64_t Fence) {
  for (const std::string Name : {"owner", "asker"}) {
    const std::string PeerName = Name == "owner" ? "asker" : "owner";
    std::shared_ptr<host_view> Seen = std::make_shared<host_view>();
    Seen->Owners[upstream_id::ofName("engine")] = {host_id::ofName("owner"),
                                                   Fence};
    Seen->OwnershipValidUntil = Clock.now() + seconds(3'600);
    peer_host Peer;
    Peer.Id = host_id::ofName(PeerName);
    Peer.Incarnation = 1;
    Seen->Peers = {Peer};
    (Name == "owner" ? *Owner : *Asker).applyView(Seen);
  }
}

void fake_fleet::settle() {
  for (int Pass = 0; Pass < 2; ++Pass) {
    Clock.advance(seconds(4));
    for (residency_agent *Agent : {Owner.get(), Asker.get()}) {
      Agent->syncPins();
      Agent->pollReports();
    }
    Owner->runLoads();
  }
}

TEST_CASE("an adapter is loaded on demand and evicted only when unpinned") {
  fake_fleet Fleet;
  pin_lease First = Fleet.Asker->acquire(Fleet.request("a@1"));
  pin_lease Second = Fleet.Owner->acquire(Fleet.request("b@1"));
  REQUIRE(Fleet.Orders == std::vector<std::string>{"load a@1", "load b@1"});
  REQUIRE_THROWS_AS(Fleet.Asker->acquire(Fleet.request("c@1")), spindle_error);
  Fleet.settle();
  REQUIRE_THROWS_AS(Fleet.Asker->acquire(Fleet.request("c@1")), spindle_error);
  REQUIRE(Fleet.Loaded == std::set<std::string, std::less<>>{"a@1", "b@1"});
  Second.release();
  Fleet.settle();
  const pin_lease Third = Fleet.Asker->acquire(Fleet.request("c@1"));
  REQUIRE(Fleet.Loaded == std::set<std::string, std::less<>>{"a@1", "c@1"});
}

TEST_CASE("a cached pin serves on while its owner cannot be asked") {
  fake_fleet Fleet;
  Fleet.Asker->acquire(Fleet.request("a@1")).release();
  Fleet.OwnerCutOff = true;
  const pin_lease Cached = Fleet.Asker->acquire(Fleet.request("a@1"));
  REQUIRE(Fleet.Orders.size() == 1);
  REQUIRE_THROWS_AS(Fleet.Asker->acquire(Fleet.request("b@1")), spindle_error);
}

TEST_CASE("a new owner evicts nothing before every host has synced") {
  fake_fleet Fleet;
  const pin_lease Held = Fleet.Asker->acquire(Fleet.request("a@1"));
  Fleet.Owner->acquire(Fleet.request("b@1")).release();
  Fleet.learn(2);
  Fleet.OwnerCutOff = true;
  Fleet.settle();
  REQUIRE_THROWS_AS(Fleet.Owner->acquire(Fleet.request("c@1")), spindle_error);
  REQUIRE(Fleet.Loaded.contains("b@1"));
  Fleet.OwnerCutOff = false;
  Fleet.settle();
  const pin_lease Loaded = Fleet.Owner->acquire(Fleet.request("c@1"));
  REQUIRE(Fleet.Loaded == std::set<std::string, std::less<>>{"a@1", "c@1"});
}

TEST_CASE("an engine that restarts empty is filled again on demand") {
  fake_fleet Fleet;
  Fleet.Asker->acquire(Fleet.request("a@1")).release();
  Fleet.settle();
  Fleet.Loaded.clear();
  Fleet.Incarnation = 2;
  Fleet.settle();
  const pin_lease Again = Fleet.Asker->acquire(Fleet.request("a@1"));
  REQUIRE(Fleet.Loaded.contains("a@1"));
}

TEST_CASE("a load that keeps failing is reported as not run") {
  fake_fleet Fleet;
  Fleet.FailLoads = true;
  result_code Code = result_code::Internal;
  run_state State = run_state::MaybeRun;
  for (int Try = 0; Try < 6; ++Try) {
    Fleet.Clock.advance(milliseconds(1'100));
    try {
      Fleet.Asker->acquire(Fleet.request("a@1"));
    } catch (const spindle_error &Error) {
      Code = Error.code();
      State = Error.state();
    }
    if (Code == result_code::AdapterLoadFailed)
      break;
  }
  REQUIRE(Code == result_code::AdapterLoadFailed);
  REQUIRE(State == run_state::NotRun);
}
