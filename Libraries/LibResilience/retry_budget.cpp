#include "LibResilience/retry_budget.h"

#include <algorithm>

namespace spindle {

static void refill(retry_budget &Budget, time_point Now) {
  const std::chrono::duration<double> Passed = Now - Budget.RefilledAt;
  Budget.RefilledAt = std::max(Budget.RefilledAt, Now);
  if (Budget.Balance >= Budget.Settings.Floor || Passed.count() <= 0)
    return;
  const double Refilled =
      Budget.Balance + Passed.count() * Budget.Settings.RefillPerSecond;
  Budget.Balance = std::min(Refilled, Budget.Settings.Floor);
}

void earnRetry(retry_budget &Budget, time_point Now) {
  refill(Budget, Now);
  const double Earned = Budget.Settings.RetryPercent / 100.0;
  const double Limit =
      std::max(Budget.Settings.MaxBalance, Budget.Settings.Floor);
  Budget.Balance = std::min(Budget.Balance + Earned, Limit);
}

bool hasRetry(retry_budget &Budget, time_point Now) {
  refill(Budget, Now);
  return Budget.Balance >= 1;
}

bool spendRetry(retry_budget &Budget, time_point Now) {
  if (!hasRetry(Budget, Now))
    return false;
  Budget.Balance -= 1;
  return true;
}

} // namespace spindle
