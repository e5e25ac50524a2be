#ifndef PARSLEYSPINDLE_LIBGATEWAY_CUSTOMER_QUOTA_H
#define PARSLEYSPINDLE_LIBGATEWAY_CUSTOMER_QUOTA_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/gateway_configuration.h"
#include "LibGateway/request_description.h"
#include "LibGateway/usage_bucket.h"

#include <map>
#include <mutex>

namespace spindle {

/// Units by customer.
using customer_usage = std::map<customer_id, std::int64_t>;

/// What the customers may still use, as this host knows it. Thread-safe in
/// every method.
class customer_quota {
public:
  explicit customer_quota(const runtime_clock &Clock) : Clock(Clock) {}

  void applyConfiguration(const gateway_configuration &Configuration);
  /// Sets the part of the fleet whose use this host hears of.
  void setFleetShare(double Share);
  /// What a request counts for the customer.
  static std::int64_t unitsOf(const gateway_customer &Customer,
                              const request_description &Request);
  /// Charges a request. \throws retry_after_error RateExceeded.
  void charge(const gateway_customer &Customer, std::int64_t Units);
  /// Takes a charge back: the request has not run and never will.
  void refund(const gateway_customer &Customer, std::int64_t Units);
  /// What this host has charged since its start.
  customer_usage localUsage() const;
  /// Subtracts what other hosts have charged since they told of it last.
  void noteRemoteUsage(const customer_usage &Uses);

private:
  const runtime_clock &Clock;
  mutable std::mutex Mutex;
  double Share = 1;
  std::map<customer_id, usage_bucket> Buckets;
  customer_usage LocalUnits;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_CUSTOMER_QUOTA_H
