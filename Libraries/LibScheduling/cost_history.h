#ifndef PARSLEYSPINDLE_LIBSCHEDULING_COST_HISTORY_H
#define PARSLEYSPINDLE_LIBSCHEDULING_COST_HISTORY_H

#include "LibCore/runtime_clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace spindle {

/// The newest costs, or ratios of costs, of the requests that have one key in
/// common. Values are binary logarithms, so that errors are factors.
struct cost_history {
  static constexpr std::size_t Capacity = 32;

  /// 0 if the cell is unused.
  std::uint64_t Key = 0;
  std::array<std::uint32_t, Capacity> Ticks{};
  std::array<std::int16_t, Capacity> Values{};
  std::uint8_t Next = 0;
  std::uint8_t Count = 0;
};

/// Quantiles of the values of a history that are recent enough to count.
struct cost_summary {
  std::size_t Count = 0;
  double Median = 0;
  /// The ninth decile.
  double High = 0;
  /// The square of the spread, estimated from the outer deciles, so that a
  /// single outlier doesn't change it.
  double Variance = 0;
  /// The same of the values near the median, whatever the others are.
  double CoreVariance = 0;
};

/// Adds a value, which replaces the oldest one if the history is full. Not
/// thread-safe.
void noteValue(cost_history &History, double Value, time_point Now);

/// Summarizes the newest values, and those of the last seconds. Thread-safe for
/// readers.
cost_summary summarize(const cost_history &History, time_point Now);

/// Returns the history of \p Key, or null if there is none.
/// Precondition: \p Cells is not empty and \p Key is not 0. Thread-safe for
/// readers.
const cost_history *findHistory(std::span<const cost_history> Cells,
                                std::uint64_t Key);

/// Returns the history of \p Key. One that has none takes over an unused cell
/// or that of an idle key; else it only removes a value of the key with fewer
/// values, and null is returned. So keys with many requests keep their cells
/// among any number of rare ones.
/// Precondition: \p Cells is not empty and \p Key is not 0. Not thread-safe.
cost_history *claimHistory(std::span<cost_history> Cells, std::uint64_t Key,
                           time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_COST_HISTORY_H
