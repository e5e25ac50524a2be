#ifndef PARSLEYSPINDLE_LIBROUTING_PLACED_WORK_H
#define PARSLEYSPINDLE_LIBROUTING_PLACED_WORK_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <vector>

namespace spindle {

/// What one request is expected to ask of an engine.
struct request_work {
  /// How long the engine reads the prompt.
  nanoseconds Reading{0};
  /// How long the output takes after that.
  nanoseconds Writing{0};
  /// The tokens that the request occupies in the engine's memory at its end.
  std::int64_t MemoryTokens = 0;
  /// The longest pause between events that meets the request's objective; 0 if
  /// none is set.
  nanoseconds GapObjective{0};
};

/// A request on an engine, with the times at which it is expected to proceed.
struct placed_request {
  /// Names the request on its engine; above 0.
  std::uint64_t Ticket = 0;
  time_point ReadUntil;
  time_point EndsAt;
  request_work Work;
};

/// What an engine still has to do of the requests that one host has placed on
/// it. An engine reads prompts one after the other, and generates the outputs
/// of all requests whose prompts are read at the same time. Modify it only
/// through the functions below; none of them is thread-safe.
struct placed_work {
  std::vector<placed_request> Requests;
  std::uint64_t LastTicket = 0;
  /// The sum of the squared reading times of recent prompts in square
  /// milliseconds, decayed since DecayedAt.
  double SquaredReads = 0;
  time_point DecayedAt;
};

/// Adds a request that reaches the engine \p Delay after \p Now, and returns
/// its ticket. Until then the engine reads other prompts.
std::uint64_t addWork(placed_work &Engine, const request_work &Work,
                      time_point Now, nanoseconds Delay = nanoseconds(0));
/// Removes a request that was not sent. Does nothing if it has ended.
void cancelWork(placed_work &Engine, std::uint64_t Ticket, time_point Now);
/// Removes the requests whose expected end has passed.
void dropEnded(placed_work &Engine, time_point Now);
/// How long a prompt that arrives at \p Now waits at most for those placed
/// before it: the time that these are still read, without the time until they
/// arrive.
nanoseconds readingBacklog(const placed_work &Engine, time_point Now);
/// The memory that the engine's requests occupy at their ends, in tokens.
std::int64_t memoryInUse(const placed_work &Engine);
/// The squared reading time that the engine was given per second lately, in
/// square milliseconds. Long prompts count more than in proportion, as a pause
/// grows with the prompt that causes it.
double squaredReadingRate(const placed_work &Engine, time_point Now);
/// The probability that a stream pauses for longer than \p GapObjective while
/// the engine reads for \p Reading at a stretch. 0 without an objective.
double pauseRisk(nanoseconds Reading, nanoseconds GapObjective);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBROUTING_PLACED_WORK_H
