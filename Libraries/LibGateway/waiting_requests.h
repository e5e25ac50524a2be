#ifndef PARSLEYSPINDLE_LIBGATEWAY_WAITING_REQUESTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_WAITING_REQUESTS_H

#include "LibCore/runtime_clock.h"
#include "LibMetrics/metrics.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace spindle {

/// For whom a request waits for an adapter, as operators see it.
struct wait_owner {
  std::string Service;
  /// Empty if the request has no customer.
  std::string Customer;

  auto operator<=>(const wait_owner &) const = default;
};

/// The requests of this host that wait for an adapter, for the metrics. Holds
/// one entry for each service and customer that has waited. Thread-safe.
class waiting_requests {
public:
  explicit waiting_requests(const runtime_clock &Clock) : Clock(Clock) {}

  /// A request that waits; counted until it is destroyed. Must not outlive the
  /// waiting_requests.
  class registration {
  public:
    registration(waiting_requests &Requests, const wait_owner &Owner);
    ~registration();
    registration(const registration &) = delete;
    registration &operator=(const registration &) = delete;

  private:
    waiting_requests &Requests;
    const wait_owner Owner;
    const time_point Since;
  };

  /// Sets the gauges spindle_adapter_waits and
  /// spindle_adapter_oldest_wait_seconds.
  void report(metrics &Metrics) const;

private:
  const runtime_clock &Clock;
  mutable std::mutex Mutex;
  /// Since when each request waits.
  std::map<wait_owner, std::multiset<time_point>> Waiting;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_WAITING_REQUESTS_H
