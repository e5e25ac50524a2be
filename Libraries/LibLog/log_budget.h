#ifndef PARSLEYSPINDLE_LIBLOG_LOG_BUDGET_H
#define PARSLEYSPINDLE_LIBLOG_LOG_BUDGET_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <map>
#include <vector>

namespace spindle {

/// Lines of one event that were left out.
struct left_out_lines {
  int Event = 0;
  std::uint64_t Count = 0;
};

/// How many lines of each event may be written in a second. Changed through
/// the functions below only; not thread-safe.
struct log_budget {
  struct event_count {
    std::uint32_t Written = 0;
    std::uint64_t LeftOut = 0;
  };

  std::uint32_t LinesPerSecond = 200;
  time_point SecondStart;
  std::map<int, event_count> Events;
};

/// Whether a line of \p Event may be written now; counts it either way.
bool spendLine(log_budget &Budget, int Event, time_point Now);
/// Counts a line that was allowed but could not be written.
void noteLost(log_budget &Budget, int Event);
/// What was left out, once the second in which it was is over.
std::vector<left_out_lines> takeLeftOut(log_budget &Budget, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOG_LOG_BUDGET_H
