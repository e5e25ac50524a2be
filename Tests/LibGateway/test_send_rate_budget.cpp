#include "LibGateway/fleet_table.h"
#include "LibGateway/send_rate_budget.h"

#include <algorithm>
#include <memory>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

upstream_pointer engine(const std::string &Name, const std::string &Zone,
                        milliseconds WarmUpLeft) {
  upstream_entry Entry;
  Entry.Name = Name;
  Entry.Id = upstream_id::ofName(Name);
  Entry.Service = "models";
  Entry.Zone = Zone;
  Entry.Slots = 8;
  Entry.Models = {"m"};
  Entry.WarmUpLeft = WarmUpLeft;
  return std::make_shared<const upstream_entry>(Entry);
}

std::vector<host_location> hosts(int Count, const std::string &Zone) {
  std::vector<host_location> Hosts;
  Hosts.reserve(static_cast<std::size_t>(Count));
  for (int Number = 0; Number < Count; ++Number)
    Hosts.push_back({Zone + std::to_string(Number), Zone});
  return Hosts;
}

/// The tables of all hosts of a fleet, on one paused clock.
struct table_fleet {
  explicit table_fleet(std::vector<host_location> All) : Hosts(std::move(All)) {
    Clock.pause();
    for (const host_location &Host : Hosts) {
      Tables.push_back(std::make_unique<fleet_table>(Clock, Host.Zone));
      Tables.back()->setWarmUpRate("models", Rate);
      Tables.back()->setHosts(Hosts, Host.Name);
    }
  }

  void apply(const std::vector<upstream_pointer> &Entries) {
    for (const std::unique_ptr<fleet_table> &Table : Tables)
      Table->applyUpstreams(Entries);
  }

  /// Lets every host send as much as it may for \p Time; returns the most
  /// requests within one second.
  std::size_t busiestSecond(upstream_id Id, milliseconds Time) {
    static constexpr milliseconds Step{10};
    std::vector<time_point> Sent;
    const time_point End = Clock.now() + Time;
    while (Clock.now() < End) {
      for (const std::unique_ptr<fleet_table> &Table : Tables)
        while (Sent.size() < MaxSends && Table->admit(Id))
          Sent.push_back(Clock.now());
      Clock.advance(Step);
    }
    std::size_t Most = 0;
    for (auto First = Sent.begin(); First != Sent.end(); ++First) {
      const auto Last =
          std::upper_bound(First, Sent.end(), *First + seconds(1));
      Most = std::max(Most, static_cast<std::size_t>(Last - First));
    }
    return Most;
  }

  static constexpr double Rate = 7;
  static constexpr std::size_t MaxSends = 10'000;
  runtime_clock Clock;
  std::vector<host_location> Hosts;
  std::vector<std::unique_ptr<fleet_table>> Tables;
};

upstream_query queryFor(const request_description &Request) {
  upstream_query Query;
  Query.Service = "models";
  Query.Model = &Request;
  return Query;
}

} // namespace

