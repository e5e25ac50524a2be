#include "LibLimits/share_gate.h"

#include <algorithm>

namespace spindle {

void assignShare(share_gate &Gate, std::int64_t PartsPerMillion,
                 time_point ValidUntil, time_point Now) {
  if (Gate.Steps.empty() || Now >= Gate.ValidUntil)
    Gate.Steps.assign(1, {Now, 0});
  Gate.ValidUntil = ValidUntil;
  if (Gate.Steps.back().PartsPerMillion != PartsPerMillion)
    Gate.Steps.push_back({Now, PartsPerMillion});
}

std::int64_t usableParts(share_gate &Gate, nanoseconds GrowthDelay,
                         time_point Now) {
  if (Gate.Steps.empty() || Now >= Gate.ValidUntil)
    return 0;
  // A change no longer matters once its successor is older than the delay.
  while (Gate.Steps.size() > 1 && Now - Gate.Steps[1].Since >= GrowthDelay)
    Gate.Steps.erase(Gate.Steps.begin());
  const auto Least = std::min_element(
      Gate.Steps.begin(), Gate.Steps.end(),
      [](const share_gate::step &Left, const share_gate::step &Right) {
        return Left.PartsPerMillion < Right.PartsPerMillion;
      });
  return Least->PartsPerMillion;
}

} // namespace spindle
