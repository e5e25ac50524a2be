#ifndef PARSLEYSPINDLE_LIBRESILIENCE_RETRY_BUDGET_H
#define PARSLEYSPINDLE_LIBRESILIENCE_RETRY_BUDGET_H

#include "LibCore/runtime_clock.h"

#include <cstdint>

namespace spindle {

/// How many retries calls earn.
struct retry_budget_settings {
  /// Retries earned by each hundred calls.
  std::uint32_t RetryPercent = 10;
  /// What is there at the start, and what RefillPerSecond refills up to, so
  /// that a caller with few calls has a retry too.
  double Floor = 3;
  double RefillPerSecond = 0.1;
  /// The most that calls save up.
  double Most = 100;
};

/// Retries that may still be made. Over any history the retries are at most
/// Floor + RefillPerSecond * time + RetryPercent / 100 * calls.
struct retry_budget {
  retry_budget_settings Settings;
  double Balance = Settings.Floor;
  time_point RefilledAt;
};

/// Notes a caller's call; not its retries. Not thread-safe.
void earnRetry(retry_budget &Budget, time_point Now);
/// Tells whether a retry is left. Not thread-safe.
bool hasRetry(retry_budget &Budget, time_point Now);
/// Spends a retry; returns false, and spends nothing, if none is left. Not
/// thread-safe.
bool spendRetry(retry_budget &Budget, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_RETRY_BUDGET_H
