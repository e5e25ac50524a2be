#ifndef PARSLEYSPINDLE_LIBSCHEDULING_CONCURRENCY_WINDOW_H
#define PARSLEYSPINDLE_LIBSCHEDULING_CONCURRENCY_WINDOW_H

#include "LibCore/runtime_clock.h"

#include <cstdint>

namespace spindle {

/// The last load reports of the engines that a host uses, added up.
struct engine_load_summary {
  /// Requests that fit into all engines' batches.
  std::uint32_t BatchSlots = 0;
  std::uint32_t Running = 0;
  /// Requests that wait inside the engines, where no fairness between customers
  /// holds.
  std::uint32_t Waiting = 0;
};

struct window_settings {
  /// The part of the batch slots that may be idle before the window grows,
  /// and the part that may wait in engines before it shrinks.
  double IdleShare = 0.03;
  double WaitingShare = 0.2;
  /// How much the window grows and shrinks at a step, relative to the host's
  /// equal share and to the window.
  double Increase = 0.1;
  double Decrease = 0.85;
  /// Reports lag: the window changes at most once in this time.
  milliseconds StepTime{500};
};

/// How many requests one host may have running on engines. It grows while
/// requests wait in the host and engines have idle slots, and shrinks while
/// requests wait inside the engines, so that the host's own queue decides the
/// order and no engine idles.
struct concurrency_window {
  window_settings Settings;
  double Size = 0;
  time_point ChangedAt;
};

/// Adapts the window. \p Backlogged tells whether requests wait in the host.
/// Not thread-safe.
/// Precondition: \p FleetHosts is at least 1.
void updateWindow(concurrency_window &Window, const engine_load_summary &Load,
                  std::uint32_t FleetHosts, bool Backlogged, time_point Now);
/// The window as a whole number, at least 1. Thread-safe for readers.
std::uint32_t windowSize(const concurrency_window &Window);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_CONCURRENCY_WINDOW_H
