#include "LibGateway/customer_quota.h"

#include "LibCore/random_fraction.h"
#include "LibCore/retry_after_error.h"

#include <algorithm>

namespace spindle {

void customer_quota::applyConfiguration(
    const gateway_configuration &Configuration) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const double Fill = HasConfiguration ? InitialFill : RestartFill;
  HasConfiguration = true;
  std::map<customer_id, usage_bucket> Next;
  for (const gateway_customer &Customer : Configuration.Customers) {
    if (Customer.RatePerSecond <= 0)
      continue;
    const customer_id Id = customer_id::ofName(Customer.Name);
    usage_bucket &Bucket = Next[Id];
    const auto Found = Buckets.find(Id);
    if (Found != Buckets.end())
      Bucket = Found->second;
    Bucket.Share = Share;
    setLimits(Bucket, Customer.RatePerSecond,
              std::max(Customer.Burst, Customer.RatePerSecond), Clock.now(),
              Fill);
  }
  Buckets = std::move(Next);
}

void customer_quota::setFleetShare(double NewShare) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (NewShare == Share)
    return;
  Share = NewShare;
  for (auto &[Id, Bucket] : Buckets)
    setShare(Bucket, Share, Clock.now());
}

std::int64_t customer_quota::unitsOf(const gateway_customer &Customer,
                                     const request_description &Request) {
  if (!Customer.CountsTokens)
    return 1;
  if (!Request.HasTokenCounts)
    return Customer.DefaultTokens;
  return Request.PromptTokens + Request.MaxOutputTokens;
}

void customer_quota::charge(const gateway_customer &Customer,
                            std::int64_t Units) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const customer_id Id = customer_id::ofName(Customer.Name);
  const auto Found = Buckets.find(Id);
  const double Wanted = static_cast<double>(Units);
  if (Found != Buckets.end() &&
      !takeUnits(Found->second, Wanted, randomFraction(), Clock.now()))
    throw retry_after_error(result_code::RateExceeded,
                            "the customer has used its rate and burst",
                            timeUntil(Found->second, Wanted, Clock.now()));
  LocalUnits[Id] += Units;
}

void customer_quota::refund(const gateway_customer &Customer,
                            std::int64_t Units) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const customer_id Id = customer_id::ofName(Customer.Name);
  const auto Found = Buckets.find(Id);
  if (Found != Buckets.end())
    refundUnits(Found->second, static_cast<double>(Units), Clock.now());
  LocalUnits[Id] -= Units;
}

customer_usage customer_quota::localUsage() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return LocalUnits;
}

void customer_quota::noteRemoteUsage(const customer_usage &Uses) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  for (const auto &[Id, Units] : Uses) {
    const auto Found = Buckets.find(Id);
    if (Found != Buckets.end())
      spindle::noteRemoteUsage(Found->second, static_cast<double>(Units),
                               Clock.now());
  }
}

} // namespace spindle
