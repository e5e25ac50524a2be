#ifndef PARSLEYSPINDLE_LIBGATEWAY_REQUEST_COSTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_REQUEST_COSTS_H

#include "LibScheduling/cost_model.h"

#include <mutex>

namespace spindle {

struct forwarded_request;

/// What the head and the route of a request state that bears on its cost. The
/// result refers to \p Request.
cost_features costFeatures(const forwarded_request &Request);

/// What this host has learned of the costs of requests. Thread-safe.
class request_costs {
public:
  explicit request_costs(const runtime_clock &Clock) : Clock(Clock) {}

  request_cost estimate(const cost_features &Features) const;
  /// The expected time of a request to a service without models; none before
  /// the first such request has ended.
  std::optional<milliseconds> plainTime(const cost_features &Features) const;
  /// Records the output of a stream that has ended well.
  void noteOutput(const cost_features &Features, std::int64_t OutputTokens);
  /// Records a response of a service without models to a request that was sent
  /// at \p SentAt.
  void notePlain(const cost_features &Features, time_point SentAt);

private:
  const runtime_clock &Clock;
  mutable std::mutex Mutex;
  cost_model Model;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_REQUEST_COSTS_H
