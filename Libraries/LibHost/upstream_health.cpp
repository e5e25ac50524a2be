#include "LibHost/upstream_health.h"

#include "LibLog/log.h"
#include "LibResilience/retry_budget.h"

#include <mutex>
#include <string>
#include <vector>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

struct upstream_health::state {
  state(const runtime_clock &UsedClock, metrics *UsedMetrics)
      : Clock(UsedClock), Metrics(UsedMetrics) {}

  const runtime_clock &Clock;
  metrics *const Metrics;
  mutable std::mutex Mutex;
  // The members below are guarded by Mutex.
  outlier_detector Detector;
  retry_budget_settings BudgetSettings;
  retry_budget HostBudget;
  std::unordered_map<customer_id, retry_budget> CustomerBudgets;
  std::unordered_map<upstream_id, peer_health> Peers;

  retry_budget &budgetOf(customer_id Customer);
  peer_health *findPeer(upstream_id Upstream);
};

/// Returns a customer's budget. Undeclared customers and callers of open routes
/// share the budget of the null customer id, so that the map stays bounded.
retry_budget &upstream_health::state::budgetOf(customer_id Customer) {
  const auto Found = CustomerBudgets.find(Customer);
  if (Found != CustomerBudgets.end())
    return Found->second;
  retry_budget &Shared = CustomerBudgets[customer_id{}];
  Shared.Settings = BudgetSettings;
  return Shared;
}

peer_health *upstream_health::state::findPeer(upstream_id Upstream) {
  const auto Found = Peers.find(Upstream);
  return Found == Peers.end() ? nullptr : &Found->second;
}

upstream_health::upstream_health(const runtime_clock &Clock, metrics *Metrics,
                                 outlier_settings Settings)
    : State(std::make_unique<state>(Clock, Metrics)) {
  State->Detector.Settings = Settings;
}

upstream_health::~upstream_health() = default;

void upstream_health::applyConfiguration(
    const configuration_snapshot &Snapshot) {
  std::vector<zoned_upstream> Places;
  std::unordered_map<upstream_id, peer_health> Peers;
  std::unordered_map<customer_id, retry_budget> Budgets;
  const lock Lock(State->Mutex);
  const time_point Now = State->Clock.now();
  for (const upstream_declaration &Upstream : Snapshot.upstreams()) {
    const upstream_id Id = upstream_id::ofName(Upstream.Name);
    Places.push_back({Id, zone_id::ofName(Upstream.Zone)});
    const peer_health *const Known = State->findPeer(Id);
    if (Known != nullptr)
      Peers[Id] = *Known;
    else
      Peers[Id].LastResponse = Now;
  }
  State->BudgetSettings.RetryPercent = Snapshot.policy().RetryPercent;
  for (const customer_declaration &Customer : Snapshot.customers()) {
    const customer_id Id = customer_id::ofName(Customer.Name);
    const auto Known = State->CustomerBudgets.find(Id);
    if (Known != State->CustomerBudgets.end())
      Budgets[Id] = Known->second;
    Budgets[Id].Settings = State->BudgetSettings;
  }
  State->HostBudget.Settings = State->BudgetSettings;
  setUpstreams(State->Detector, Places, Now);
  State->Peers = std::move(Peers);
  State->CustomerBudgets = std::move(Budgets);
}

double upstream_health::weightOf(upstream_id Upstream) const {
  const lock Lock(State->Mutex);
  return spindle::weightOf(State->Detector, Upstream, State->Clock.now());
}

void upstream_health::noteOutcome(upstream_id Upstream, call_outcome Outcome) {
  {
    const lock Lock(State->Mutex);
    if (!noteCallOutcome(State->Detector, Upstream, Outcome,
                         State->Clock.now()))
      return;
  }
  logEvent(log_event::UpstreamEjected,
           {{"upstream", std::to_string(Upstream.Value)}});
  if (State->Metrics != nullptr)
    State->Metrics->count("spindle_upstream_ejections_total");
}

