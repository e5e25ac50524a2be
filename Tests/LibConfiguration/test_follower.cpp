#include "LibConfiguration/configuration_codec.h"
#include "LibConfiguration/configuration_plan.h"
#include "LibConfiguration/intent_text.h"
#include "LibCore/result_code.h"
#include "LibHost/configuration_follower.h"
#include "LibLog/log.h"
#include "Support/fake_platform.h"
#include "sample_intent.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

/// A host with a configuration follower.
struct following_host {
  peer_host Peer;
  bool CutFromPlatform = false;
  bool CutFromPeers = false;
  /// Whether it corrupts the parts that it sends.
  bool CorruptsParts = false;
  /// Whether it reads the first head instead of the current one.
  bool ReadsFirstHead = false;
  std::unique_ptr<configuration_follower> Follower;
  std::vector<std::uint64_t> Applied;
  time_point NextPoll;
};

/// Hosts in two zones that communicate in memory.
class following_fleet {
public:
  explicit following_fleet(int Count) {
    startLogging({log_severity::Error, false});
    Clock.pause();
    for (int Index = 0; Index < Count; ++Index)
      add(Index % 3 == 0 ? "b" : "a");
    for (const auto &Host : Hosts)
      updateView(*Host);
  }

  following_host &add(const std::string &Zone) {
    Hosts.push_back(std::make_unique<following_host>());
    following_host &Host = *Hosts.back();
    const std::string Name = "h" + std::to_string(Hosts.size());
    Host.Peer = {host_id::ofName(Name),
                 Name,
                 zone_id::ofName(Zone),
                 {"127.0.0.1", static_cast<std::uint16_t>(Hosts.size())},
                 1,
                 0,
                 false};
    host_link::Sender Self;
    Self.set_host(Host.Peer.Id.Value);
    Self.set_zone(Host.Peer.Zone.Value);
    configuration_follower_settings Settings;
    Settings.Seeds = {{"127.0.0.1", 1}, {"127.0.0.1", 2}};
    Host.Follower = std::make_unique<configuration_follower>(
        Clock, makePlatformPort(Host), makeLinkPort(Host), Self, Settings);
    Host.Follower->onChange([&Host](const snapshot_pointer &Snapshot) {
      Host.Applied.push_back(Snapshot->version());
    });
    return Host;
  }

  void updateView(following_host &Host) {
    host_view View;
    for (const auto &Other : Hosts)
      if (Other.get() != &Host)
        View.Peers.push_back(Other->Peer);
    View.FleetHosts = static_cast<std::uint32_t>(Hosts.size());
    Host.Follower->applyView(View);
  }

  platform_port makePlatformPort(following_host &Host) {
    platform_port Port = Platform.port();
    Port.Get = [this, &Host, Get = Port.Get](std::string_view Kind,
                                             std::string_view Name) {
      if (Host.CutFromPlatform)
        throw spindle_error(result_code::PlatformUnavailable, "cut");
      if (Host.ReadsFirstHead && FirstHead && Kind == FirstHead->Kind)
        return FirstHead;
      return Get(Kind, Name);
    };
    return Port;
  }

  following_host &reach(following_host &From, const endpoint &Peer) {
    following_host &To = *Hosts.at(Peer.Port - 1U);
    if (From.CutFromPeers || To.CutFromPeers)
      throw spindle_error(result_code::PeerUnreachable, "cut");
    return To;
  }

  host_link_port makeLinkPort(following_host &Host) {
    host_link_port Link;
    Link.Announce = [this, &Host](const endpoint &Peer,
                                  const host_link::AnnounceRequest &Request,
                                  milliseconds) {
      return reach(Host, Peer).Follower->handleAnnounce(Request);
    };
    Link.FetchPart = [this, &Host](const endpoint &Peer,
                                   const host_link::FetchPartRequest &Request,
                                   milliseconds) {
      following_host &To = reach(Host, Peer);
      host_link::FetchPartReply Reply = To.Follower->handleFetchPart(Request);
      if (To.CorruptsParts && !Request.digest().empty() && Reply.found())
        Reply.mutable_content()->back() ^= 1;
      return Reply;
    };
    return Link;
  }

  /// Advances the clock; each host polls when due and gossips every second.
  void runFor(int Seconds) {
    for (int Second = 0; Second < Seconds; ++Second) {
      Clock.advance(seconds(1));
      for (const auto &Host : Hosts) {
        if (Clock.now() >= Host->NextPoll) {
          Host->Follower->pollOnce();
          Host->NextPoll = Clock.now() + Host->Follower->pollInterval();
        }
        Host->Follower->gossipOnce();
      }
    }
  }

  void change(double Rate) {
    intent Intent = sampleIntent();
    Intent.Customers[0].Rate = {Rate};
    const platform_port Port = Platform.port();
    confirmPlan(Port,
                makePlan(readConfiguration(Port), Intent, std::to_string(Rate)),
                {"anna", {0}, [](milliseconds) {}});
    if (!FirstHead)
      FirstHead = Port.Get(platform_kind::ConfigurationHeads, "head");
  }

