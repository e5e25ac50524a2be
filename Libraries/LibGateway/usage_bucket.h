#ifndef PARSLEYSPINDLE_LIBGATEWAY_USAGE_BUCKET_H
#define PARSLEYSPINDLE_LIBGATEWAY_USAGE_BUCKET_H

#include "LibCore/runtime_clock.h"

namespace spindle {

/// This host's copy of a customer's fleet-wide token bucket. The units that
/// other hosts admit are subtracted when they are reported. A host that
/// receives reports from only a part of the fleet refills its bucket by that
/// part's share, so that the partitions of a split fleet together stay within
/// the rate.
struct usage_bucket {
  /// Units per second, for all hosts together.
  double Rate = 0;
  /// Units that may be used at once, for all hosts together.
  double Burst = 0;
  /// Fraction of the fleet that this host receives reports from, in (0, 1].
  double Share = 1;
  double Level = 0;
  /// Mean units of the requests that this host was offered, and their number up
  /// to a limit.
  double MeanUnits = 0;
  double Offered = 0;
  time_point RefilledAt;
  /// Until when the hosts together admit too much before they report it.
  time_point OverusedUntil;
};

/// Fraction of the burst in the bucket of a new customer. It is below 1 because
/// hosts apply a configuration at different times.
inline constexpr double InitialFill = 0.5;
/// Fraction of the burst in the buckets of a new process.
///
/// Answers the load pattern in which hosts restart while a customer exceeds its
/// rate: the other hosts have used its burst up, and each new process would
/// admit its part once more. A new process gets requests only after the
/// balancer has found it ready; until then, a customer within its rate has
/// enough again.
inline constexpr double RestartFill = 0;

/// Sets rate and burst. A new bucket starts with \p Fill of its burst; an
/// existing one keeps its level, capped at the new burst. Not thread-safe.
void setLimits(usage_bucket &Bucket, double Rate, double Burst, time_point Now,
               double Fill = InitialFill);
/// Sets the fraction of the fleet that reports are received from. Not
/// thread-safe.
void setShare(usage_bucket &Bucket, double Share, time_point Now);
/// Takes \p Units if available. A full bucket admits a request larger than the
/// burst, after which the level is negative.
///
/// Answers the load pattern in which a customer sends many times its rate to
/// many hosts: each would admit what the others have admitted already but not
/// reported yet. Once that has happened, so that the level fell below 0, hosts
/// admit for a while only a part of the requests, which grows with the level.
/// Requests smaller than the mean are refused less often in proportion, as they
/// contribute less to it: else a customer's small requests are refused for what
/// its large ones use.
/// \p Draw is a random number in [0, 1) that selects this part. Not
/// thread-safe.
bool takeUnits(usage_bucket &Bucket, double Units, double Draw, time_point Now);
/// Returns the units taken by a request that has not run. Not thread-safe.
void refundUnits(usage_bucket &Bucket, double Units, time_point Now);
/// Subtracts units that other hosts have admitted. Not thread-safe.
void noteRemoteUsage(usage_bucket &Bucket, double Units, time_point Now);
/// Time until \p Units are certain to be admitted if none are taken meanwhile.
/// Not thread-safe.
milliseconds timeUntil(usage_bucket &Bucket, double Units, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_USAGE_BUCKET_H
