#ifndef PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_SERVICES_H
#define PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_SERVICES_H

#include "LibGateway/adapter_holds.h"
#include "LibGateway/customer_quota.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/gateway_wire.h"
#include "LibGateway/release_table.h"
#include "LibGateway/service_retry_budgets.h"
#include "LibGateway/zone_hub.h"
#include "LibHTTP/http_client.h"
#include "LibMetrics/metrics.h"

#include <memory>
#include <mutex>

namespace spindle {

/// The configuration in force. Thread-safe.
class configuration_cell {
public:
  /// Null until the first configuration is known.
  configuration_pointer current() const {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Current;
  }
  void set(configuration_pointer Next) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Current = std::move(Next);
  }

private:
  mutable std::mutex Mutex;
  configuration_pointer Current;
};

/// The parts of a host that serve requests. Every part is thread-safe and
/// outlives the requests.
struct gateway_services {
  const runtime_clock &Clock;
  const gateway_wire &Wire;
  metrics &Metrics;
  http_client &Client;
  configuration_cell &Configuration;
  fleet_table &Fleet;
  customer_quota &Quota;
  zone_hub &Hub;
  adapter_holds &Holds;
  release_table &Releases;
  service_retry_budgets &Repeats;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_SERVICES_H
