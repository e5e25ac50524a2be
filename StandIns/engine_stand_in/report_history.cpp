#include "engine_stand_in/report_history.h"

namespace spindle {

void report_history::add(time_point Now, engine_report Report) {
  if (!Reports.empty() && Now - Reports.back().At < Spacing)
    Reports.back().Report = std::move(Report);
  else
    Reports.push_back({Now, std::move(Report)});
  while (Reports.size() > 1 && Reports[1].At + MaxLag < Now)
    Reports.pop_front();
}

engine_report report_history::reportOf(time_point Now, milliseconds Lag,
                                       const engine_report &Current) const {
  if (Lag <= milliseconds(0))
    return Current;
  for (auto Entry = Reports.rbegin(); Entry != Reports.rend(); ++Entry) {
    if (Entry->At + Lag > Now)
      continue;
    engine_report Report = Entry->Report;
    Report.Age = Lag;
    return Report;
  }
  engine_report Empty;
  Empty.Incarnation = Current.Incarnation;
  Empty.Slots = Current.Slots;
  Empty.BatchSize = Current.BatchSize;
  Empty.Age = Lag;
  return Reports.empty() ? Current : Empty;
}

} // namespace spindle