void upstream_health::noteIncarnation(upstream_id Upstream,
                                      std::uint64_t Incarnation) {
  const lock Lock(State->Mutex);
  spindle::noteIncarnation(State->Detector, Upstream, Incarnation,
                           State->Clock.now());
}

void upstream_health::noteCall(customer_id Customer) {
  const lock Lock(State->Mutex);
  const time_point Now = State->Clock.now();
  earnRetry(State->budgetOf(Customer), Now);
  earnRetry(State->HostBudget, Now);
}

retry_decision upstream_health::mayRetry(customer_id Customer,
                                         const call_progress &Progress,
                                         attempt_failure LastFailure,
                                         time_point Deadline) {
  const lock Lock(State->Mutex);
  const time_point Now = State->Clock.now();
  retry_budget &Budget = State->budgetOf(Customer);
  retry_conditions Circumstances;
  Circumstances.HasTime = Now < Deadline;
  Circumstances.HasBudget =
      hasRetry(Budget, Now) && hasRetry(State->HostBudget, Now);
  const retry_decision Decision =
      decideRetry(Progress, LastFailure, Circumstances);
  if (Decision.Action == retry_action::GiveUp)
    return Decision;
  spendRetry(Budget, Now);
  spendRetry(State->HostBudget, Now);
  if (State->Metrics != nullptr)
    State->Metrics->count("spindle_retries_total");
  return Decision;
}

call_deadlines
upstream_health::deadlinesFor(upstream_id Upstream,
                              const call_deadlines &Route) const {
  const lock Lock(State->Mutex);
  const peer_health *const Peer = State->findPeer(Upstream);
  return Peer == nullptr ? Route : spindle::deadlinesFor(*Peer, Route);
}

connection_choice upstream_health::chooseConnection(upstream_id Upstream,
                                                    bool Idempotent) const {
  const lock Lock(State->Mutex);
  const peer_health *const Peer = State->findPeer(Upstream);
  if (Peer == nullptr)
    return connection_choice::Fresh;
  return spindle::chooseConnection(*Peer, Idempotent);
}

void upstream_health::noteFirstByte(upstream_id Upstream, nanoseconds Latency) {
  const lock Lock(State->Mutex);
  if (peer_health *const Peer = State->findPeer(Upstream))
    spindle::noteFirstByte(*Peer, Latency, State->Clock.now());
}

void upstream_health::noteNextBytes(upstream_id Upstream, nanoseconds Gap) {
  const lock Lock(State->Mutex);
  if (peer_health *const Peer = State->findPeer(Upstream))
    spindle::noteNextBytes(*Peer, Gap, State->Clock.now());
}

connection_advice upstream_health::noteMissedDeadline(upstream_id Upstream) {
  const lock Lock(State->Mutex);
  peer_health *const Peer = State->findPeer(Upstream);
  if (Peer == nullptr)
    return connection_advice::VerifyPool;
  deprioritize(*Peer, State->Clock.now());
  return spindle::noteMissedDeadline(*Peer);
}

bool upstream_health::isDeprioritized(upstream_id Upstream) const {
  const lock Lock(State->Mutex);
  const peer_health *const Peer = State->findPeer(Upstream);
  return Peer != nullptr && spindle::isDeprioritized(*Peer, State->Clock.now());
}

void upstream_health::noteLost(upstream_id Upstream) {
  const lock Lock(State->Mutex);
  if (peer_health *const Peer = State->findPeer(Upstream))
    spindle::noteLost(*Peer, State->Clock.now());
}

bool upstream_health::isLost(upstream_id Upstream) const {
  const lock Lock(State->Mutex);
  const peer_health *const Peer = State->findPeer(Upstream);
  return Peer != nullptr && spindle::isLost(*Peer, State->Clock.now());
}

} // namespace spindle
