#include "LibGateway/fleet_table.h"

#include <cmath>
#include <limits>
#include <memory>
#include <set>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

upstream_pointer engine(const std::string &Name, const std::string &Zone,
                        std::int64_t StartedAt = 1) {
  upstream_entry Entry;
  Entry.Name = Name;
  Entry.Id = upstream_id::ofName(Name);
  Entry.Service = "models";
  Entry.Zone = Zone;
  Entry.StartedAt = StartedAt;
  return std::make_shared<const upstream_entry>(Entry);
}

engine_reading waiting(std::uint32_t Requests) {
  return {4, Requests, 8, std::nullopt};
}

/// A host and the leader of zone a, and the leader of zone b.
struct facts_fixture {
  facts_fixture() {
    Clock.pause();
    Clock.advance(seconds(10));
    for (fleet_table *const Table : {&Host, &Leader, &OtherLeader})
      Table->applyUpstreams({Near, Far});
    Clock.advance(seconds(1));
  }

  /// One round of reports; returns the number of facts in both.
  std::pair<int, int> exchange() {
    facts_field ToLeader;
    Host.writeOwnFacts(ToLeader);
    Leader.mergeFacts(ToLeader, facts_source::HostOfZone);
    facts_field ToOther;
    Leader.writeFactsOf("b", ToOther);
    OtherLeader.mergeFacts(ToOther, facts_source::OtherLeader);
    return {ToLeader.size(), ToOther.size()};
  }

  runtime_clock Clock;
  fleet_table Host{Clock, "a"};
  fleet_table Leader{Clock, "a"};
  fleet_table OtherLeader{Clock, "b"};
  upstream_pointer Near = engine("e1", "a");
  upstream_pointer Far = engine("e2", "b");
};

} // namespace

// Guards against a leader that chooses by what it alone has seen, and against
// messages that carry what their receiver has no use for or has sent itself.
TEST_CASE("facts miss the leader of the engine's zone or reach others") {
  facts_fixture Test;
  Test.Host.noteReading(Test.Near->Id, waiting(1), Test.Clock.now());
  Test.Host.noteReading(Test.Far->Id, waiting(2), Test.Clock.now());
  Test.Host.noteReadTime(Test.Far->Id, 100, 200);
  Test.Clock.advance(milliseconds(200));
  REQUIRE(Test.exchange() == std::pair{2, 1});
  REQUIRE(Test.Leader.facts(Test.Near->Id).Reading == waiting(1));
  const engine_facts Known = Test.OtherLeader.facts(Test.Far->Id);
  REQUIRE(Known.Reading == waiting(2));
  REQUIRE(Test.Clock.now() - Known.ReadAt == milliseconds(200));
  REQUIRE(Known.TimeFactor > 1.1);
  REQUIRE_FALSE(Test.OtherLeader.facts(Test.Near->Id).Reading);

  // What was reported is not reported again, nor sent back.
  REQUIRE(Test.exchange() == std::pair{0, 0});
  facts_field Back;
  Test.OtherLeader.writeFactsOf("a", Back);
  Test.Leader.writeOwnFacts(Back);
  REQUIRE(Back.empty());
}

TEST_CASE("an older reading of a peer replaces a newer one") {
  facts_fixture Test;
  Test.Host.noteReading(Test.Near->Id, waiting(1), Test.Clock.now());
  Test.Clock.advance(milliseconds(50));
  Test.Leader.noteReading(Test.Near->Id, waiting(2), Test.Clock.now());
  Test.exchange();
  REQUIRE(Test.Leader.facts(Test.Near->Id).Reading == waiting(2));
}

TEST_CASE("a restarted engine has the facts of its predecessor") {
  facts_fixture Test;
  Test.Host.noteReading(Test.Near->Id, waiting(9), Test.Clock.now());
  Test.Leader.noteReading(Test.Near->Id, waiting(9), Test.Clock.now());
  Test.Leader.noteReadTime(Test.Near->Id, 100, 900);
  Test.Clock.advance(milliseconds(100));
  Test.Leader.applyUpstreams({engine("e1", "a", 2), Test.Far});
  REQUIRE_FALSE(Test.Leader.facts(Test.Near->Id).Reading);
  REQUIRE_FALSE(Test.Leader.facts(Test.Near->Id).TimeFactorAt);
  // A report on the predecessor that comes late has no effect either.
  Test.exchange();
  REQUIRE_FALSE(Test.Leader.facts(Test.Near->Id).Reading);
}

TEST_CASE("absurd reports or times have an effect") {
  facts_fixture Test;
  const double Endless = std::numeric_limits<double>::infinity();
  Test.Host.noteReadTime(Test.Near->Id, 0, 100);
  Test.Host.noteReadTime(Test.Near->Id, -1, 100);
  Test.Host.noteReadTime(Test.Near->Id, 100, -1);
  Test.Host.noteReadTime(Test.Near->Id, 100, Endless);
  Test.Host.noteReadTime(Test.Near->Id, std::nan(""), 100);
  REQUIRE_FALSE(Test.Host.facts(Test.Near->Id).TimeFactorAt);

  facts_field Message;
  for (const std::int64_t Age : {std::int64_t{-1}, std::int64_t{60'000},
                                 std::numeric_limits<std::int64_t>::max(),
                                 std::numeric_limits<std::int64_t>::min()}) {
    host_link::EngineFacts &Reported = *Message.Add();
    Reported.set_upstream(Test.Near->Id.Value);
    Reported.set_waiting(5);
    Reported.set_age_ms(Age);
  }
  Message.Add()->set_upstream(77);
  Test.Leader.mergeFacts(Message, facts_source::HostOfZone);
  REQUIRE_FALSE(Test.Leader.facts(Test.Near->Id).Reading);

  host_link::EngineFacts &Reported = *Message.Add();
  Reported.set_upstream(Test.Near->Id.Value);
  Reported.set_slowdown_percent(4'000'000'000);
  Reported.set_reads(4'000'000'000);
  Reported.set_reading_percent(4'000'000'000);
  Test.Leader.mergeFacts(Message, facts_source::HostOfZone);
  const engine_facts Known = Test.Leader.facts(Test.Near->Id);
  REQUIRE_FALSE(Known.Reading->Slowdown);
  REQUIRE(Known.TimeFactor <= 3);
}

TEST_CASE("a report has too many facts, or some engine never gets its turn") {
  facts_fixture Test;
  std::vector<upstream_pointer> Engines;
  Engines.reserve(300);
  for (int Number = 0; Number < 300; ++Number)
    Engines.push_back(engine("e" + std::to_string(Number), "a"));
  Test.Host.applyUpstreams(Engines);
  std::set<std::uint64_t> Reported;
  for (int Round = 0; Round < 3; ++Round) {
    // All engines have news again before each report.
    for (const upstream_pointer &Engine : Engines)
      Test.Host.noteReading(Engine->Id, waiting(1), Test.Clock.now());
    facts_field Message;
    Test.Host.writeOwnFacts(Message);
    REQUIRE(Message.size() == 128);
    for (const host_link::EngineFacts &Facts : Message)
      Reported.insert(Facts.upstream());
    Test.Clock.advance(milliseconds(250));
  }
  REQUIRE(Reported.size() == 300);
}

TEST_CASE("news that nobody received for long is reported as new") {
  facts_fixture Test;
  Test.Host.noteReading(Test.Near->Id, waiting(1), Test.Clock.now());
  Test.Host.noteReadTime(Test.Near->Id, 100, 500);
  Test.Clock.advance(seconds(20));
  REQUIRE(Test.exchange() == std::pair{0, 0});
}
