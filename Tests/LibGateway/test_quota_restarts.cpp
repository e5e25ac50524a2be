// Guards against a customer that gets more than its quota while hosts restart:
// if each new process starts with a part of the burst, the customer gets that
// part once more at each restart. What a zone's hosts admitted between the last
// report of its former leader and the first one of the next is in no report.

#include "LibCore/result_code.h"
#include "LibGateway/zone_coordinator.h"
#include "LibPeer/host_link_server.h"
#include "Support/fake_platform.h"

#include <algorithm>
#include <memory>
#include <random>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr double Rate = 100'000;
constexpr double Burst = 100'000;
constexpr std::int64_t Units = 1'000;
constexpr milliseconds Tick{50};

struct quota_host;

/// Hosts that exchange what they admit, and the customer's
/// requests.
struct restarting_fleet {
  /// The hosts are spread evenly over \p Zones.
  explicit restarting_fleet(std::size_t Zones);

  std::string zoneOf(std::size_t Index) const {
    return "z" + std::to_string(Index % Zones);
  }

  void start(std::size_t Index);
  /// A host that the balancer forwards to; null if there is none.
  quota_host *pickHost();
  /// Sends the customer's requests for \p Time at \p Load times its rate.
  void run(milliseconds Time, double Load);
  /// Restarts all hosts in turn, \p Together at a time, at \p Load times the
  /// customer's rate.
  void restartAll(std::size_t Together, double Load);
  /// The most units that were admitted within any \p Window.
  std::int64_t mostWithin(seconds Window) const;

  struct admission {
    time_point At;
    std::int64_t Units;
  };

  fake_platform Fake;
  runtime_clock Clock;
  const std::size_t Zones;
  std::vector<std::unique_ptr<quota_host>> Hosts{7};
  std::vector<admission> Admissions;
  std::uint64_t Incarnations = 0;
  std::size_t Refused = 0;
  std::uint64_t Ticks = 0;
  std::mt19937 Random{7};
};

gateway_customer makeCustomer() {
  gateway_customer Customer;
  Customer.Name = "aalst";
  Customer.RatePerSecond = Rate;
  Customer.Burst = Burst;
  return Customer;
}

endpoint linkOf(std::size_t Index) {
  return {"10.0.0." + std::to_string(Index + 1), 1};
}

struct quota_host {
  quota_host(restarting_fleet &Fleet, std::size_t Index,
             std::uint64_t Incarnation)
      : Platform(Fleet.Fake.port()),
        Members(Fleet.Clock, Platform, "members", {}),
        Upstreams(Fleet.Clock, Fleet.zoneOf(Index)), Quota(Fleet.Clock),
        Coordinator(identity(Fleet, Index, Incarnation),
                    {Fleet.Clock,
                     Platform,
                     port(Fleet),
                     Upstreams,
                     Quota,
                     Members,
                     {&Members},
                     [](std::span<const adapter_use>) {},
                     [] { return std::vector<available_slots>(); }}) {
    gateway_configuration Configuration;
    Configuration.Customers = {makeCustomer()};
    Quota.applyConfiguration(Configuration);
  }

  static host_identity identity(const restarting_fleet &Fleet,
                                std::size_t Index, std::uint64_t Incarnation) {
    host_link::Sender Sender;
    Sender.set_protocol(HostLinkProtocol);
    Sender.set_zone(zone_id::ofName(Fleet.zoneOf(Index)).Value);
    Sender.set_incarnation(Incarnation);
    return {"h" + std::to_string(Index), Fleet.zoneOf(Index), linkOf(Index),
            Incarnation, Sender};
  }

  static host_link_port port(restarting_fleet &Fleet) {
    host_link_port Port;
    Port.Sync = [&Fleet](const endpoint &Peer,
                         const host_link::SyncRequest &Request, milliseconds) {
      for (std::size_t Index = 0; Index < Fleet.Hosts.size(); ++Index)
        if (linkOf(Index) == Peer && Fleet.Hosts[Index])
          return Fleet.Hosts[Index]->Coordinator.handleSync(Request);
      throw spindle_error(result_code::PeerUnreachable, "down");
    };
    Port.FetchChanges =
        [](const endpoint &, const host_link::FetchChangesRequest &,
           milliseconds) { return host_link::FetchChangesReply(); };
    return Port;
  }

  void step() {
    Members.poll();
    Coordinator.maintainMembership();
    Coordinator.exchange({});
  }

  platform_port Platform;
  object_mirror Members;
  fleet_table Upstreams;
  customer_quota Quota;
  zone_coordinator Coordinator;
  time_point AcceptsFrom;
};

restarting_fleet::restarting_fleet(std::size_t Zones) : Zones(Zones) {
  Clock.pause();
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    start(Index);
}

