#include "LibCore/result_code.h"
#include "LibGateway/zone_hub.h"
#include "LibPeer/host_link_server.h"
#include "Support/fake_platform.h"

#include <memory>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

struct hub_host;

/// Hubs that reach each other, and the platform, as the test says.
struct hub_fleet {
  host_link_port portFrom(std::string Name);

  fake_platform Fake;
  runtime_clock Clock;
  std::map<endpoint, hub_host *> Hosts;
  /// Pairs of hosts that can't reach each other.
  std::set<std::pair<std::string, std::string>> Cuts;
};

/// One host's hub and what it works with.
struct hub_host {
  hub_host(hub_fleet &Fleet, std::string Name, std::string Zone,
           std::uint64_t Incarnation)
      : Fleet(Fleet), Name(Name), Platform(Fleet.Fake.port()),
        Members(Fleet.Clock, Platform, "members", {}),
        Things(Fleet.Clock, Platform, "things", {}),
        Upstreams(Fleet.Clock, Zone),
        Quota(Fleet.Clock), Link{"10.0.0." +
                                     std::to_string(Fleet.Hosts.size() + 1),
                                 1},
        Hub(identity(Zone, Incarnation),
            {Fleet.Clock,
             Platform,
             Fleet.portFrom(Name),
             Upstreams,
             Quota,
             Members,
             {&Things, &Members},
             [this](std::span<const adapter_use> Now) {
               Uses.assign(Now.begin(), Now.end());
             },
             [this] { return Rooms; }}) {
    Fleet.Hosts[Link] = this;
    gateway_configuration Configuration;
    gateway_customer Customer;
    Customer.Name = "aalst";
    Customer.RatePerSecond = 1'000;
    Customer.Burst = 1'000;
    Configuration.Customers = {Customer};
    Quota.applyConfiguration(Configuration);
  }
  ~hub_host() { Fleet.Hosts.erase(Link); }

  host_identity identity(const std::string &Zone, std::uint64_t Incarnation) {
    host_link::Sender Sender;
    Sender.set_protocol(HostLinkProtocol);
    Sender.set_zone(zone_id::ofName(Zone).Value);
    Sender.set_incarnation(Incarnation);
    return {Name, Zone, Link, Incarnation, Sender};
  }

  void step() {
    if (!PlatformCut)
      Members.step();
    Hub.keepMembership();
    Hub.exchange({});
  }

  hub_fleet &Fleet;
  const std::string Name;
  platform_port Platform;
  object_mirror Members;
  object_mirror Things;
  fleet_table Upstreams;
  customer_quota Quota;
  const endpoint Link;
  std::vector<adapter_use> Uses;
  std::vector<available_slots> Rooms;
  bool PlatformCut = false;
  zone_hub Hub;
};

host_link_port hub_fleet::portFrom(std::string Name) {
  host_link_port Port;
  Port.Sync = [this, Name](const endpoint &Peer,
                           const host_link::SyncRequest &Request,
                           milliseconds) {
    const auto Found = Hosts.find(Peer);
    if (Found == Hosts.end() || Cuts.contains({Name, Found->second->Name}) ||
        Cuts.contains({Found->second->Name, Name}))
      throw spindle_error(result_code::PeerUnreachable, "cut off");
    return Found->second->Hub.handleSync(Request);
  };
  return Port;
}

void run(hub_fleet &Fleet, std::vector<hub_host *> Hosts, milliseconds For) {
  constexpr milliseconds Tick{100};
  for (milliseconds At{0}; At < For; At += Tick) {
    for (hub_host *const Host : Hosts)
      Host->step();
    Fleet.Clock.advance(Tick);
  }
}

struct two_hosts {
  two_hosts() { Fleet.Clock.pause(); }

  hub_fleet Fleet;
  std::unique_ptr<hub_host> One =
      std::make_unique<hub_host>(Fleet, "h1", "a", 11);
  std::unique_ptr<hub_host> Two =
      std::make_unique<hub_host>(Fleet, "h2", "a", 12);
};

} // namespace

TEST_CASE("a zone has one lead, whose token only grows") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  REQUIRE(Test.One->Hub.isLead() != Test.Two->Hub.isLead());
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  hub_host &Other = Test.One->Hub.isLead() ? *Test.Two : *Test.One;
  const std::uint64_t First = *Lead.Hub.fence("a");
  REQUIRE_FALSE(Other.Hub.fence("a"));
  REQUIRE_FALSE(Lead.Hub.fence("b"));

  // A planned stop hands the lead over.
  Lead.Hub.leave(false);
  run(Test.Fleet, {&Other}, seconds(2));
  REQUIRE(Other.Hub.fence("a"));
  REQUIRE(*Other.Hub.fence("a") > First);
  REQUIRE_FALSE(Lead.Hub.fence("a"));
}

