#include "LibGateway/service_retry_budgets.h"

#include <algorithm>

namespace spindle {

// Half of the extra retries are available at once and the other half is
// refilled over a window, so that no window exceeds the total.
static constexpr double InitialPart = 0.5;

retry_budget &service_retry_budgets::budgetOf(const std::string &Service) {
  const double Extra = Limits.Extra / static_cast<double>(Hosts);
  const auto [Entry, IsNew] = Budgets.try_emplace(Service);
  retry_budget &Budget = Entry->second;
  Budget.Settings.RetryPercent = Limits.Percent;
  Budget.Settings.Floor = Extra * InitialPart;
  Budget.Settings.RefillPerSecond =
      Extra * (1 - InitialPart) /
      std::chrono::duration<double>(Limits.Window).count();
  Budget.Settings.MaxBalance = Extra;
  if (IsNew) {
    Budget.Balance = Budget.Settings.Floor;
    Budget.RefilledAt = Clock.now();
  }
  return Budget;
}

void service_retry_budgets::setHosts(std::size_t Count) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Hosts = std::max<std::size_t>(1, Count);
}

void service_retry_budgets::noteRequest(const std::string &Service) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  earnRetry(budgetOf(Service), Clock.now());
}

bool service_retry_budgets::spend(const std::string &Service) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return spendRetry(budgetOf(Service), Clock.now());
}

} // namespace spindle
