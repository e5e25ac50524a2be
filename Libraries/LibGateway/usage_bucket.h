#ifndef PARSLEYSPINDLE_LIBGATEWAY_USAGE_BUCKET_H
#define PARSLEYSPINDLE_LIBGATEWAY_USAGE_BUCKET_H

#include "LibCore/runtime_clock.h"

namespace spindle {

/// This host's copy of the token bucket that a customer has over all hosts.
/// What other hosts admit is subtracted as they tell of it; a host that
/// hears only of a part of the fleet refills the bucket by that part's share
/// alone, so that parts that are cut off from each other stay within the
/// rate together.
struct usage_bucket {
  /// Units a second, over all hosts.
  double Rate = 0;
  /// Units that may be used at once, over all hosts.
  double Burst = 0;
  /// The part of the fleet that this host hears of, above 0 and at most 1.
  double Share = 1;
  double Level = 0;
  time_point RefilledAt;
};

/// The part of the burst that a bucket holds when its host has just started,
/// as it does not know what its former process admitted.
inline constexpr double InitialFill = 0.5;

/// Sets rate and burst. A new bucket starts with InitialFill of its burst, a
/// bucket in use keeps its level up to the new burst. Not thread-safe.
void setLimits(usage_bucket &Bucket, double Rate, double Burst, time_point Now);
/// Sets the share of the fleet that is heard of. Not thread-safe.
void setShare(usage_bucket &Bucket, double Share, time_point Now);
/// Takes \p Units if they are there. A request larger than the burst is let
/// through by a full bucket, and the level falls below zero. Not thread-safe.
bool takeUnits(usage_bucket &Bucket, double Units, time_point Now);
/// Puts back what a request that has not run had taken. Not thread-safe.
void refundUnits(usage_bucket &Bucket, double Units, time_point Now);
/// Subtracts what other hosts have admitted. Not thread-safe.
void noteRemoteUsage(usage_bucket &Bucket, double Units, time_point Now);
/// How long until \p Units will be there if nobody takes any. Not thread-safe.
milliseconds timeUntil(usage_bucket &Bucket, double Units, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_USAGE_BUCKET_H