  static std::uint64_t version(const following_host &Host) {
    const snapshot_pointer Current = Host.Follower->current();
    return Current == nullptr ? 0 : Current->version();
  }

  runtime_clock Clock;
  fake_platform Platform;
  std::optional<platform_object> FirstHead;
  std::vector<std::unique_ptr<following_host>> Hosts;
};

} // namespace

TEST_CASE("a change is in force on 7 hosts within 5 s without any watch, also "
          "where the platform can't be reached") {
  following_fleet Fleet(7);
  Fleet.change(1);
  Fleet.runFor(5);
  Fleet.Hosts[2]->CutFromPlatform = true;
  Fleet.Hosts[4]->CutFromPeers = true;
  Fleet.change(2);
  Fleet.runFor(5);
  for (const auto &Host : Fleet.Hosts) {
    CHECK(Host->Applied == std::vector<std::uint64_t>{1, 2});
    CHECK(Fleet.Clock.now() - Host->Follower->lastConfirmed() <= seconds(10));
  }
}

TEST_CASE("a relay with a watch notifies its zone immediately") {
  following_fleet Fleet(16);
  Fleet.change(1);
  Fleet.runFor(5);
  Fleet.change(2);
  std::size_t Relays = 0;
  for (const auto &Host : Fleet.Hosts) {
    if (!Host->Follower->isRelay())
      continue;
    ++Relays;
    CHECK(Host->Follower->watchOnce(seconds(1)));
    Host->Follower->gossipOnce();
  }
  CHECK(Relays == 4);
  for (const auto &Host : Fleet.Hosts)
    CHECK(following_fleet::version(*Host) == 2);
}

TEST_CASE(
    "a host that starts in an outage gets the configuration of its peers") {
  following_fleet Fleet(3);
  Fleet.change(1);
  Fleet.runFor(5);
  Fleet.Platform.setFaults({true, 0, 0});
  following_host &Late = Fleet.add("a");
  Late.Follower->pollOnce();
  CHECK(following_fleet::version(Late) == 1);
  CHECK(Fleet.Clock.now() - Late.Follower->lastConfirmed() <= seconds(10));
  Fleet.runFor(60);
  CHECK(Fleet.Clock.now() - Late.Follower->lastConfirmed() >= seconds(60));
}

TEST_CASE("parts corrupted by a peer are refused and fetched elsewhere") {
  following_fleet Fleet(3);
  Fleet.change(1);
  Fleet.Hosts[0]->Follower->pollOnce();
  Fleet.Hosts[0]->CorruptsParts = true;
  Fleet.Hosts[1]->CutFromPlatform = true;
  Fleet.Hosts[1]->Follower->pollOnce();
  CHECK(following_fleet::version(*Fleet.Hosts[1]) == 0);
  Fleet.Hosts[2]->Follower->pollOnce();
  Fleet.runFor(3);
  CHECK(following_fleet::version(*Fleet.Hosts[1]) == 1);
}

TEST_CASE("polls of a large fleet stay within a call budget") {
  following_fleet Fleet(1);
  host_view View;
  for (const std::uint32_t Hosts : {7U, 370U, 5'000U}) {
    View.FleetHosts = Hosts;
    Fleet.Hosts[0]->Follower->applyView(View);
    const double Interval =
        std::chrono::duration<double>(Fleet.Hosts[0]->Follower->pollInterval())
            .count();
    CHECK(Hosts / Interval <= 120);
    CHECK((Hosts > 370 || Interval <= 11));
  }
}

TEST_CASE("versions only increase on each host and reach all connected "
          "hosts") {
  rc::prop("any sequence of changes, disconnections, outages, stale reads", [] {
    following_fleet Fleet(5);
    for (int Step = 0; Step < 20; ++Step) {
      following_host &Host = *Fleet.Hosts[*rc::gen::inRange<std::size_t>(0, 5)];
      switch (*rc::gen::inRange(0, 8)) {
      case 0:
        Host.CutFromPlatform = !Host.CutFromPlatform;
        break;
      case 1:
        Host.CutFromPeers = !Host.CutFromPeers;
        break;
      case 2:
        Fleet.Platform.setFaults({*rc::gen::arbitrary<bool>(), 0, 0});
        break;
      case 3:
        Host.CorruptsParts = !Host.CorruptsParts;
        break;
      case 4:
        Host.ReadsFirstHead = !Host.ReadsFirstHead;
        break;
      default:
        Fleet.Platform.setFaults({});
        Fleet.change(Step + 1);
      }
      Fleet.runFor(*rc::gen::inRange(0, 4));
      for (const auto &Each : Fleet.Hosts)
        RC_ASSERT(std::is_sorted(Each->Applied.begin(), Each->Applied.end(),
                                 std::less_equal<>()));
    }
    Fleet.Platform.setFaults({});
    for (const auto &Each : Fleet.Hosts)
      Each->CutFromPlatform = Each->ReadsFirstHead = false;
    Fleet.runFor(5);
    const auto Head = readConfigurationHead(Fleet.Platform.port());
    for (const auto &Each : Fleet.Hosts)
      RC_ASSERT(following_fleet::version(*Each) ==
                (Head ? Head->first.Version : 0));
  });
}
