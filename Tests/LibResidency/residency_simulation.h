#ifndef PARSLEYSPINDLE_TESTS_LIBRESIDENCY_RESIDENCY_SIMULATION_H
#define PARSLEYSPINDLE_TESTS_LIBRESIDENCY_RESIDENCY_SIMULATION_H

#include "LibResidency/pin_cache.h"
#include "LibResidency/residency_owner.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace spindle {

/// A request that runs on the engine.
struct world_run {
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  adapter_id Adapter;
};

/// A request that waits for a pin.
struct world_ask {
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  std::size_t Owner = 0;
  adapter_id Adapter;
  bool Open = true;
};

struct world_host {
  std::uint64_t Incarnation = 1;
  bool Paused = false;
  pin_cache Pins;
  residency_owner Owner;
  /// What the host believes of the engine's owner and of the other hosts.
  std::size_t OwnerHost = 0;
  std::uint64_t Fence = 0;
  std::vector<pin_holder> Holders;
  std::map<std::uint64_t, std::pair<waiting_pin, std::shared_ptr<world_ask>>>
      Waiters;
};

/// A message that may be delivered at any time or never, and between hosts
/// also twice.
struct world_message {
  std::function<void()> Deliver;
  std::function<void()> Lose;
  bool MayRepeat = false;
};

/// Several hosts, one engine, the platform and the network between them, with
/// the truth of what the engine holds and runs.
struct residency_world {
  static constexpr std::size_t HostCount = 3;
  static constexpr std::size_t AdapterCount = 5;
  static constexpr std::size_t SlotCount = 2;
  static constexpr milliseconds Lease{2'000};
  static constexpr milliseconds Margin{300};
  /// How long an owner lets a request wait.
  static constexpr milliseconds AskLimit{5'000};

  explicit residency_world(bool HonoursFencing);

  /// Does one step of a history: what and to whom is drawn from \p Operation
  /// and \p Argument.
  void step(unsigned Operation, unsigned Argument);
  /// Ends all faults and runs for so many rounds of one second.
  void settle(int Rounds);
  /// Pins and runs every adapter in turn; returns how many could be run.
  std::size_t serveEach();
  std::size_t openAsks() const;

  /// What went wrong, empty if nothing.
  std::string Violation;
  std::size_t Evictions = 0;
  std::size_t Takeovers = 0;
  std::size_t Runs = 0;

private:
  void ask(std::size_t Host, adapter_id Adapter);
  void deliverAsk(const std::shared_ptr<world_ask> &Ask,
                  std::uint64_t Sequence);
  void reply(const std::shared_ptr<world_ask> &Ask, bool Granted,
             std::uint64_t Fence);
  void endAsk(const std::shared_ptr<world_ask> &Ask, bool Granted,
              std::uint64_t Fence);
  void dispatch(std::size_t Host, adapter_id Adapter);
  void finish(std::size_t Run);
  void sync(std::size_t Host);
  void deliverSync(std::size_t Host, std::uint64_t Incarnation,
                   std::size_t Owner, const pin_sync &Sync);
  void resolve(std::size_t Host, const std::vector<pin_resolution> &Resolved);
  void giveUpOld(std::size_t Host);
  void ownerStep(std::size_t Host);
  void sendOrder(std::size_t Host, const residency_order &Order, bool IsLoad);
  void execute(std::size_t Host, const residency_order &Order, bool IsLoad,
               time_point Deadline, const std::shared_ptr<bool> &Answered);
  void endOfOrder(std::size_t Host, std::uint64_t Incarnation,
                  const residency_order &Order, bool IsLoad,
                  order_result Result);
  order_result orderEngine(const residency_order &Order, bool IsLoad);
  void renew(std::size_t Host);
  void takeOwnership(std::size_t Host);
  void learn(std::size_t Host);
  void crash(std::size_t Host);
  void restartEngine();
  void fail(unsigned Kind, std::size_t Host, std::size_t Other);
  void report();
  void deliverAt(std::size_t Index);
  bool isUp(std::size_t Host, std::uint64_t Incarnation) const;
  void violate(std::string Text);

  time_point Now{seconds(1'000)};
  bool HonoursFencing;
  bool FailLoads = false;
  upstream_id Engine{77};
  std::set<adapter_id> Loaded;
  std::vector<world_run> Running;
  std::uint64_t EngineIncarnation = 1;
  std::uint64_t FenceSeen = 0;
  std::size_t PlatformOwner = 0;
  std::uint64_t PlatformFence = 0;
  std::uint64_t PlatformOwnerIncarnation = 0;
  time_point PlatformValidUntil;
  std::vector<world_host> Hosts{HostCount};
  std::vector<std::shared_ptr<world_ask>> Asks;
  std::deque<world_message> Network;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBRESIDENCY_RESIDENCY_SIMULATION_H
