#ifndef PARSLEYSPINDLE_TESTS_LIBMEMBERSHIP_SIMULATED_FLEET_H
#define PARSLEYSPINDLE_TESTS_LIBMEMBERSHIP_SIMULATED_FLEET_H

#include "LibCore/result_code.h"
#include "LibHost/membership_agent.h"
#include "Support/fake_platform.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace spindle {

/// One process of a host, with its own clock and connection to the platform.
struct simulated_process {
  std::string Host;
  std::string Zone;
  runtime_clock Clock;
  /// How much faster its clock runs than simulated time, in thousandths.
  int Drift = 0;
  bool Ended = false;
  /// Its host's name has been given to another machine.
  bool NameTaken = false;
  bool Paused = false;
  bool Disconnected = false;
  bool Ticking = false;
  /// The platform's rate limit rejects its writes.
  bool RateLimited = false;
  int LoseResponses = 0;
  int DelayWrites = 0;
  /// Delay only writes to this kind; empty: to every kind.
  std::string DelayedKind;
  /// The number of writes during whose responses other processes run.
  int SlowResponses = 0;
  std::function<void()> DuringResponse;
  std::deque<std::function<void()>> Delayed;
  std::uint64_t Incarnation = 0;
  std::string Boot;
  std::uint64_t Ticks = 0;
  std::unique_ptr<membership_agent> Agent;

  bool actsOn(upstream_id Engine) const {
    const std::shared_ptr<const host_view> View = Agent->view();
    const auto Found = View->Owners.find(Engine);
    return !Ended && Found != View->Owners.end() &&
           Found->second.Host == host_id::ofName(Host) &&
           Clock.now() < View->OwnershipValidUntil;
  }
  std::uint32_t share() const {
    const std::shared_ptr<const host_view> View = Agent->view();
    return !Ended && Clock.now() < View->Share.ValidUntil
               ? View->Share.PartsPerMillion
               : 0;
  }
};

/// Wraps the platform's port so that a process can be disconnected, lose
/// responses after a write took effect, and have writes take effect late.
inline platform_port faultyPort(platform_port Port, simulated_process &P) {
  const auto Check = [&P] {
    if (P.Disconnected)
      throw spindle_error(result_code::PlatformUnavailable, "cut off");
  };
  const auto Write = [&P, Check](std::string_view Kind,
                                 std::function<std::uint64_t()> Operation) {
    Check();
    if (P.RateLimited)
      throw spindle_error(result_code::PlatformRateLimited, "rate limited");
    const bool IsDelayable = P.DelayedKind.empty() || Kind == P.DelayedKind;
    if (P.DelayWrites > 0 && IsDelayable) {
      --P.DelayWrites;
      P.Delayed.push_back([Operation] {
        try {
          Operation();
        } catch (const spindle_error &) {
        }
      });
      throw spindle_error(result_code::PlatformUnavailable, "delayed");
    }
    const std::uint64_t Version = Operation();
    if (P.SlowResponses > 0 && IsDelayable) {
      --P.SlowResponses;
      P.DuringResponse();
    }
    if (P.LoseResponses > 0) {
      --P.LoseResponses;
      throw spindle_error(result_code::PlatformUnavailable, "response lost");
    }
    return Version;
  };
  platform_port Faulty = Port;
  Faulty.Get = [=](std::string_view Kind, std::string_view Name) {
    Check();
    return Port.Get(Kind, Name);
  };
  Faulty.List = [=](std::string_view Kind) {
    Check();
    return Port.List(Kind);
  };
  Faulty.Create = [=](std::string_view Kind, std::string_view Name,
                      std::string_view Body) {
    return Write(Kind,
                 [=, K = std::string(Kind), N = std::string(Name),
                  B = std::string(Body)] { return Port.Create(K, N, B); });
  };
  Faulty.Update = [=](std::string_view Kind, std::string_view Name,
                      std::uint64_t Version, std::string_view Body) {
    return Write(Kind, [=, K = std::string(Kind), N = std::string(Name),
                        B = std::string(Body)] {
      return Port.Update(K, N, Version, B);
    });
  };
  return Faulty;
}

/// Hosts of one or more zones that share one platform.
class simulated_fleet {
public:
  explicit simulated_fleet(std::vector<std::pair<std::string, std::string>> Of)
      : Hosts(std::move(Of)) {
    Settings.Lease.ShareDuration = seconds(60);
    Settings.RebalanceDelay = seconds(15);
  }

  simulated_process &start(std::size_t Host, bool SameBoot) {
    auto P = std::make_unique<simulated_process>();
    P->Host = Hosts[Host].first;
    P->Zone = Hosts[Host].second;
    P->Drift = static_cast<int>(Processes.size() % 3) * 10 - 10;
    P->Clock.pause();
    P->Incarnation = ++LastIncarnation;
    Boots.resize(Hosts.size(), 1);
    Boots[Host] += SameBoot ? 0 : 1;
    membership_settings Own = Settings;
    Own.Name = P->Host;
    Own.Zone = P->Zone;
    Own.Link = {"127.0.0.1", static_cast<std::uint16_t>(7000 + Host)};
    Own.Incarnation = P->Incarnation;
    Own.Boot = std::to_string(Boots[Host]);
    Own.Seed = P->Incarnation;
    P->Boot = Own.Boot;
    P->Agent = std::make_unique<membership_agent>(
        P->Clock, faultyPort(Platform.port(), *P), Own);
    list(Host);
    Processes.push_back(std::move(P));
    return *Processes.back();
  }

  void list(std::size_t Host) {
    try {
      Platform.port().Create("machines", Hosts[Host].first,
                             R"({"role":"host","state":"live","zone":")" +
                                 Hosts[Host].second + "\"}");
    } catch (const spindle_error &) {
    }
  }
  void unlist(std::size_t Host) {
    const auto Object = Platform.port().Get("machines", Hosts[Host].first);
    if (Object)
      Platform.port().Remove("machines", Object->Name, Object->Version);
  }
  /// The host's latest process.
  simulated_process *latestProcess(std::size_t Host) {
    simulated_process *Found = nullptr;
    for (const auto &P : Processes)
      if (P->Host == Hosts[Host].first)
        Found = P.get();
    return Found;
  }

  /// Advances time, then runs one tick of each running process; calls \p Check
  /// after each.
  void step(milliseconds Step, const std::function<void()> &Check) {
    for (const auto &P : Processes)
      P->Clock.advance(nanoseconds(Step) * (1000 + P->Drift) / 1000);
    Check();
    tickAll(Check);
  }

  void tickAll(const std::function<void()> &Check) {
    for (std::size_t Index = 0; Index < Processes.size(); ++Index) {
      simulated_process &P = *Processes[Index];
      if (P.Ended || P.Paused || P.Ticking)
        continue;
      P.Ticks += P.Disconnected ? 0 : 1;
      P.Ticking = true;
      P.DuringResponse = [this, &Check] {
        for (int Step = 0; Step < 9; ++Step)
          step(milliseconds(500), Check);
      };
      P.Agent->tick();
      P.Ticking = false;
      Check();
    }
  }

  fake_platform Platform;
  membership_settings Settings;
  std::vector<std::pair<std::string, std::string>> Hosts;
  std::vector<std::unique_ptr<simulated_process>> Processes;
  std::vector<int> Boots;
  std::uint64_t LastIncarnation = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBMEMBERSHIP_SIMULATED_FLEET_H
