#include "LibCore/result_code.h"
#include "LibHost/suspect_registry.h"
#include "LibHost/upstream_health.h"
#include "Support/fake_platform.h"

#include <memory>
#include <set>
#include <string>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

/// Suspect registries of several hosts, three to a zone, that call each other
/// directly.
struct board_fleet {
  static constexpr int Hosts = 9;

  board_fleet() {
    Clock.pause();
    for (int Host = 0; Host < Hosts; ++Host)
      Registries.push_back(makeRegistry(Host));
    for (int Host = 0; Host < Hosts; ++Host)
      Registries[Host]->applyView(viewOf(Host));
  }

  runtime_clock Clock;
  fake_platform Platform;
  std::vector<std::unique_ptr<suspect_registry>> Registries;
  /// Hosts that other hosts can't reach.
  std::set<int> Unreachable;
  std::size_t Messages = 0;

  static zone_id zoneOf(int Host) {
    return zone_id::ofName("zone" + std::to_string(Host / 3));
  }
  static host_id idOf(int Host) {
    return host_id::ofName("host" + std::to_string(Host));
  }

  std::unique_ptr<suspect_registry> makeRegistry(int Host) {
    suspect_registry_ports Ports;
    Ports.Platform = Platform.port();
    Ports.Self.set_host(idOf(Host).Value);
    Ports.Self.set_zone(zoneOf(Host).Value);
    Ports.Peers.ShareSuspects =
        [this](const endpoint &Peer,
               const host_link::ShareSuspectsRequest &Request, milliseconds) {
          ++Messages;
          if (Unreachable.count(Peer.Port) != 0)
            throw spindle_error(result_code::PeerUnreachable, "disconnected");
          return Registries[Peer.Port]->handleShareSuspects(Request);
        };
    return std::make_unique<suspect_registry>(Clock, nullptr, std::move(Ports));
  }

  std::shared_ptr<const host_view> viewOf(int Self) {
    host_view View;
    for (int Host = 0; Host < Hosts; ++Host) {
      peer_host Peer;
      Peer.Id = idOf(Host);
      Peer.Zone = zoneOf(Host);
      Peer.Link.Port = static_cast<std::uint16_t>(Host);
      if (Host != Self)
        View.Peers.push_back(Peer);
    }
    return std::make_shared<const host_view>(View);
  }

  bool isQuarantined(int Host, request_fingerprint Fingerprint) {
    try {
      Registries[Host]->check(Fingerprint);
      return false;
    } catch (const spindle_error &Error) {
      CHECK(Error.code() == result_code::RequestQuarantined);
      CHECK(Error.state() == run_state::NotRun);
      return true;
    }
  }

  void loseUpstream(int Host, const char *Upstream,
                    request_fingerprint Fingerprint) {
    const upstream_id Id = upstream_id::ofName(Upstream);
    REQUIRE(Registries[Host]->mayStartOn(Id, Fingerprint));
    Registries[Host]->noteStart(Id, Fingerprint);
    Registries[Host]->noteEnd(Id, Fingerprint, run_end::Lost);
    Registries[Host]->shareOnce();
  }
};

} // namespace

static const request_fingerprint Fingerprint =
    request_fingerprint::ofName("crash");

TEST_CASE("every host quarantines a request after its second crash") {
  board_fleet Fleet;
  Fleet.loseUpstream(0, "engine0", Fingerprint);
  for (int Host = 0; Host < board_fleet::Hosts; ++Host) {
    CHECK(Fleet.Registries[Host]->isSuspect(Fingerprint));
    CHECK_FALSE(Fleet.isQuarantined(Host, Fingerprint));
  }
  // Another host sends the request that causes the second crash.
  Fleet.loseUpstream(4, "engine1", Fingerprint);
  for (int Host = 0; Host < board_fleet::Hosts; ++Host)
    CHECK(Fleet.isQuarantined(Host, Fingerprint));
  CHECK_FALSE(Fleet.isQuarantined(0, request_fingerprint::ofName("other")));
  SECTION("sharing without changes sends nothing") {
    const std::size_t Messages = Fleet.Messages;
    const std::size_t Writes = Fleet.Platform.writes();
    Fleet.Registries[0]->shareOnce();
    CHECK(Fleet.Messages == Messages);
    CHECK(Fleet.Platform.writes() == Writes);
  }
  SECTION("it may run again when it was not requested for long enough") {
    Fleet.Clock.advance(seconds(301));
    CHECK_FALSE(Fleet.isQuarantined(0, Fingerprint));
    Fleet.Registries[0]->pullOnce();
    CHECK_FALSE(Fleet.isQuarantined(0, Fingerprint));
  }
}

TEST_CASE("a host that peers can't reach reads suspects from the platform") {
  const request_fingerprint Earlier = request_fingerprint::ofName("earlier");
  board_fleet Fleet;
  Fleet.Unreachable = {8};
  bool WasDown = false;
  SECTION("when the response to a write is lost") {
    Fleet.Platform.setFaults({false, 1, 0});
  }
  SECTION("when a write fails") { Fleet.Platform.setFaults({false, 0, 1}); }
  SECTION("when the platform was down") {
    Fleet.Platform.setFaults({true, 0, 0});
    Fleet.loseUpstream(1, "engine7", Earlier);
    Fleet.Platform.setFaults({});
    WasDown = true;
  }
  Fleet.loseUpstream(0, "engine0", Fingerprint);
  Fleet.loseUpstream(1, "engine1", Fingerprint);
  CHECK_FALSE(Fleet.Registries[8]->isSuspect(Fingerprint));
  Fleet.Registries[0]->shareOnce();
  Fleet.Registries[1]->shareOnce();
  Fleet.Registries[8]->pullOnce();
  CHECK(Fleet.isQuarantined(8, Fingerprint));
  // Records that could not be written during the outage are written later.
  CHECK(Fleet.Registries[8]->isSuspect(Earlier) == WasDown);
}

TEST_CASE("the health of upstreams follows outcomes and budgets") {
  runtime_clock Clock;
  Clock.pause();
  intent Intent;
  Intent.Policy.RetryPercent = 0;
  Intent.Customers.push_back({"a", {}, {}});
  for (const char *Name : {"e0", "e1", "e2"}) {
    upstream_declaration Upstream;
    Upstream.Name = Name;
    Upstream.Zone = "z";
    Intent.Upstreams.push_back(Upstream);
  }
  upstream_health Health(Clock, nullptr);
  Health.applyConfiguration(configuration_snapshot(1, Intent));
  const upstream_id First = upstream_id::ofName("e0");
  for (int Call = 0; Call < 5; ++Call)
    Health.noteOutcome(First, call_outcome::Failure);
  CHECK(Health.weightOf(First) == 0);
  CHECK(Health.weightOf(upstream_id::ofName("e1")) == 1);

  const customer_id Customer = customer_id::ofName("a");
  const time_point Deadline = Clock.now() + seconds(60);
  call_progress Progress;
  Progress.Idempotent = true;
  noteFailedAttempt(Progress, attempt_failure::NotConnected, false);
  int Retries = 0;
  while (
      Health
          .mayRetry(Customer, Progress, attempt_failure::NotConnected, Deadline)
          .Action == retry_action::Retry)
    ++Retries;
  CHECK(Retries == 3);
  // A new configuration does not refill a budget.
  Health.applyConfiguration(configuration_snapshot(2, Intent));
  CHECK(
      Health
          .mayRetry(Customer, Progress, attempt_failure::NotConnected, Deadline)
          .Code == result_code::RetryBudgetExhausted);
}
