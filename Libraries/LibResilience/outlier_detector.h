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
  /// Number of consecutive failures that eject an upstream.
  std::uint32_t ConsecutiveFailures = 5;
  /// The fraction of failed recent calls that ejects an upstream, once there
  /// are at least MinCalls recent calls.
  double FailureRatio = 0.5;
  double MinCalls = 20;
  /// Maximum fraction of a zone's upstreams ejected at once; the resulting
  /// number is rounded down.
  double MaxEjectedFraction = 0.34;
  /// Duration of the first ejection; each further one takes twice as long.
  milliseconds EjectionTime{5'000};
  milliseconds MaxEjectionTime{120'000};
  /// How long a returning upstream takes to reach its full weight.
  milliseconds SlowStart{10'000};
  /// The weight at the beginning of a slow start, and of a failing upstream
  /// that the limit on ejections keeps in use.
  double MinWeight = 0.1;
};

/// An upstream and its zone, to whose limit on ejections it counts.
struct zoned_upstream {
  upstream_id Upstream;
  zone_id Zone;
};

/// The health of one upstream.
struct upstream_record {
  zone_id Zone;
  std::uint32_t FailuresInRow = 0;
  /// Recent calls and failures, with exponential decay per call.
  double Calls = 0;
  double Failures = 0;
  std::uint32_t Ejections = 0;
  time_point EjectedUntil;
  time_point SlowStartAt;
  /// The engine's last known incarnation; 0 if not known yet.
  std::uint64_t Incarnation = 0;
};

/// Ejects upstreams whose calls fail too often. Modified only through the
/// functions below, none of which is thread-safe.
struct outlier_detector {
  outlier_settings Settings;
  std::unordered_map<upstream_id, upstream_record> Upstreams;
};

enum class call_outcome {
  Success,
  /// The upstream failed: no connection, a lost connection or a timeout.
  Failure,
  /// The upstream was lost while running a request suspected of crashing
  /// upstreams, which is no evidence against the upstream.
  LostToSuspect,
};

/// Replaces the set of upstreams. The records of those that stay are kept;
/// ejections beyond a zone's limit are lifted.
void setUpstreams(outlier_detector &Detector,
                  std::span<const zoned_upstream> Entries, time_point Now);
/// Records the outcome of a call; returns whether it ejected the upstream.
/// Has no effect on an unknown upstream.
bool noteCallOutcome(outlier_detector &Detector, upstream_id Upstream,
                     call_outcome Outcome, time_point Now);
/// Records the engine's incarnation. A new one ends an ejection and begins a
/// slow start, as the engine has restarted with nothing loaded.
void noteIncarnation(outlier_detector &Detector, upstream_id Upstream,
                     std::uint64_t Incarnation, time_point Now);
/// Returns whether the upstream is ejected and receives no calls.
bool isEjected(const outlier_detector &Detector, upstream_id Upstream,
               time_point Now);
/// Returns the fraction of its usual load that the upstream should receive, in
/// [0, 1]: 0 while it is ejected, 1 if it is unknown.
double weightOf(const outlier_detector &Detector, upstream_id Upstream,
                time_point Now);
/// Returns how many of \p Zone's upstreams may be ejected at once.
std::size_t maxEjected(const outlier_detector &Detector, zone_id Zone);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_OUTLIER_DETECTOR_H