TEST_CASE("all hosts together send an upstream that warms up no more than "
          "1.5 times its rate in any second") {
  table_fleet Fleet(hosts(70, "a"));
  const upstream_pointer Engine = engine("e", "a", milliseconds(5'000));
  Fleet.apply({Engine});
  const std::size_t Most = Fleet.busiestSecond(Engine->Id, milliseconds(4'900));
  REQUIRE(Most > 0);
  REQUIRE(static_cast<double>(Most) <= table_fleet::Rate * 1.5);
}

TEST_CASE("any number of hosts and any rate keeps the bound of the warm-up") {
  rc::prop("the senders' requests of any second", [] {
    const int Count = *rc::gen::inRange(1, 60);
    const double Rate = *rc::gen::inRange(1, 400) / 10.0;
    const std::vector<host_location> Hosts = hosts(Count, "a");
    const upstream_pointer Engine =
        engine("e" + std::to_string(Count), "a", milliseconds(1'000));
    double InOneSecond = 0;
    for (const host_location &Host : Hosts)
      if (const std::optional<nanoseconds> Interval =
              sendInterval(*Engine, Rate, Hosts, Host.Name))
        InOneSecond +=
            1 + std::floor(1e9 / static_cast<double>(Interval->count()));
    RC_ASSERT(InOneSecond > 0);
    RC_ASSERT(InOneSecond <= std::max(Rate * 1.5, Rate + 1));
  });
}

TEST_CASE("hosts of the upstream's zone send to it, others if there are none") {
  std::vector<host_location> Hosts = hosts(5, "a");
  const std::vector<host_location> Others = hosts(5, "b");
  Hosts.insert(Hosts.end(), Others.begin(), Others.end());
  const auto Senders = [&Hosts](const upstream_entry &Engine) {
    std::vector<std::string> Zones;
    for (const host_location &Host : Hosts)
      if (sendInterval(Engine, 7, Hosts, Host.Name))
        Zones.push_back(Host.Zone);
    return Zones;
  };
  const std::vector<std::string> InZone =
      Senders(*engine("e", "b", milliseconds(1)));
  REQUIRE(InZone.size() == 3);
  CHECK(std::all_of(InZone.begin(), InZone.end(),
                    [](const std::string &Zone) { return Zone == "b"; }));
  CHECK(Senders(*engine("e", "c", milliseconds(1))).size() == 3);
}

TEST_CASE("a host that knows no registered hosts sends nothing to an upstream "
          "that warms up") {
  REQUIRE_FALSE(sendInterval(*engine("e", "a", milliseconds(1)), 7, {}, "a0"));
}

TEST_CASE("an upstream that has warmed up gets any number of requests") {
  table_fleet Fleet(hosts(3, "a"));
  const upstream_pointer Engine = engine("e", "a", milliseconds(2'000));
  Fleet.apply({Engine});
  Fleet.busiestSecond(Engine->Id, milliseconds(2'000));
  REQUIRE(Fleet.busiestSecond(Engine->Id, milliseconds(100)) ==
          table_fleet::MaxSends);
}

TEST_CASE("an upstream that could not be reached counts as restarted until its "
          "registration is newer") {
  table_fleet Fleet(hosts(1, "a"));
  const upstream_pointer Engine = engine("e", "a", milliseconds(0));
  Fleet.apply({Engine});
  Fleet.Tables[0]->noteUnreachable(Engine->Id);
  REQUIRE(Fleet.busiestSecond(Engine->Id, milliseconds(500)) <= 8);
  Fleet.apply({engine("e", "a", milliseconds(0))});
  REQUIRE(Fleet.busiestSecond(Engine->Id, milliseconds(10)) ==
          table_fleet::MaxSends);
}

TEST_CASE("the engines of an evacuated zone get no requests, and warm up when "
          "the zone returns") {
  table_fleet Fleet(hosts(2, "a"));
  const upstream_pointer Evacuated = engine("e", "b", milliseconds(0));
  const upstream_pointer Other = engine("f", "c", milliseconds(0));
  Fleet.apply({Evacuated, Other});
  fleet_table &Table = *Fleet.Tables[0];
  request_description Request;
  Request.Model = "m";
  Request.PromptTokens = 100;

  Table.setEvacuatedZones({"b"});
  REQUIRE(Table.choose(queryFor(Request))->Upstream == Other);
  REQUIRE_FALSE(Table.admit(Evacuated->Id));
  Table.setEvacuatedZones({"b", "c"});
  REQUIRE_FALSE(Table.choose(queryFor(Request)));

  Table.setEvacuatedZones({});
  Fleet.Tables[1]->setEvacuatedZones({"b"});
  Fleet.Tables[1]->setEvacuatedZones({});
  REQUIRE(Fleet.busiestSecond(Evacuated->Id, milliseconds(1'000)) <= 10);
}

TEST_CASE("a request is not held for an upstream to which this host may not "
          "send") {
  table_fleet Fleet(hosts(40, "a"));
  const upstream_pointer Warming = engine("e", "a", milliseconds(3'000));
  const upstream_pointer Loaded = engine("f", "a", milliseconds(0));
  Fleet.apply({Warming, Loaded});
  request_description Request;
  Request.Model = "m";
  Request.Adapter = "a1";
  Request.PromptTokens = 100;
  std::size_t Admitted = 0;
  for (const std::unique_ptr<fleet_table> &Table : Fleet.Tables) {
    Table->noteAvailableSlots({Loaded->Id, 0});
    const std::optional<chosen_upstream> Chosen =
        Table->choose(queryFor(Request));
    REQUIRE(Chosen);
    for (const upstream_pointer &Engine : Chosen->Engines)
      Admitted += Engine == Warming ? 1 : 0;
  }
  REQUIRE(Admitted <= 3);
}
