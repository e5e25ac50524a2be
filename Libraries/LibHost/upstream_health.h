#ifndef PARSLEYSPINDLE_LIBHOST_UPSTREAM_HEALTH_H
#define PARSLEYSPINDLE_LIBHOST_UPSTREAM_HEALTH_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibCore/runtime_clock.h"
#include "LibMetrics/metrics.h"
#include "LibResilience/outlier_detector.h"
#include "LibResilience/peer_health.h"
#include "LibResilience/retry_decision.h"

#include <memory>

namespace spindle {

/// What a host knows of its upstreams' health, and how many retries it may
/// still make. Thread-safe in every method; none blocks.
class upstream_health {
public:
  /// \p Clock and \p Metrics must outlive the object. \p Metrics may be null.
  upstream_health(const runtime_clock &Clock, metrics *Metrics,
                  outlier_settings Settings = {});
  ~upstream_health();
  upstream_health(const upstream_health &) = delete;
  upstream_health &operator=(const upstream_health &) = delete;

  /// Takes the set of upstreams and the share of retries.
  void applyConfiguration(const configuration_snapshot &Snapshot);
  /// The part of its usual work that the upstream should get, in [0, 1].
  double weightOf(upstream_id Upstream) const;
  /// Notes the outcome of an attempt.
  void noteOutcome(upstream_id Upstream, call_outcome Outcome);
  /// Notes which start of an engine its last report showed.
  void noteIncarnation(upstream_id Upstream, std::uint64_t Incarnation);

  /// Notes a caller's call, once, however often it is retried.
  void noteCall(customer_id Customer);
  /// Decides what follows a failed attempt of a customer's call; a retry or a
  /// resumption that it allows is taken from the budgets.
  /// Precondition: noteFailedAttempt() has added \p LastFailure.
  retry_decision mayRetry(customer_id Customer, const call_progress &Progress,
                          attempt_failure LastFailure, time_point Deadline);

  /// The deadlines for a call, adapted to the upstream's measured latency.
  call_deadlines deadlinesFor(upstream_id Upstream,
                              const call_deadlines &Route) const;
  /// Which connection a call may use.
  connection_choice chooseConnection(upstream_id Upstream,
                                     bool Idempotent) const;
  void noteFirstByte(upstream_id Upstream, nanoseconds Latency);
  void noteNextBytes(upstream_id Upstream, nanoseconds Gap);
  /// Notes that a deadline passed. The caller closes the connection, discards
  /// the peer's idle ones, and tries a new connection if VerifyPool says so.
  connection_advice noteMissedDeadline(upstream_id Upstream);
  /// Tells whether another upstream is preferred, as a call to this one passed
  /// its deadline lately and nothing was heard since.
  bool isDeprioritized(upstream_id Upstream) const;
  /// Notes that the upstream's connection was lost while a call ran.
  void noteLost(upstream_id Upstream);
  /// Tells whether the upstream was lost a short while ago and not heard
  /// since; it is used only if no other is left.
  bool isLost(upstream_id Upstream) const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_UPSTREAM_HEALTH_H
