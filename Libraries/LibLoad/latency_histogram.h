#ifndef PARSLEYSPINDLE_LIBLOAD_LATENCY_HISTOGRAM_H
#define PARSLEYSPINDLE_LIBLOAD_LATENCY_HISTOGRAM_H

#include "LibCore/runtime_clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace spindle {

/// Counts of durations in buckets that grow with the duration, so that each is
/// recorded to within one part in 32. Not thread-safe.
class latency_histogram {
public:
  /// Counts \p Latency; a negative one counts as 0.
  void record(nanoseconds Latency);
  /// Adds the counts of \p Other.
  void merge(const latency_histogram &Other);
  /// The upper end, in milliseconds, of the bucket below which \p Part of the
  /// durations lie; 0 if there are none.
  /// Precondition: \p Part is in [0, 1].
  double percentileMs(double Part) const;
  double leastMs() const;
  double greatestMs() const { return toMs(Greatest); }
  double meanMs() const;
  std::size_t count() const { return Count; }

private:
  static double toMs(std::int64_t Microseconds) {
    return static_cast<double>(Microseconds) / 1'000;
  }

  std::vector<std::uint64_t> Buckets;
  std::size_t Count = 0;
  std::int64_t Least = 0;
  std::int64_t Greatest = 0;
  double SumMicroseconds = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_LATENCY_HISTOGRAM_H
