#ifndef PARSLEYSPINDLE_TESTS_LIBRESIDENCY_RESIDENCY_SIMULATION_H
#define PARSLEYSPINDLE_TESTS_LIBRESIDENCY_RESIDENCY_SIMULATION_H

#include "LibResidency/pin_cache.h"
#include "LibResidency/residency_owner.h"

#include <deque>
#include <functional>
#include <memory>
#include <set>

namespace spindle {

/// A request that is running on the engine.
struct simulated_run {
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  adapter_id Adapter;
};

/// A request that waits for a pin.
struct simulated_pin_request {
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  std::size_t Owner = 0;
  adapter_id Adapter;
  bool Open = true;
};

struct simulated_host {
  std::uint64_t Incarnation = 1;
  bool Paused = false;
  pin_cache Pins;
  residency_owner Owner;
  /// The host's view of the engine's owner and of the live hosts; it may be
  /// outdated.
  std::size_t OwnerHost = 0;
  std::uint64_t Fence = 0;
  std::vector<pin_holder> Holders;
  std::map<std::uint64_t,
           std::pair<waiting_pin, std::shared_ptr<simulated_pin_request>>>
      Waiters;
};

/// A message that may be delivered at any time or dropped. Messages between
/// hosts may also be delivered twice.
struct simulated_message {
  std::function<void()> Deliver;
  std::function<void()> Drop;
  bool MayDuplicate = false;
};

/// Simulates several hosts, one engine, the platform and the network between
/// them, and tracks which adapters the engine actually holds and runs.
struct residency_simulation {
  static constexpr std::size_t HostCount = 3;
  static constexpr std::size_t AdapterCount = 5;
  static constexpr std::size_t SlotCount = 2;
  static constexpr milliseconds Lease{2'000};
  static constexpr milliseconds Margin{300};
  /// How long a pin request may wait at an owner.
  static constexpr milliseconds MaxWait{5'000};

  explicit residency_simulation(bool HonoursFencing);

  /// Executes one step of a history: \p Operation selects the kind of event and
  /// \p Argument its targets.
  void runStep(unsigned Operation, unsigned Argument);
  /// Ends failing loads and pauses, then runs \p Rounds rounds of one second
  /// without faults.
  void settle(int Rounds);
  /// Runs one request for each adapter in turn; returns how many could be run.
  std::size_t serveEachAdapter();
  std::size_t openRequestCount() const;

  /// The first invariant violation, or empty if there was none.
  std::string Violation;
  std::size_t Evictions = 0;
  std::size_t Takeovers = 0;
  std::size_t Runs = 0;

private:
  void requestAdapter(std::size_t Host, adapter_id Adapter);
  void
  deliverPinRequest(const std::shared_ptr<simulated_pin_request> &PinRequest,
                    std::uint64_t Sequence);
  void sendReply(const std::shared_ptr<simulated_pin_request> &PinRequest,
                 bool Granted, std::uint64_t Fence);
  void
  finishPinRequest(const std::shared_ptr<simulated_pin_request> &PinRequest,
                   bool Granted, std::uint64_t Fence);
  void startRun(std::size_t Host, adapter_id Adapter);
  void finishRun(std::size_t Run);
  void sync(std::size_t Host);
  void deliverSync(std::size_t Host, std::uint64_t Incarnation,
                   std::size_t Owner, const pin_sync &Sync);
  void resolve(std::size_t Host, const std::vector<pin_resolution> &Resolved);
  void cancelExpiredWaits(std::size_t Host);
  void runOwner(std::size_t Host);
  void sendOrder(std::size_t Host, const residency_order &Order, bool IsLoad);
  void executeOrder(std::size_t Host, const residency_order &Order, bool IsLoad,
                    time_point Deadline, const std::shared_ptr<bool> &Answered);
  void finishOrder(std::size_t Host, std::uint64_t Incarnation,
                   const residency_order &Order, bool IsLoad,
                   order_result Result);
  order_result orderEngine(const residency_order &Order, bool IsLoad);
  void renewLease(std::size_t Host);
  void takeOwnership(std::size_t Host);
  void refreshView(std::size_t Host);
  void crash(std::size_t Host);
  void restartEngine();
  void injectFault(unsigned Kind, std::size_t Host, std::size_t Other);
  void sendReport();
  void deliverAt(std::size_t Index);
  bool isUp(std::size_t Host, std::uint64_t Incarnation) const;
  void recordViolation(std::string Text);

  time_point Now{seconds(1'000)};
  bool HonoursFencing;
  bool FailLoads = false;
  upstream_id Engine{77};
  std::set<adapter_id> Loaded;
  std::vector<simulated_run> Running;
  std::uint64_t EngineIncarnation = 1;
  std::uint64_t FenceSeen = 0;
  std::size_t PlatformOwner = 0;
  std::uint64_t PlatformFence = 0;
  std::uint64_t PlatformOwnerIncarnation = 0;
  time_point PlatformValidUntil;
  std::vector<simulated_host> Hosts{HostCount};
  std::vector<std::shared_ptr<simulated_pin_request>> PinRequests;
  std::deque<simulated_message> Network;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBRESIDENCY_RESIDENCY_SIMULATION_H
