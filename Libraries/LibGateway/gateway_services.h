#ifndef PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_SERVICES_H
#define PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_SERVICES_H

#include "LibGateway/adapter_holds.h"
#include "LibGateway/customer_quota.h"
#include "LibGateway/drain_deadline.h"
#include "LibGateway/fleet_table.h"
#include "LibGateway/gateway_codec.h"
#include "LibGateway/object_mirror.h"
#include "LibGateway/release_table.h"
#include "LibGateway/request_costs.h"
#include "LibGateway/request_stages.h"
#include "LibGateway/service_retry_budgets.h"
#include "LibGateway/service_retry_paces.h"
#include "LibGateway/waiting_requests.h"
#include "LibGateway/zone_coordinator.h"
#include "LibHTTP/http_client.h"
#include "LibMetrics/metrics.h"

#include <memory>
#include <mutex>

namespace spindle {

/// The configuration in force. Thread-safe.
class active_configuration {
public:
  /// Null until the first configuration has been loaded.
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

/// Whether the leader of a zone places requests by their work.
struct placement_settings {
  /// It does where the zone has at least so many engines of the service; 0
  /// turns it off. With few engines, each host has enough facts of each.
  std::uint32_t MinEnginesPerZone = 0;

  bool appliesTo(std::size_t EnginesInZone) const {
    return MinEnginesPerZone > 0 && EnginesInZone >= MinEnginesPerZone;
  }
};

/// The components of a host that request handling uses. Each is thread-safe and
/// outlives all requests.
struct gateway_services {
  const runtime_clock &Clock;
  const gateway_codec &Codec;
  metrics &Metrics;
  http_client &Client;
  active_configuration &Configuration;
  /// The objects that Configuration is read from.
  const object_mirror &ConfigurationObjects;
  fleet_table &Fleet;
  customer_quota &Quota;
  zone_coordinator &Coordinator;
  adapter_holds &Holds;
  release_table &Releases;
  service_retry_budgets &RetryBudgets;
  request_costs &Costs;
  placement_settings Placement;
  service_retry_paces &RetryPaces;
  waiting_requests &Waits;
  request_stages &Stages;
  const drain_deadline &Drain;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_SERVICES_H
