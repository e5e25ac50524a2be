#ifndef PARSLEYSPINDLE_LIBGATEWAY_SERVICE_RETRY_BUDGETS_H
#define PARSLEYSPINDLE_LIBGATEWAY_SERVICE_RETRY_BUDGETS_H

#include "LibCore/runtime_clock.h"
#include "LibResilience/retry_budget.h"

#include <map>
#include <mutex>
#include <string>

namespace spindle {

/// Limits on retries to upstreams, for all hosts together.
struct retry_limits {
  /// Retries earned per hundred requests.
  std::uint32_t Percent = 20;
  /// Retries allowed per window in addition to the earned ones.
  double Extra = 50;
  milliseconds Window{10'000};
};

/// This host's share of the retry budget of each service. Thread-safe.
class service_retry_budgets {
public:
  service_retry_budgets(const runtime_clock &Clock, retry_limits Limits)
      : Clock(Clock), Limits(Limits) {}

  /// Sets the number of hosts that share the limits.
  void setHosts(std::size_t Hosts);
  void noteRequest(const std::string &Service);
  /// Spends a retry; returns false if none is left.
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
