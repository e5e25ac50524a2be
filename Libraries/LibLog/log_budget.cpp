#include "LibLog/log_budget.h"

namespace spindle {

bool spendLine(log_budget &Budget, int Event, time_point Now) {
  if (Now - Budget.SecondStart >= seconds(1)) {
    Budget.SecondStart = Now;
    for (auto &[Number, Count] : Budget.Events)
      Count.Written = 0;
  }
  log_budget::event_count &Count = Budget.Events[Event];
  if (Count.Written >= Budget.LinesPerSecond) {
    ++Count.LeftOut;
    return false;
  }
  ++Count.Written;
  return true;
}

void noteLost(log_budget &Budget, int Event) { ++Budget.Events[Event].LeftOut; }

std::vector<left_out_lines> takeLeftOut(log_budget &Budget, time_point Now) {
  std::vector<left_out_lines> Lines;
  if (Now - Budget.SecondStart < seconds(1))
    return Lines;
  for (auto &[Number, Count] : Budget.Events) {
    if (Count.LeftOut == 0)
      continue;
    Lines.push_back({Number, Count.LeftOut});
    Count.LeftOut = 0;
  }
  return Lines;
}

} // namespace spindle
