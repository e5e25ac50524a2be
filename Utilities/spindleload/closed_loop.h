#ifndef PARSLEYSPINDLE_SPINDLELOAD_CLOSED_LOOP_H
#define PARSLEYSPINDLE_SPINDLELOAD_CLOSED_LOOP_H

#include "LibCore/endpoint.h"
#include "LibLoad/latency_histogram.h"
#include "LibRuntime/fiber_runtime.h"

#include <string>

namespace spindle {

/// A closed loop: each connection sends its next request when the last one has
/// been answered.
struct closed_loop_settings {
  endpoint Target;
  std::uint32_t Connections = 1;
  std::uint64_t Requests = 1'000;
  std::string Method = "POST";
  std::string Path = "/v1/completions";
  std::string Body;
  /// The key to present; empty: none.
  std::string Key;
};

struct closed_loop_result {
  latency_histogram Latency;
  /// Requests that were not answered with status 200.
  std::uint64_t Failed = 0;
  /// Events of streams, by their "data:" lines.
  std::uint64_t Events = 0;
  double Seconds = 0;
};

/// Runs a closed loop to its end.
/// Precondition: not called from a thread of \p Runtime.
closed_loop_result runClosedLoop(fiber_runtime &Runtime,
                                 const closed_loop_settings &Settings);
/// Writes one line of figures. Thread-safe.
std::string describeResult(const closed_loop_settings &Settings,
                           const closed_loop_result &Result);

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_CLOSED_LOOP_H
