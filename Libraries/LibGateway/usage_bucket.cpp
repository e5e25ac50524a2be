#include "LibGateway/usage_bucket.h"

#include <algorithm>
#include <cmath>

namespace spindle {

// Tolerance for rounding errors, which amount to less than one unit.
static constexpr double RoundingTolerance = 0.5;
static constexpr milliseconds MaxWait{60'000};
static constexpr milliseconds OverusePeriod{3'000};
// The mean size of requests reaches back this many requests.
static constexpr double OfferedReach = 50;

static double capacityOf(const usage_bucket &Bucket) {
  return Bucket.Burst * Bucket.Share;
}

static void refill(usage_bucket &Bucket, time_point Now) {
  const std::chrono::duration<double> Passed = Now - Bucket.RefilledAt;
  Bucket.RefilledAt = Now;
  Bucket.Level =
      std::min(capacityOf(Bucket),
               Bucket.Level + Passed.count() * Bucket.Rate * Bucket.Share);
}

void setLimits(usage_bucket &Bucket, double Rate, double Burst, time_point Now,
               double Fill) {
  const bool IsNew = Bucket.RefilledAt == time_point();
  if (IsNew)
    Bucket.RefilledAt = Now;
  refill(Bucket, Now);
  Bucket.Rate = Rate;
  Bucket.Burst = Burst;
  Bucket.Level = IsNew ? Fill * capacityOf(Bucket)
                       : std::min(Bucket.Level, capacityOf(Bucket));
}

void setShare(usage_bucket &Bucket, double Share, time_point Now) {
  refill(Bucket, Now);
  Bucket.Share = Share;
  Bucket.Level = std::min(Bucket.Level, capacityOf(Bucket));
}

static milliseconds timeToRefill(const usage_bucket &Bucket, double Level) {
  const double Missing = Level - Bucket.Level;
  const double RefillRate = Bucket.Rate * Bucket.Share;
  if (Missing <= 0)
    return milliseconds(0);
  if (RefillRate <= 0)
    return MaxWait;
  const double Seconds = Missing / RefillRate;
  return std::min(MaxWait, milliseconds(static_cast<std::int64_t>(
                               std::ceil(Seconds * 1'000))));
}

static double requiredLevel(const usage_bucket &Bucket, double Units) {
  return std::min(Units, capacityOf(Bucket)) - RoundingTolerance;
}

/// The level from which all requests of \p Units are admitted.
static double fullAdmissionLevel(const usage_bucket &Bucket, double Units,
                                 time_point Now) {
  if (Now >= Bucket.OverusedUntil)
    return 0;
  const double Part =
      Bucket.MeanUnits > 0 ? std::min(1.0, Units / Bucket.MeanUnits) : 1;
  return capacityOf(Bucket) * Part;
}

static void noteOffered(usage_bucket &Bucket, double Units) {
  Bucket.Offered = std::min(Bucket.Offered + 1, OfferedReach);
  Bucket.MeanUnits += (Units - Bucket.MeanUnits) / Bucket.Offered;
}

bool takeUnits(usage_bucket &Bucket, double Units, double Draw,
               time_point Now) {
  refill(Bucket, Now);
  noteOffered(Bucket, Units);
  if (Bucket.Level < requiredLevel(Bucket, Units))
    return false;
  if (Bucket.Level < Draw * fullAdmissionLevel(Bucket, Units, Now))
    return false;
  Bucket.Level -= Units;
  return true;
}

void refundUnits(usage_bucket &Bucket, double Units, time_point Now) {
  refill(Bucket, Now);
  Bucket.Level = std::min(capacityOf(Bucket), Bucket.Level + Units);
}

void noteRemoteUsage(usage_bucket &Bucket, double Units, time_point Now) {
  refill(Bucket, Now);
  Bucket.Level -= Units;
  if (Bucket.Level < 0)
    Bucket.OverusedUntil = Now + timeToRefill(Bucket, 0) + OverusePeriod;
}

milliseconds timeUntil(usage_bucket &Bucket, double Units, time_point Now) {
  refill(Bucket, Now);
  return timeToRefill(Bucket, std::max(requiredLevel(Bucket, Units),
                                       fullAdmissionLevel(Bucket, Units, Now)));
}

} // namespace spindle
