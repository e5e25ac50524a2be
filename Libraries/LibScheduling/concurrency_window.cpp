#include "LibScheduling/concurrency_window.h"

#include <algorithm>
#include <cmath>

namespace spindle {

void updateWindow(concurrency_window &Window, const engine_load_summary &Load,
                  std::uint32_t FleetHosts, bool Backlogged, time_point Now) {
  const double Slots = std::max<double>(Load.BatchSlots, 1);
  const double EqualShare = Slots / FleetHosts;
  if (Window.Size == 0) {
    Window.Size = EqualShare;
    Window.ChangedAt = Now;
    return;
  }
  if (Now - Window.ChangedAt < Window.Settings.MinChangeInterval)
    return;
  const window_settings &Settings = Window.Settings;
  const double Idle = std::max(Slots - Load.Running, 0.0);
  const bool EnginesIdle = Idle > Settings.IdleFraction * Slots;
  const bool EnginesQueue = Load.Waiting > Settings.WaitingFraction * Slots;
  double Size = Window.Size;
  if (EnginesIdle && Backlogged)
    Size += std::max(Settings.Increase * EqualShare, 1.0);
  else if (EnginesQueue && !EnginesIdle)
    Size *= Settings.Decrease;
  else
    return;
  // A host keeps at least half of its equal share: hosts above theirs have to
  // shrink instead.
  Window.Size = std::clamp(Size, std::max(EqualShare / 2, 1.0), 2 * Slots);
  Window.ChangedAt = Now;
}

std::uint32_t windowSize(const concurrency_window &Window) {
  return static_cast<std::uint32_t>(std::max(std::floor(Window.Size), 1.0));
}

} // namespace spindle