TEST_CASE("a lead that can't give its lead back stays the lead") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  Test.Fleet.Fake.setFaults({.Down = true});
  REQUIRE_FALSE(Lead.Hub.leave(false));
  REQUIRE(Lead.Hub.fence("a"));
  Test.Fleet.Fake.setFaults({});
  REQUIRE(Lead.Hub.leave(false));
  REQUIRE_FALSE(Lead.Hub.fence("a"));
}

TEST_CASE(
    "a lead that nobody can follow stays the lead until its last chance") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  hub_host &Other = Test.One->Hub.isLead() ? *Test.Two : *Test.One;
  // Both hosts of the zone are stopped; the other one was first.
  REQUIRE(Other.Hub.leave(false));
  run(Test.Fleet, {&Lead, &Other}, milliseconds(500));
  REQUIRE_FALSE(Lead.Hub.leave(false));
  run(Test.Fleet, {&Lead, &Other}, seconds(2));
  REQUIRE(Lead.Hub.fence("a"));

  SECTION("a host that comes back takes the lead") {
    hub_host Back(Test.Fleet, Other.Name, "a", 77);
    run(Test.Fleet, {&Lead, &Back}, milliseconds(500));
    REQUIRE(Lead.Hub.leave(false));
    run(Test.Fleet, {&Back}, seconds(1));
    REQUIRE(Back.Hub.fence("a"));
  }
  SECTION("nobody comes back") {
    REQUIRE(Lead.Hub.leave(true));
    REQUIRE_FALSE(Lead.Hub.fence("a"));
  }
}

TEST_CASE("a silent lead is replaced, and its successor waits out its turn") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  hub_host &Other = Test.One->Hub.isLead() ? *Test.Two : *Test.One;
  Test.Fleet.Cuts.insert({Lead.Name, Other.Name});
  Lead.PlatformCut = true;
  run(Test.Fleet, {&Other}, milliseconds(1'300));
  REQUIRE_FALSE(Other.Hub.isLead());
  run(Test.Fleet, {&Other}, milliseconds(1'200));
  REQUIRE(Other.Hub.isLead());
  REQUIRE_FALSE(Other.Hub.fence("a"));
  run(Test.Fleet, {&Other}, seconds(4));
  REQUIRE(Other.Hub.fence("a"));

  // The former lead learns of it and orders no more.
  Lead.PlatformCut = false;
  run(Test.Fleet, {&Lead}, milliseconds(200));
  REQUIRE_FALSE(Lead.Hub.fence("a"));
}

TEST_CASE("a restarted lead takes its lead again at once") {
  two_hosts Test;
  Test.Two.reset();
  run(Test.Fleet, {Test.One.get()}, seconds(2));
  REQUIRE(Test.One->Hub.fence("a"));
  const std::uint64_t First = *Test.One->Hub.fence("a");
  Test.One.reset();
  Test.One = std::make_unique<hub_host>(Test.Fleet, "h1", "a", 99);
  run(Test.Fleet, {Test.One.get()}, milliseconds(300));
  REQUIRE(Test.One->Hub.fence("a"));
  REQUIRE(*Test.One->Hub.fence("a") > First);
}

TEST_CASE("a lost answer to the taking of the lead leaves one lead") {
  two_hosts Test;
  Test.Two.reset();
  Test.One->Members.step();
  Test.One->Hub.keepMembership();
  Test.Fleet.Fake.setFaults({.LoseAnswers = 1});
  run(Test.Fleet, {Test.One.get()}, seconds(2));
  REQUIRE(Test.One->Hub.fence("a"));
}

TEST_CASE("an engine that saw a higher token ends the lead") {
  two_hosts Test;
  Test.Two.reset();
  run(Test.Fleet, {Test.One.get()}, seconds(2));
  const std::uint64_t First = *Test.One->Hub.fence("a");
  Test.One->Hub.noteFenced(First);
  REQUIRE_FALSE(Test.One->Hub.fence("a"));
  // Its object still names it, so it takes a higher token.
  run(Test.Fleet, {Test.One.get()}, seconds(1));
  REQUIRE(*Test.One->Hub.fence("a") > First);
}

TEST_CASE("a host that the platform refuses learns from its zone's lead") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  hub_host &Other = Test.One->Hub.isLead() ? *Test.Two : *Test.One;
  Lead.Platform.Create("things", "configuration", "\"new\"");
  Lead.Things.step();
  REQUIRE_FALSE(Other.Things.find("configuration"));
  Other.PlatformCut = true;
  run(Test.Fleet, {&Lead, &Other}, milliseconds(300));
  REQUIRE(Other.Things.find("configuration")->Body == "\"new\"");
}

TEST_CASE("a lead that the platform refuses learns from its hosts") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  hub_host &Other = Test.One->Hub.isLead() ? *Test.Two : *Test.One;
  Other.Platform.Create("things", "configuration", "\"new\"");
  Other.Things.step();
  Lead.PlatformCut = true;
  run(Test.Fleet, {&Lead, &Other}, milliseconds(300));
  REQUIRE(Lead.Things.find("configuration")->Body == "\"new\"");
}

TEST_CASE("what one host admits is missing from the others' buckets") {
  two_hosts Test;
  hub_host Far(Test.Fleet, "h3", "b", 13);
  const std::vector<hub_host *> All = {Test.One.get(), Test.Two.get(), &Far};
  run(Test.Fleet, All, seconds(4));
  gateway_customer Customer;
  Customer.Name = "aalst";
  Test.One->Quota.charge(Customer, 1'000);
  run(Test.Fleet, All, milliseconds(300));
  // 300 ms have refilled 300 of the 1000.
  REQUIRE_THROWS_AS(Test.Two->Quota.charge(Customer, 400), spindle_error);
  REQUIRE_THROWS_AS(Far.Quota.charge(Customer, 400), spindle_error);
  run(Test.Fleet, All, seconds(1));
  Far.Quota.charge(Customer, 800);
}

TEST_CASE("a host that hears nobody admits its share of the rate alone") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  Test.Fleet.Cuts.insert({"h1", "h2"});
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(4));
  gateway_customer Customer;
  Customer.Name = "aalst";
  for (hub_host *const Host : {Test.One.get(), Test.Two.get()}) {
    Host->Quota.charge(Customer, 500);
    REQUIRE_THROWS_AS(Host->Quota.charge(Customer, 100), spindle_error);
  }
}

