#ifndef PARSLEYSPINDLE_LIBROUTING_ENGINE_LOAD_H
#define PARSLEYSPINDLE_LIBROUTING_ENGINE_LOAD_H

#include "LibCore/runtime_clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace spindle {

/// How many of this host's requests were at an engine at a point in time.
struct local_load_sample {
  time_point Time;
  std::uint32_t InFlight = 0;
};

/// An engine's load: the last report, which lags, corrected by the requests
/// that this host has sent there or seen finish since.
struct engine_load {
  std::uint32_t BatchSize = 16;
  /// Running and waiting requests of all hosts, as reported.
  std::uint32_t Reported = 0;
  /// This host's requests that were in flight when the report was made.
  std::uint32_t LocalAtReport = 0;
  std::uint32_t LocalInFlight = 0;
  /// A moving average of how long a request occupies a batch slot.
  double ServiceMilliseconds = 2'000;
  /// A ring buffer of the latest samples of LocalInFlight.
  std::array<local_load_sample, 16> Samples;
  std::size_t NextSample = 0;
};

/// The functions below take constant time and are not thread-safe.

/// Records that a request was sent to the engine.
void noteDispatch(engine_load &Load, time_point Now);
/// Records that a request ended after \p Service at the engine.
/// Precondition: its dispatch was recorded.
void noteFinish(engine_load &Load, nanoseconds Service, time_point Now);
/// Applies a report that the engine made at \p Taken.
void noteReport(engine_load &Load, std::uint32_t Running, std::uint32_t Waiting,
                time_point Taken);
/// Estimates the engine's current number of requests, running and waiting.
std::uint32_t correctedLoad(const engine_load &Load);
/// Estimates how long a new request waits for a batch slot.
double expectedWaitMilliseconds(const engine_load &Load);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ENGINE_LOAD_H
