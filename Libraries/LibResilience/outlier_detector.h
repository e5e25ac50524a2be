#ifndef PARSLEYSPINDLE_LIBRESILIENCE_OUTLIER_DETECTOR_H
#define PARSLEYSPINDLE_LIBRESILIENCE_OUTLIER_DETECTOR_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

namespace spindle {

struct outlier_settings {
  /// Failures in a row that eject an upstream.
  std::uint32_t ConsecutiveFailures = 5;
  /// The part of recent calls that failed, from which on an upstream is
  /// ejected, once LeastCalls have been seen.
  double FailureRatio = 0.5;
  double LeastCalls = 20;
  /// The most of a zone's upstreams that are ejected at once, rounded down.
  double MostEjectedShare = 0.34;
  /// The first ejection's length; each further one doubles it.
  milliseconds EjectionTime{5'000};
  milliseconds LongestEjection{120'000};
  /// How long an upstream that came back takes to its full weight.
  milliseconds SlowStart{10'000};
  /// The weight at the beginning of a slow start, and of an upstream that
  /// fails but can't be ejected.
  double LeastWeight = 0.1;
};

/// An upstream and the zone that it counts for.
struct upstream_place {
  upstream_id Upstream;
  zone_id Zone;
};

/// What is known of one upstream's health.
struct upstream_record {
  zone_id Zone;
  std::uint32_t FailuresInRow = 0;
  /// Recent calls and failures; both fade as calls are added.
  double Calls = 0;
  double Failures = 0;
  std::uint32_t Ejections = 0;
  time_point EjectedUntil;
  time_point SlowStartFrom;
  /// The engine's start that was seen last; 0: none yet.
  std::uint64_t Incarnation = 0;
};

/// Finds upstreams that fail more than they should. Changed through the
/// functions below only; none of them is thread-safe.
struct outlier_detector {
  outlier_settings Settings;
  std::unordered_map<upstream_id, upstream_record> Upstreams;
};

enum class call_outcome {
  Success,
  /// The upstream failed: no connection, a broken one, no answer in time.
  Failure,
  /// It was lost while running a request that is suspected of crashing
  /// upstreams, which says nothing about the upstream.
  LostToSuspect,
};

/// Replaces the set of upstreams; what is known of those that stay is kept.
/// Ejections beyond a zone's share are lifted.
void setUpstreams(outlier_detector &Detector,
                  std::span<const upstream_place> Places, time_point Now);
/// Notes the outcome of a call. Without effect on an unknown upstream.
/// Returns whether the upstream was ejected by it.
bool noteCallOutcome(outlier_detector &Detector, upstream_id Upstream,
                     call_outcome Outcome, time_point Now);
/// Notes which start of the engine was seen. A new one begins a slow start,
/// as the engine came back empty, and ends an ejection.
void noteIncarnation(outlier_detector &Detector, upstream_id Upstream,
                     std::uint64_t Incarnation, time_point Now);
/// Tells whether the upstream gets no calls at present.
bool isEjected(const outlier_detector &Detector, upstream_id Upstream,
               time_point Now);
/// The part of its usual work that the upstream should get, in [0, 1]; 0 while
/// it is ejected, 1 for an unknown one.
double weightOf(const outlier_detector &Detector, upstream_id Upstream,
                time_point Now);
/// How many of \p Zone's upstreams may be ejected at once.
std::size_t mostEjected(const outlier_detector &Detector, zone_id Zone);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_OUTLIER_DETECTOR_H