TEST_CASE("the share of a host that is gone is used by the others") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  REQUIRE(Lead.Hub.fleetHosts() == 2);
  (Test.One->Hub.isLead() ? Test.Two : Test.One).reset();
  run(Test.Fleet, {&Lead}, seconds(5));
  gateway_customer Customer;
  Customer.Name = "aalst";
  Lead.Quota.charge(Customer, 500);
  REQUIRE_THROWS_AS(Lead.Quota.charge(Customer, 400), spindle_error);
  run(Test.Fleet, {&Lead}, seconds(8));
  REQUIRE(Lead.Hub.fleetHosts() == 1);
  Lead.Quota.charge(Customer, 500);
  Lead.Quota.charge(Customer, 400);
}

TEST_CASE("adapters in use are told to the lead") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  hub_host &Other = Test.One->Hub.isLead() ? *Test.Two : *Test.One;
  std::shared_ptr<upstream_entry> Engine = std::make_shared<upstream_entry>();
  Engine->Name = "e1";
  Engine->Id = upstream_id::ofName("e1");
  Other.Upstreams.applyUpstreams({Engine});
  request_description Request;
  Request.Model = "m";
  Request.Adapter = "a1";
  Other.Upstreams.noteRequestSent(Engine->Id, Request);
  Lead.Uses.clear();
  run(Test.Fleet, {&Lead, &Other}, milliseconds(200));
  REQUIRE_FALSE(Lead.Uses.empty());
  REQUIRE(Lead.Uses.front().Adapter == adapter_name{"m", "a1"});
}

TEST_CASE("what a host had under way ends with it, for other zones too") {
  two_hosts Test;
  hub_host Far(Test.Fleet, "h3", "b", 13);
  run(Test.Fleet, {Test.One.get(), Test.Two.get(), &Far}, seconds(4));
  hub_host &Lead = Test.One->Hub.isLead() ? *Test.One : *Test.Two;
  std::unique_ptr<hub_host> &Other =
      Test.One->Hub.isLead() ? Test.Two : Test.One;
  std::shared_ptr<upstream_entry> Engine = std::make_shared<upstream_entry>();
  Engine->Name = "e1";
  Engine->Id = upstream_id::ofName("e1");
  Engine->Zone = "b";
  for (hub_host *const Host : {&Lead, Other.get(), &Far})
    Host->Upstreams.applyUpstreams({Engine});
  request_description Request;
  Request.Model = "m";
  Request.Adapter = "a1";
  Request.PromptTokens = 500;
  Other->Upstreams.noteRequestSent(Engine->Id, Request);
  run(Test.Fleet, {&Lead, Other.get(), &Far}, seconds(1));
  REQUIRE(Far.Uses.size() == 1);

  Other.reset();
  run(Test.Fleet, {&Lead, &Far}, seconds(3));
  REQUIRE(Far.Uses.empty());
  REQUIRE(Lead.Uses.empty());
}

TEST_CASE("a request that crashes upstreams is held back by every host") {
  two_hosts Test;
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, seconds(3));
  const request_fingerprint Bad =
      fingerprintOf(customer_id::ofName("aalst"), "/x", "bad");
  for (const char *const Engine : {"e1", "e2"}) {
    Test.One->Hub.suspects().noteRunStarted(upstream_id::ofName(Engine), Bad);
    Test.One->Hub.suspects().noteRunEnded(upstream_id::ofName(Engine), Bad,
                                          run_end::Lost);
  }
  run(Test.Fleet, {Test.One.get(), Test.Two.get()}, milliseconds(300));
  REQUIRE(Test.One->Hub.suspects().isHeldBack(Bad));
  REQUIRE(Test.Two->Hub.suspects().isHeldBack(Bad));
}
