#include "LibGateway/registered_upstreams.h"

#include <initializer_list>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr time_point Return{seconds(100)};
constexpr platform_availability Unavailable{false, time_point(seconds(1))};
constexpr platform_availability Returned{true, Return};

std::map<std::string, upstream_pointer>
registered(std::initializer_list<std::string> Names, bool Draining = false) {
  std::map<std::string, upstream_pointer> Entries;
  for (const std::string &Name : Names) {
    upstream_entry Entry;
    Entry.Name = Name;
    Entry.Draining = Draining;
    Entries[Name] = std::make_shared<const upstream_entry>(Entry);
  }
  return Entries;
}

} // namespace

TEST_CASE("an upstream that leaves after an outage gets further requests") {
  registered_upstreams Upstreams;
  Upstreams.Entries = registered({"a", "b"});
  applyRegistrations(Upstreams, registered({"a", "b"}), Returned,
                     Return + milliseconds(100));
  applyRegistrations(Upstreams, registered({"b"}), Returned,
                     Return + milliseconds(1'300));
  REQUIRE_FALSE(Upstreams.Entries.contains("a"));
}

TEST_CASE("upstreams whose registration expires in an outage are given up") {
  registered_upstreams Upstreams;
  Upstreams.Entries = registered({"a", "b"});
  REQUIRE(applyRegistrations(Upstreams, registered({"b"}), Unavailable,
                             Return - milliseconds(500)) ==
          std::vector<std::string>{"a"});
  for (const int Milliseconds : {0, 700, 2'000}) {
    REQUIRE(applyRegistrations(Upstreams, registered({"b"}), Returned,
                               Return + milliseconds(Milliseconds))
                .empty());
    REQUIRE(Upstreams.Entries.contains("a"));
  }
  applyRegistrations(Upstreams, registered({"b"}), Returned,
                     Return + milliseconds(2'300));
  REQUIRE_FALSE(Upstreams.Entries.contains("a"));
}

TEST_CASE("a registration that expired in an outage and was renewed is kept "
          "when the upstream leaves") {
  registered_upstreams Upstreams;
  Upstreams.Entries = registered({"a"});
  applyRegistrations(Upstreams, {}, Unavailable, Return - milliseconds(500));
  applyRegistrations(Upstreams, registered({"a"}), Returned,
                     Return + milliseconds(900));
  applyRegistrations(Upstreams, {}, Returned, Return + milliseconds(1'200));
  REQUIRE(Upstreams.Entries.empty());
}

TEST_CASE("an upstream that drained is used on in an outage") {
  registered_upstreams Upstreams;
  Upstreams.Entries = registered({"a"}, true);
  applyRegistrations(Upstreams, {}, Unavailable, Return);
  REQUIRE(Upstreams.Entries.empty());
}
