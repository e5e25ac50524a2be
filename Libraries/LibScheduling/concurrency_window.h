#ifndef PARSLEYSPINDLE_LIBSCHEDULING_CONCURRENCY_WINDOW_H
#define PARSLEYSPINDLE_LIBSCHEDULING_CONCURRENCY_WINDOW_H

#include "LibCore/runtime_clock.h"

#include <cstdint>

namespace spindle {

/// The sum of the last load reports of the engines that a host uses.
struct engine_load_summary {
  /// The batch slots of all engines.
  std::uint32_t BatchSlots = 0;
  std::uint32_t Running = 0;
  /// Requests that wait inside the engines, which are not fair to customers.
  std::uint32_t Waiting = 0;
};

struct window_settings {
  /// The window grows when more than this fraction of the batch slots is idle,
  /// and shrinks when the requests waiting in engines exceed this fraction.
  double IdleFraction = 0.03;
  double WaitingFraction = 0.2;
  /// The window grows by this fraction of the host's equal share, and shrinks
  /// by this factor.
  double Increase = 0.1;
  double Decrease = 0.85;
  /// The least time between changes of the window, because reports lag.
  milliseconds MinChangeInterval{500};
};

/// Limits the requests that one host has running on engines. The window grows
/// while requests wait in the host and engines have idle slots. It shrinks
/// while requests wait inside the engines. Thus the host's own queue decides
/// the order of requests, and no engine is idle.
struct concurrency_window {
  window_settings Settings;
  double Size = 0;
  time_point ChangedAt;
};

/// Adapts the window. \p Backlogged is true if requests wait in the host.
/// Not thread-safe.
/// Precondition: \p FleetHosts is at least 1.
void updateWindow(concurrency_window &Window, const engine_load_summary &Load,
                  std::uint32_t FleetHosts, bool Backlogged, time_point Now);
/// The window rounded down to an integer, at least 1. Thread-safe for readers.
std::uint32_t windowSize(const concurrency_window &Window);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_CONCURRENCY_WINDOW_H
