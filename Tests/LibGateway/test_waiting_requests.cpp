// Guards against a wait that operators don't see, or that stays counted after
// its request has ended.
#include "LibGateway/waiting_requests.h"

#include <optional>

#include <catch2/catch.hpp>

using namespace spindle;

TEST_CASE("the metrics state who waits for an adapter and how long") {
  runtime_clock Clock;
  Clock.pause();
  waiting_requests Requests(Clock);
  const wait_owner Owner{"models", "aalst"};
  std::optional<waiting_requests::registration> First;
  First.emplace(Requests, Owner);
  Clock.advance(seconds(2));
  const waiting_requests::registration Second(Requests, Owner);
  const auto Reported = [&Requests] {
    metrics Metrics;
    Requests.report(Metrics);
    return Metrics.toText();
  };
  const std::string Labels = "{customer=\"aalst\",service=\"models\"}";
  const std::string Waits = "spindle_adapter_waits" + Labels;
  const std::string Oldest = "spindle_adapter_oldest_wait_seconds" + Labels;
  REQUIRE(Reported().find(Waits + " 2") != std::string::npos);
  REQUIRE(Reported().find(Oldest + " 2") != std::string::npos);
  First.reset();
  REQUIRE(Reported().find(Waits + " 1") != std::string::npos);
  REQUIRE(Reported().find(Oldest + " 0") != std::string::npos);
}
