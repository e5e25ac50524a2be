#include "LibHost/residency_agent.h"

#include <algorithm>
#include <set>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

/// Two hosts and a fake engine with two slots, connected through their ports.
struct fake_fleet {
  runtime_clock Clock;
  std::set<std::string, std::less<>> Loaded;
  std::vector<std::string> Orders;
  bool FailLoads = false;
  bool OwnerUnreachable = false;
  std::uint64_t Incarnation = 1;
  snapshot_pointer Configuration;
  engine_table OwnerTable{Clock, zone_id::ofName("a"), 1};
  engine_table RequesterTable{Clock, zone_id::ofName("a"), 2};
  std::unique_ptr<residency_agent> Owner;
  std::unique_ptr<residency_agent> Requester;
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
    Requester = makeAgent("requester", RequesterTable);
    applyOwnership(1);
    settle();
  }
  std::unique_ptr<residency_agent> makeAgent(const std::string &Name,
                                             engine_table &Table);
  /// Makes the owner host the owner of the engine under \p Fence, in the views
  /// of both hosts.
  void applyOwnership(std::uint64_t Fence);
  /// Exchanges reports and syncs between all hosts and lets the settle time
  /// elapse.
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
  const auto CheckReachable = [this] {
    if (OwnerUnreachable)
      throw spindle_error(result_code::PeerUnreachable, "cut off");
  };
  Ports.Hosts.Pin = [this, CheckReachable](const endpoint &,
                                           const host_link::PinRequest &Request,
                                           milliseconds) {
    CheckReachable();
    return Owner->handlePin(Request);
  };
  Ports.Hosts.SyncPins =
      [this, CheckReachable](const endpoint &,
                             const host_link::SyncPinsRequest &Request,
                             milliseconds) {
        CheckReachable();
        return Owner->handleSyncPins(Request);
      };
  Ports.Hosts.Residency =
      [this, CheckReachable](const endpoint &,
                             const host_link::ResidencyRequest &Request,
                             milliseconds) {
        CheckReachable();
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

void fake_fleet::applyOwnership(std::uint64_t Fence) {
  for (const std::string Name : {"owner", "requester"}) {
    const std::string PeerName = Name == "owner" ? "requester" : "owner";
    std::shared_ptr<host_view> HostView = std::make_shared<host_view>();
    HostView->Owners[upstream_id::ofName("engine")] = {host_id::ofName("owner"),
                                                       Fence};
    HostView->OwnershipValidUntil = Clock.now() + seconds(3'600);
    peer_host Peer;
    Peer.Id = host_id::ofName(PeerName);
    Peer.Incarnation = 1;
    HostView->Peers = {Peer};
    (Name == "owner" ? *Owner : *Requester).applyView(HostView);
  }
}

void fake_fleet::settle() {
  for (int Pass = 0; Pass < 2; ++Pass) {
    Clock.advance(seconds(4));
    for (residency_agent *Agent : {Owner.get(), Requester.get()}) {
      Agent->syncPins();
      Agent->pollReports();
    }
    Owner->runLoads();
  }
}

TEST_CASE("an adapter is loaded on demand and evicted only when unpinned") {
  fake_fleet Fleet;
  pin_lease First = Fleet.Requester->acquire(Fleet.request("a@1"));
  pin_lease Second = Fleet.Owner->acquire(Fleet.request("b@1"));
  REQUIRE(Fleet.Orders == std::vector<std::string>{"load a@1", "load b@1"});
  REQUIRE_THROWS_AS(Fleet.Requester->acquire(Fleet.request("c@1")),
                    spindle_error);
  Fleet.settle();
  REQUIRE_THROWS_AS(Fleet.Requester->acquire(Fleet.request("c@1")),
                    spindle_error);
  REQUIRE(Fleet.Loaded == std::set<std::string, std::less<>>{"a@1", "b@1"});
  Second.release();
  Fleet.settle();
  const pin_lease Third = Fleet.Requester->acquire(Fleet.request("c@1"));
  REQUIRE(Fleet.Loaded == std::set<std::string, std::less<>>{"a@1", "c@1"});
}

TEST_CASE("a cached pin stays usable while its owner is unreachable") {
  fake_fleet Fleet;
  Fleet.Requester->acquire(Fleet.request("a@1")).release();
  Fleet.OwnerUnreachable = true;
  const pin_lease CachedLease = Fleet.Requester->acquire(Fleet.request("a@1"));
  REQUIRE(Fleet.Orders.size() == 1);
  REQUIRE_THROWS_AS(Fleet.Requester->acquire(Fleet.request("b@1")),
                    spindle_error);
}

TEST_CASE("a new owner evicts nothing before every host has synced") {
  fake_fleet Fleet;
  const pin_lease HeldLease = Fleet.Requester->acquire(Fleet.request("a@1"));
  Fleet.Owner->acquire(Fleet.request("b@1")).release();
  Fleet.applyOwnership(2);
  Fleet.OwnerUnreachable = true;
  Fleet.settle();
  REQUIRE_THROWS_AS(Fleet.Owner->acquire(Fleet.request("c@1")), spindle_error);
  REQUIRE(Fleet.Loaded.contains("b@1"));
  Fleet.OwnerUnreachable = false;
  Fleet.settle();
  const pin_lease Loaded = Fleet.Owner->acquire(Fleet.request("c@1"));
  REQUIRE(Fleet.Loaded == std::set<std::string, std::less<>>{"a@1", "c@1"});
}

TEST_CASE("adapters are loaded again on demand after an engine restart") {
  fake_fleet Fleet;
  Fleet.Requester->acquire(Fleet.request("a@1")).release();
  Fleet.settle();
  Fleet.Loaded.clear();
  Fleet.Incarnation = 2;
  Fleet.settle();
  const pin_lease Again = Fleet.Requester->acquire(Fleet.request("a@1"));
  REQUIRE(Fleet.Loaded.contains("a@1"));
}

TEST_CASE("a request whose load keeps failing is reported as not run") {
  fake_fleet Fleet;
  Fleet.FailLoads = true;
  result_code Code = result_code::Internal;
  run_state State = run_state::MaybeRun;
  for (int Attempt = 0; Attempt < 6; ++Attempt) {
    Fleet.Clock.advance(milliseconds(1'100));
    try {
      Fleet.Requester->acquire(Fleet.request("a@1"));
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
