#ifndef PARSLEYSPINDLE_LIBGATEWAY_SERVICE_RETRY_BUDGETS_H
#define PARSLEYSPINDLE_LIBGATEWAY_SERVICE_RETRY_BUDGETS_H

#include "LibCore/runtime_clock.h"
#include "LibResilience/retry_budget.h"

#include <map>
#include <mutex>
#include <string>

namespace spindle {

/// How often requests may be sent to upstreams once more, over all hosts.
struct retry_limits {
  /// Repeats earned by each hundred requests.
  std::uint32_t Percent = 20;
  /// Repeats that are allowed in each window beside those earned.
  double Extra = 50;
  seconds Window{10};
};

/// This host's part of each service's repeats. Thread-safe.
class service_retry_budgets {
public:
  service_retry_budgets(const runtime_clock &Clock, retry_limits Limits)
      : Clock(Clock), Limits(Limits) {}

  /// Sets how many hosts share the limits.
  void setHosts(std::size_t Hosts);
  void noteRequest(const std::string &Service);
  /// Spends a repeat; false if none is left.
  bool spend(const std::string &Service);

private:
  retry_budget &budgetOf(const std::string &Service);

  const runtime_clock &Clock;
  const retry_limits Limits;
  std::mutex Mutex;
  std::size_t Hosts = 1;
  std::map<std::string, retry_budget> Budgets;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SERVICE_RETRY_BUDGETS_H