void restarting_fleet::start(std::size_t Index) {
  Hosts[Index] = std::make_unique<quota_host>(*this, Index, ++Incarnations);
  // The balancer checks once a second whether a host is ready.
  Hosts[Index]->AcceptsFrom = Clock.now() + milliseconds(Random() % 1'000);
}

quota_host *restarting_fleet::pickHost() {
  std::vector<quota_host *> Accepting;
  for (const std::unique_ptr<quota_host> &Host : Hosts)
    if (Host && Host->AcceptsFrom <= Clock.now())
      Accepting.push_back(Host.get());
  return Accepting.empty() ? nullptr : Accepting[Random() % Accepting.size()];
}

void restarting_fleet::run(milliseconds Time, double Load) {
  const gateway_customer Customer = makeCustomer();
  constexpr std::uint64_t TicksPerExchange = 5;
  for (const time_point End = Clock.now() + Time; Clock.now() < End;) {
    ++Ticks;
    for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
      if (Hosts[Index] && (Ticks + Index) % TicksPerExchange == 0)
        Hosts[Index]->step();
    std::poisson_distribution<int> Arrivals(
        Load * Rate / Units * std::chrono::duration<double>(Tick).count());
    for (int Left = Arrivals(Random); Left > 0; --Left) {
      quota_host *const Host = pickHost();
      if (!Host)
        continue;
      try {
        Host->Quota.charge(Customer, Units);
        Admissions.push_back({Clock.now(), Units});
      } catch (const spindle_error &) {
        ++Refused;
      }
    }
    Clock.advance(Tick);
  }
}

void restarting_fleet::restartAll(std::size_t Together, double Load) {
  for (std::size_t First = 0; First < Hosts.size(); First += Together) {
    const std::size_t End = std::min(Hosts.size(), First + Together);
    for (std::size_t Index = First; Index < End; ++Index)
      Hosts[Index]->Coordinator.leave(false);
    run(milliseconds(500), Load);
    for (std::size_t Index = First; Index < End; ++Index)
      Hosts[Index].reset();
    run(milliseconds(500), Load);
    for (std::size_t Index = First; Index < End; ++Index)
      start(Index);
  }
}

std::int64_t restarting_fleet::mostWithin(seconds Window) const {
  std::int64_t Most = 0;
  std::int64_t Sum = 0;
  std::size_t First = 0;
  for (const admission &Last : Admissions) {
    Sum += Last.Units;
    for (; Admissions[First].At <= Last.At - Window; ++First)
      Sum -= Admissions[First].Units;
    Most = std::max(Most, Sum);
  }
  return Most;
}

} // namespace

namespace {

/// The most units within 8 s, as a part of what is allowed, for a customer at
/// 4.2 times its rate while all hosts restart in turn, three times over.
double mostBesideRestarts(std::size_t Zones, std::size_t Together) {
  constexpr double Load = 4.2;
  constexpr double Tolerance = 0.1;
  constexpr double Slack = Rate / 4;
  restarting_fleet Fleet(Zones);
  Fleet.run(seconds(6), 0.55);
  Fleet.run(seconds(4), Load);
  for (int Round = 0; Round < 3; ++Round)
    Fleet.restartAll(Together, Load);
  Fleet.run(seconds(4), Load);
  const double Allowed = (Rate * 8 + Burst) * (1 + Tolerance) + Slack;
  const double Most = static_cast<double>(Fleet.mostWithin(seconds(8)));
  CHECK(Most >= Rate * 8 * 0.9);
  return Most / Allowed;
}

} // namespace

TEST_CASE("a customer at four times its rate stays within its quota while all "
          "hosts restart in turn") {
  CHECK(mostBesideRestarts(1, 1) <= 1);
  CHECK(mostBesideRestarts(1, 2) <= 1);
  CHECK(mostBesideRestarts(3, 1) <= 1);
}

TEST_CASE("a customer at four times its rate stays within its quota while "
          "hosts of all zones restart two at a time") {
  CHECK(mostBesideRestarts(3, 2) <= 1);
}

TEST_CASE("a customer within its rate is admitted while all hosts restart") {
  const double Load = GENERATE(0.55, 0.7, 0.8);
  const std::size_t Together = GENERATE(1U, 3U);
  const std::size_t Zones = GENERATE(1U, 3U);
  restarting_fleet Fleet(Zones);
  Fleet.run(seconds(6), Load);
  for (int Round = 0; Round < 3; ++Round)
    Fleet.restartAll(Together, Load);
  CHECK(Fleet.Refused * 200 <= Fleet.Admissions.size());
}

TEST_CASE("a ledger takes a zone's usage to go on while its leader changes") {
  const customer_id Customer = customer_id::ofName("aalst");
  const time_point Start{seconds(100)};
  usage_ledger Ledger;
  const auto Report = [&](std::uint64_t Incarnation, std::int64_t Used,
                          milliseconds At) {
    return noteUsageReport(Ledger, "zone b",
                           {Incarnation, {{Customer, Used}}, 3, true},
                           Start + At)[Customer];
  };
  CHECK(Report(1, 1'000, milliseconds(0)) == 0);
  CHECK(Report(1, 1'100, milliseconds(250)) == 100);
  CHECK(Report(2, 7'000, milliseconds(1'250)) == 400);
  CHECK(Report(2, 7'050, milliseconds(1'500)) == 50);
  // A zone that was lost for long isn't charged for all that time.
  CHECK(Report(3, 0, seconds(60)) == 400);
}
