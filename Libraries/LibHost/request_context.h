#ifndef PARSLEYSPINDLE_LIBHOST_REQUEST_CONTEXT_H
#define PARSLEYSPINDLE_LIBHOST_REQUEST_CONTEXT_H

#include "LibHTTP/http_client.h"
#include "LibHTTP/http_server.h"
#include "LibHost/caller_identity.h"
#include "LibHost/configuration_follower.h"
#include "LibHost/dispatch_queue.h"
#include "LibHost/engine_table.h"
#include "LibHost/in_flight_requests.h"
#include "LibHost/order_executor.h"
#include "LibHost/rate_limiter.h"
#include "LibHost/residency_agent.h"
#include "LibHost/suspect_registry.h"
#include "LibHost/upstream_health.h"
#include "LibMetrics/metrics.h"
#include "LibScheduling/load_fairness.h"

#include <optional>

namespace spindle {

/// The components of a host that the request handlers use. Each of them is
/// thread-safe and outlives all requests.
struct request_services {
  const runtime_clock &Clock;
  metrics &Metrics;
  http_client &Client;
  configuration_follower &Configuration;
  rate_limiter &Limiter;
  dispatch_queue &Queue;
  residency_agent &Residency;
  engine_table &Upstreams;
  upstream_health &Health;
  suspect_registry &Suspects;
  order_executor &Orders;
  in_flight_requests &InFlight;
  load_fairness &LoadFairness;
  milliseconds ConnectTimeout;
};

/// The state of one request. Used by a single fiber.
struct request_context {
  request_services &Services;
  http_exchange &Exchange;
  /// The configuration version used for the whole request.
  snapshot_pointer Snapshot;
  const route_declaration &Route;
  caller_identity Caller;
  /// Cancelled when the caller disconnects or its key is withdrawn.
  std::shared_ptr<cancellation> Cancellation;
};

/// \throws spindle_error with the reason if the request was cancelled.
void throwIfCancelled(const request_context &Context);

/// Adds a failed attempt to \p Progress. Returns nullopt if another attempt
/// follows, else how the request ends. Thread-safe.
std::optional<retry_decision> endAfterFailure(const request_context &Context,
                                              call_progress &Progress,
                                              attempt_failure Failure,
                                              time_point Deadline);

/// A reservation of tokens that is settled exactly once: by settle(), or by the
/// destructor, as unused if no attempt may have run and as fully used
/// otherwise. Used by a single fiber.
class rate_charge {
public:
  /// \throws as rate_limiter::reserve().
  rate_charge(rate_limiter &Limiter, customer_id Customer, tokens Estimate,
              time_point Deadline);
  ~rate_charge();
  rate_charge(const rate_charge &) = delete;
  rate_charge &operator=(const rate_charge &) = delete;

  /// Records that an attempt may have run, so that the destructor settles the
  /// whole reservation as used.
  void noteStarted() { Started = true; }
  /// Replaces the reservation by the tokens used. Must be called at most once.
  void settle(tokens Used);

private:
  rate_limiter &Limiter;
  rate_reservation Reservation;
  bool Started = false;
  bool Settled = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_REQUEST_CONTEXT_H
