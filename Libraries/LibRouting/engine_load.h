#ifndef PARSLEYSPINDLE_LIBROUTING_ENGINE_LOAD_H
#define PARSLEYSPINDLE_LIBROUTING_ENGINE_LOAD_H

#include "LibCore/runtime_clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace spindle {

/// How many of this host's requests an engine had at a moment.
struct own_load_sample {
  time_point Time;
  std::uint32_t InFlight = 0;
};

/// An engine's load: what its late report says, corrected by what this host
/// has sent and finished there since.
struct engine_load {
  std::uint32_t BatchSize = 16;
  /// Running and waiting requests of all hosts, as reported.
  std::uint32_t Reported = 0;
  /// This host's requests that were in flight when the report was made.
  std::uint32_t OwnAtReport = 0;
  std::uint32_t OwnInFlight = 0;
  /// A moving mean of how long a request holds a place in the batch.
  double ServiceMilliseconds = 2'000;
  /// The latest samples of OwnInFlight, a ring.
  std::array<own_load_sample, 16> Samples;
  std::size_t NextSample = 0;
};

/// The functions below take constant time and are not thread-safe.

/// Notes that a request was sent to the engine.
void noteDispatch(engine_load &Load, time_point Now);
/// Notes that a request has ended after \p Service at the engine.
/// Precondition: its dispatch was noted.
void noteFinish(engine_load &Load, nanoseconds Service, time_point Now);
/// Takes in a report that the engine made at \p Taken.
void noteReport(engine_load &Load, std::uint32_t Running, std::uint32_t Waiting,
                time_point Taken);
/// Estimates how many requests the engine has now.
std::uint32_t correctedLoad(const engine_load &Load);
/// Estimates how long a new request waits for a place in the batch.
double expectedWaitMilliseconds(const engine_load &Load);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ENGINE_LOAD_H
