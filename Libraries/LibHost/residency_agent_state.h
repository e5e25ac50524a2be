#ifndef PARSLEYSPINDLE_LIBHOST_RESIDENCY_AGENT_STATE_H
#define PARSLEYSPINDLE_LIBHOST_RESIDENCY_AGENT_STATE_H

#include "LibHost/residency_agent.h"
#include "LibResidency/pin_cache.h"
#include "LibResidency/poll_schedule.h"
#include "LibResidency/residency_owner.h"
#include "LibRuntime/completion.h"

#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

namespace spindle {

/// An engine's load according to its last report.
struct reported_load {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  time_point ReportedAt;
};

/// The implementation of residency_agent. A thread that holds ViewMutex may
/// lock one other mutex. No further nesting is allowed, and no lock may be held
/// while waiting.
struct residency_agent::state : std::enable_shared_from_this<state> {
  state(const runtime_clock &Clock, residency_ports Ports,
        const host_link::Sender &Self, engine_table &Engines, metrics *Metrics,
        residency_agent_settings Settings)
      : Clock(Clock), Ports(std::move(Ports)), Self(Self), Engines(Engines),
        Metrics(Metrics), Settings(Settings) {}

  const runtime_clock &Clock;
  residency_ports Ports;
  host_link::Sender Self;
  engine_table &Engines;
  metrics *Metrics;
  residency_agent_settings Settings;

  mutable std::mutex ViewMutex;
  std::shared_ptr<const host_view> View = std::make_shared<host_view>();
  snapshot_pointer Configuration;
  bool Draining = false;
  /// Engines and hosts with a poll or a sync in progress.
  std::set<std::uint64_t> PollsInProgress;
  poll_schedule Polls;

  std::mutex PinMutex;
  pin_cache Pins;

  std::mutex OwnerMutex;
  residency_owner Owner;
  std::map<std::uint64_t, std::function<void(pin_resolution)>> Waiters;
  std::unordered_map<adapter_id, std::string> Names;
  std::map<upstream_id, reported_load> Loads;
  /// The sequence number of the last cache event processed for each engine.
  std::map<upstream_id, std::uint64_t> CacheSequences;

  // View and configuration.
  std::shared_ptr<const host_view> view() const;
  snapshot_pointer configuration() const;
  host_id selfId() const { return {Self.host()}; }
  /// The live hosts, this one included.
  std::vector<pin_holder> holders(const host_view &View) const;
  /// Marks a poll of \p Id as in progress; returns false if one already is.
  bool beginPolling(std::uint64_t Id);
  void endPolling(std::uint64_t Id);
  endpoint addressOf(upstream_id Engine) const;
  void count(std::string_view Name, const metric_labels &Labels) const;

  // Duties as the owner of engines. Waiters are notified after the lock is
  // released.
  void notifyWaiters(const std::vector<pin_resolution> &Resolved);
  std::string nameOf(adapter_id Adapter);
  void updateOwnedEngines(const host_view &View);
  void runOrder(const residency_order &Order);
  bool unloadVictim(const residency_order &Order);
  order_result sendEngineOrder(const residency_order &Order, adapter_id Adapter,
                               bool IsLoad);
  milliseconds orderTimeout(const residency_order &Order);
  void runLoads();
  void updateFences();
  bool startOneLoad(const std::vector<pin_holder> &Holders);
  void resolveWaiting();
  host_link::PinReply handlePin(const host_link::PinRequest &Request);
  host_link::PinReply waitForPin(const waiting_pin &Waiting,
                                 completion<pin_resolution> &Completion,
                                 milliseconds Limit);
  host_link::SyncPinsReply
  handleSyncPins(const host_link::SyncPinsRequest &Request);
  host_link::ResidencyReply
  handleResidency(const host_link::ResidencyRequest &Request);

  // Polling of reports.
  void pollEngine(upstream_id Engine);
  void pollOwners(const host_view &View,
                  const std::map<host_id, std::vector<upstream_id>> &Owned);
  void pollOwner(const peer_host &Peer, const std::vector<upstream_id> &Owned);
  void fetchCacheEvents(upstream_id Engine, const endpoint &Address);
  void applyEngineReport(upstream_id Engine, const engine_report &Report);

  // This host's own pins.
  void syncWith(host_id Host, const endpoint &Link,
                const std::vector<fenced_engine> &Engines);
  void applySyncReply(const pin_sync &Sync,
                      const host_link::SyncPinsReply &Reply);
};

/// The result code that reports \p Verdict to the requester of a pin.
result_code resultOf(pin_verdict Verdict);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_RESIDENCY_AGENT_STATE_H
