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

/// The remaining quotas of the customers, as known to this host. All methods
/// are thread-safe.
class customer_quota {
public:
  explicit customer_quota(const runtime_clock &Clock) : Clock(Clock) {}

  /// Sets the customers' limits. The buckets of the first configuration start
  /// with RestartFill, those of customers that a later one adds with
  /// InitialFill.
  void applyConfiguration(const gateway_configuration &Configuration);
  /// Sets the fraction of the fleet that this host receives usage reports from.
  void setFleetShare(double Share);
  /// Units that a request costs the customer.
  static std::int64_t unitsOf(const gateway_customer &Customer,
                              const request_description &Request);
  /// Charges a request. \throws retry_after_error RateExceeded.
  void charge(const gateway_customer &Customer, std::int64_t Units);
  /// Refunds a charge. Precondition: the request has not run and never will.
  void refund(const gateway_customer &Customer, std::int64_t Units);
  /// Units charged by this host since its start.
  customer_usage localUsage() const;
  /// Subtracts units charged by other hosts since their previous reports.
  void noteRemoteUsage(const customer_usage &Uses);

private:
  const runtime_clock &Clock;
  mutable std::mutex Mutex;
  double Share = 1;
  bool HasConfiguration = false;
  std::map<customer_id, usage_bucket> Buckets;
  customer_usage LocalUnits;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_CUSTOMER_QUOTA_H
