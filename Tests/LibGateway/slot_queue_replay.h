#ifndef PARSLEYSPINDLE_TESTS_LIBGATEWAY_SLOT_QUEUE_REPLAY_H
#define PARSLEYSPINDLE_TESTS_LIBGATEWAY_SLOT_QUEUE_REPLAY_H

#include "LibGateway/slot_queue.h"

#include <optional>
#include <vector>

namespace spindle {

/// Requests of one customer and kind that come at an even rate, each for an
/// adapter of its own.
struct replay_source {
  int Customer = 0;
  int Urgency = 0;
  double PerSecond = 0;
  milliseconds Objective{1'000};
  milliseconds Patience{3'000};
  /// How often a refused caller returns immediately.
  int RepeatsAtOnce = 0;
  /// When callers leave; none if they wait for as long as Patience.
  std::optional<milliseconds> LeavesAfter = std::nullopt;
};

struct replay_outcome {
  int Asked = 0;
  int InTime = 0;
  int Late = 0;

  double servedShare() const {
    return Asked > 0 ? double(InTime + Late) / Asked : 1;
  }
  double inTimeShare() const { return Asked > 0 ? double(InTime) / Asked : 1; }
};

struct replay_settings {
  bool SharesGrants = false;
  /// How long a caller that has left keeps its place.
  milliseconds LeaveDelay{0};
};

/// Replays ten seconds of requests for the eight slots of one engine, each of
/// which is taken for 300 ms. Returns the outcome of each source.
std::vector<replay_outcome> replay(const std::vector<replay_source> &Sources,
                                   const replay_settings &Settings);

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBGATEWAY_SLOT_QUEUE_REPLAY_H
