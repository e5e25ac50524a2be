#ifndef PARSLEYSPINDLE_LIBROUTING_ENGINE_FACTS_H
#define PARSLEYSPINDLE_LIBROUTING_ENGINE_FACTS_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <optional>

namespace spindle {

/// The load that an engine states in a response. The time that it takes to read
/// a prompt is called reading time.
struct engine_reading {
  std::uint32_t Running = 0;
  std::uint32_t Waiting = 0;
  std::uint32_t Slots = 0;
  /// How long work takes at this moment, as a multiple of the usual; none if
  /// the engine does not state it.
  std::optional<double> Slowdown;

  bool operator==(const engine_reading &) const = default;
};

/// The facts of one engine: its speed and load, each with its age.
struct engine_facts {
  std::optional<engine_reading> Reading;
  time_point ReadAt;
  /// How long prompts lately took to be read, as a multiple of the time at the
  /// common pace, which is that of an engine of the usual speed. Changes
  /// slowly.
  double TimeFactor = 1;
  /// When TimeFactor last changed; none if it is only assumed.
  std::optional<time_point> TimeFactorAt;
  /// The average of the slowdowns that the engine stated. TimeFactor contains
  /// it, so that only the excess of a stated slowdown over this average counts
  /// for work that begins now.
  double UsualSlowdown = 1;
};

/// The reading times that a host has recorded since its last report.
struct read_time_samples {
  /// The sum of the ratios of the actual to the expected time.
  double RatioSum = 0;
  std::uint32_t Count = 0;
};

/// The functions below are not thread-safe.

/// Records a reading taken at \p At. One older than the known reading is
/// ignored; an absurd slowdown counts as not stated.
void noteReading(engine_facts &Facts, const engine_reading &Reading,
                 time_point At);
/// Records that \p Samples.Count prompts took the time given by their ratios.
/// Ratios are bounded, so that one wrong sample has little effect.
void noteReadTimes(engine_facts &Facts, const read_time_samples &Samples,
                   time_point Now);
/// How long work that lasts for \p Duration takes on the engine from now on, as
/// a multiple of what it takes at the common pace: the lasting factor, and as
/// far as it still counts, the slowdown that the engine stated. Always between
/// 0.1 and 20.
double expectedTimeFactor(const engine_facts &Facts, nanoseconds Duration,
                          time_point Now);
/// The requests that the engine stated to be waiting; 0 if the reading is older
/// than it is of use.
std::uint32_t waitingRequests(const engine_facts &Facts, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_ENGINE_FACTS_H
