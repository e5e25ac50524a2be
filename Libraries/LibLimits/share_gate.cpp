#include "LibLimits/share_gate.h"

#include <algorithm>

namespace spindle {

void assignShare(share_gate &Gate, std::int64_t PartsPerMillion,
                 time_point ValidUntil, time_point Now) {
  if (Gate.Changes.empty() || Now >= Gate.ValidUntil)
    Gate.Changes.assign(1, {Now, 0});
  Gate.ValidUntil = ValidUntil;
  if (Gate.Changes.back().PartsPerMillion != PartsPerMillion)
    Gate.Changes.push_back({Now, PartsPerMillion});
}

std::int64_t usableParts(share_gate &Gate, nanoseconds GrowthDelay,
                         time_point Now) {
  if (Gate.Changes.empty() || Now >= Gate.ValidUntil)
    return 0;
  // A change no longer matters once its successor is older than the delay.
  while (Gate.Changes.size() > 1 && Now - Gate.Changes[1].Since >= GrowthDelay)
    Gate.Changes.erase(Gate.Changes.begin());
  const auto Least = std::min_element(
      Gate.Changes.begin(), Gate.Changes.end(),
      [](const share_gate::change &Left, const share_gate::change &Right) {
        return Left.PartsPerMillion < Right.PartsPerMillion;
      });
  return Least->PartsPerMillion;
}

} // namespace spindle
