#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_REPORT_HISTORY_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_REPORT_HISTORY_H

#include "LibCore/runtime_clock.h"
#include "LibEngine/engine_port.h"

#include <deque>

namespace spindle {

/// Stores load reports, so that they can be sent late.
/// Not thread-safe.
class report_history {
public:
  /// Keeps a report; those that no lag up to MaxLag needs are dropped.
  void add(time_point Now, engine_report Report);
  /// The report of \p Lag ago, with its age; \p Current if none is that old.
  engine_report reportOf(time_point Now, milliseconds Lag,
                         const engine_report &Current) const;

private:
  static constexpr milliseconds MaxLag{30'000};
  static constexpr milliseconds Spacing{10};

  struct dated_report {
    time_point At;
    engine_report Report;
  };
  std::deque<dated_report> Reports;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_REPORT_HISTORY_H
