#include "LibGateway/repeat_budgets.h"

#include <algorithm>

namespace spindle {

// The half of the extra repeats is there at once, the other half comes back
// over a window, so that no window sees more than all of them.
static constexpr double PartAtOnce = 0.5;

retry_budget &repeat_budgets::budgetOf(const std::string &Service) {
  const double Extra = Limits.Extra / static_cast<double>(Hosts);
  const auto [Entry, IsNew] = Budgets.try_emplace(Service);
  retry_budget &Budget = Entry->second;
  Budget.Settings.RetryPercent = Limits.Percent;
  Budget.Settings.Floor = Extra * PartAtOnce;
  Budget.Settings.RefillPerSecond =
      Extra * (1 - PartAtOnce) / static_cast<double>(Limits.Window.count());
  Budget.Settings.MaxBalance = Extra;
  if (IsNew) {
    Budget.Balance = Budget.Settings.Floor;
    Budget.RefilledAt = Clock.now();
  }
  return Budget;
}

void repeat_budgets::setHosts(std::size_t Count) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Hosts = std::max<std::size_t>(1, Count);
}

void repeat_budgets::noteRequest(const std::string &Service) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  earnRetry(budgetOf(Service), Clock.now());
}

bool repeat_budgets::spend(const std::string &Service) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return spendRetry(budgetOf(Service), Clock.now());
}

} // namespace spindle
