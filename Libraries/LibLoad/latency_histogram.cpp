#include "LibLoad/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace spindle {

/// Values below this have a bucket each; above, each power of two is divided
/// into half as many.
static constexpr std::uint64_t SubBuckets = 64;

static std::size_t bucketOf(std::uint64_t Microseconds) {
  if (Microseconds < SubBuckets)
    return Microseconds;
  // The leading bits, from 32 to 63, and how far they are shifted.
  const std::size_t Shift =
      std::bit_width(Microseconds) - std::bit_width(SubBuckets - 1);
  const std::uint64_t Leading = Microseconds >> Shift;
  return SubBuckets + (Shift - 1) * SubBuckets / 2 + Leading - SubBuckets / 2;
}

/// The least value that no longer falls into the bucket.
static std::uint64_t upperEnd(std::size_t Bucket) {
  if (Bucket < SubBuckets)
    return Bucket + 1;
  const std::size_t Above = Bucket - SubBuckets;
  const std::uint64_t Shift = Above / (SubBuckets / 2) + 1;
  const std::uint64_t Mantissa = Above % (SubBuckets / 2) + SubBuckets / 2;
  return (Mantissa + 1) << Shift;
}

void latency_histogram::record(nanoseconds Latency) {
  const std::int64_t Microseconds = std::max<std::int64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Latency).count(),
      0);
  const std::size_t Bucket = bucketOf(static_cast<std::uint64_t>(Microseconds));
  if (Buckets.size() <= Bucket)
    Buckets.resize(Bucket + 1);
  ++Buckets[Bucket];
  Least = Count == 0 ? Microseconds : std::min(Least, Microseconds);
  Greatest = std::max(Greatest, Microseconds);
  SumMicroseconds += static_cast<double>(Microseconds);
  ++Count;
}

void latency_histogram::merge(const latency_histogram &Other) {
  if (Other.Count == 0)
    return;
  if (Buckets.size() < Other.Buckets.size())
    Buckets.resize(Other.Buckets.size());
  for (std::size_t Index = 0; Index < Other.Buckets.size(); ++Index)
    Buckets[Index] += Other.Buckets[Index];
  Least = Count == 0 ? Other.Least : std::min(Least, Other.Least);
  Greatest = std::max(Greatest, Other.Greatest);
  SumMicroseconds += Other.SumMicroseconds;
  Count += Other.Count;
}

double latency_histogram::percentileMs(double Part) const {
  if (Count == 0)
    return 0;
  const double Rank = std::ceil(Part * static_cast<double>(Count));
  std::uint64_t Seen = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets.size(); ++Bucket) {
    Seen += Buckets[Bucket];
    if (static_cast<double>(Seen) >= Rank && Seen > 0)
      return std::min(toMs(static_cast<std::int64_t>(upperEnd(Bucket))),
                      greatestMs());
  }
  return greatestMs();
}

double latency_histogram::leastMs() const { return toMs(Least); }

double latency_histogram::meanMs() const {
  if (Count == 0)
    return 0;
  return SumMicroseconds / static_cast<double>(Count) / 1'000;
}

} // namespace spindle
