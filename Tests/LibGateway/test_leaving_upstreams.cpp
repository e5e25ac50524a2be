#include "LibGateway/fleet_table.h"

#include <memory>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

upstream_pointer engine(std::int64_t StartedAt) {
  upstream_entry Entry;
  Entry.Name = "e";
  Entry.Id = upstream_id::ofName(Entry.Name);
  Entry.Service = "models";
  Entry.Zone = "a";
  Entry.StartedAt = StartedAt;
  return std::make_shared<const upstream_entry>(Entry);
}

upstream_statement leaving() {
  upstream_statement Statement;
  Statement.Leaving = true;
  return Statement;
}

struct leaving_fixture {
  leaving_fixture() {
    Clock.pause();
    Table.applyUpstreams({Engine});
    Peer.applyUpstreams({Engine});
  }

  void exchange() {
    host_link::UpstreamStatements Message;
    Table.writeStatements(Message);
    Peer.mergeStatements(Message);
  }

  runtime_clock Clock;
  fleet_table Table{Clock, "a"};
  fleet_table Peer{Clock, "a"};
  upstream_pointer Engine = engine(1);
};

} // namespace

TEST_CASE(
    "an upstream that stated that it leaves gets requests of this host or "
    "of others") {
  leaving_fixture Test;
  REQUIRE(Test.Table.admit(Test.Engine->Id));
  REQUIRE(Test.Table.noteStatement(Test.Engine->Id, leaving(), {}).Leaving);
  REQUIRE_FALSE(
      Test.Table.noteStatement(Test.Engine->Id, leaving(), {}).Leaving);
  REQUIRE_FALSE(Test.Table.admit(Test.Engine->Id));
  REQUIRE_FALSE(Test.Table.hasUpstream("models"));
  REQUIRE(Test.Peer.admit(Test.Engine->Id));
  Test.exchange();
  REQUIRE_FALSE(Test.Peer.admit(Test.Engine->Id));
  // Its registration is renewed, and does not show it.
  Test.Clock.advance(seconds(10));
  Test.Peer.applyUpstreams({engine(1)});
  Test.Table.applyUpstreams({engine(1)});
  REQUIRE_FALSE(Test.Peer.admit(Test.Engine->Id));
  REQUIRE_FALSE(Test.Table.admit(Test.Engine->Id));
}

TEST_CASE("an upstream that starts anew is shut out by its predecessor's "
          "statement") {
  leaving_fixture Test;
  Test.Table.noteStatement(Test.Engine->Id, leaving(), {});
  Test.Table.applyUpstreams({engine(2)});
  Test.Peer.applyUpstreams({engine(2)});
  Test.exchange();
  REQUIRE(Test.Table.admit(Test.Engine->Id));
  REQUIRE(Test.Peer.admit(Test.Engine->Id));
}

TEST_CASE("an upstream that stays in spite of its statement is lost for good") {
  leaving_fixture Test;
  Test.Table.noteStatement(Test.Engine->Id, leaving(), {});
  Test.exchange();
  Test.Clock.advance(seconds(301));
  Test.Table.applyUpstreams({engine(1)});
  Test.exchange();
  Test.Peer.applyUpstreams({engine(1)});
  REQUIRE(Test.Table.admit(Test.Engine->Id));
  REQUIRE(Test.Peer.admit(Test.Engine->Id));
}
