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

/// A host's view of its upstreams' health, and its remaining retry budgets.
/// Every method is thread-safe and none blocks.
class upstream_health {
public:
  /// \p Clock and \p Metrics must outlive the object. \p Metrics may be null.
  upstream_health(const runtime_clock &Clock, metrics *Metrics,
                  outlier_settings Settings = {});
  ~upstream_health();
  upstream_health(const upstream_health &) = delete;
  upstream_health &operator=(const upstream_health &) = delete;

  /// Applies the set of upstreams and the retry percentage.
  void applyConfiguration(const configuration_snapshot &Snapshot);
  /// The fraction of its usual load that the upstream should get, in [0, 1].
  double weightOf(upstream_id Upstream) const;
  /// Records the outcome of an attempt.
  void noteOutcome(upstream_id Upstream, call_outcome Outcome);
  /// Records the incarnation in an engine's last report. It changes when the
  /// engine restarts.
  void noteIncarnation(upstream_id Upstream, std::uint64_t Incarnation);

  /// Records a caller's call. Called once per call, regardless of retries.
  void noteCall(customer_id Customer);
  /// Decides what follows a failed attempt of a customer's call. A retry or
  /// resumption that it allows is charged to the budgets.
  /// Precondition: noteFailedAttempt() has added \p LastFailure.
  retry_decision mayRetry(customer_id Customer, const call_progress &Progress,
                          attempt_failure LastFailure, time_point Deadline);

  /// The deadlines for a call, adapted to the upstream's measured latency.
  call_deadlines deadlinesFor(upstream_id Upstream,
                              const call_deadlines &Route) const;
  /// Decides whether a call may use a pooled connection.
  connection_choice chooseConnection(upstream_id Upstream,
                                     bool Idempotent) const;
  void noteFirstByte(upstream_id Upstream, nanoseconds Latency);
  void noteNextBytes(upstream_id Upstream, nanoseconds Gap);
  /// Records that a deadline passed. The caller closes the connection, discards
  /// the peer's idle ones, and tries a new connection if the result is
  /// VerifyPool.
  connection_advice noteMissedDeadline(upstream_id Upstream);
  /// Returns whether other upstreams are preferred because a call to this one
  /// recently passed its deadline and nothing has been received from it since.
  bool isDeprioritized(upstream_id Upstream) const;
  /// Records that the connection to the upstream was lost during a call.
  void noteLost(upstream_id Upstream);
  /// Returns whether the connection to the upstream was lost recently and
  /// nothing has been received from it since. Such an upstream is used only if
  /// no other is left.
  bool isLost(upstream_id Upstream) const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_UPSTREAM_HEALTH_H
