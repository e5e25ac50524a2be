#ifndef PARSLEYSPINDLE_LIBRESILIENCE_RETRY_BUDGET_H
#define PARSLEYSPINDLE_LIBRESILIENCE_RETRY_BUDGET_H

#include "LibCore/runtime_clock.h"

#include <cstdint>

namespace spindle {

/// Determines how many retries are allowed.
struct retry_budget_settings {
  /// Number of retries earned per hundred calls.
  std::uint32_t RetryPercent = 10;
  /// The initial balance, and the balance up to which RefillPerSecond refills,
  /// so that callers with few calls can retry too.
  double Floor = 3;
  double RefillPerSecond = 0.1;
  /// Upper limit of the balance earned by calls, unless Floor is higher.
  double MaxBalance = 100;
};

/// The number of retries available. In total, retries never exceed
/// Floor + RefillPerSecond * time + RetryPercent / 100 * calls.
struct retry_budget {
  retry_budget_settings Settings;
  double Balance = Settings.Floor;
  time_point RefilledAt;
};

/// Adds the credit for a caller's call; not used for retries. Not thread-safe.
void earnRetry(retry_budget &Budget, time_point Now);
/// Returns whether a retry is available. Not thread-safe.
bool hasRetry(retry_budget &Budget, time_point Now);
/// Takes one retry from the budget; returns false if none is available. Not
/// thread-safe.
bool spendRetry(retry_budget &Budget, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_RETRY_BUDGET_H
