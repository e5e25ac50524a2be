#ifndef PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_HOST_H
#define PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_HOST_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibGateway/engine_order_port.h"
#include "LibGateway/gateway_codec.h"
#include "LibGateway/service_retry_budgets.h"
#include "LibHTTP/http_client.h"
#include "LibPlatform/platform_port.h"
#include "LibRuntime/fiber_runtime.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace spindle {

/// The start-up settings of a gateway host.
struct gateway_settings {
  std::string Name;
  std::string Zone;
  endpoint Callers;
  /// Serves the readiness check of the load balancer.
  endpoint Ready;
  endpoint HostLink;
  endpoint Metrics;
  /// Addresses at which other hosts may be found while the platform is
  /// unavailable.
  std::vector<endpoint> Seeds;
  /// The longest time from the start of a planned stop to its end.
  milliseconds DrainTimeout{8'000};
  /// How long new connections are accepted after a drain began.
  milliseconds DrainDelay{2'500};
  retry_limits RetryLimits;
  /// How soon a change of the configuration or of an upstream's registration
  /// must take effect after the platform accepted it.
  milliseconds ChangeDelay{2'000};
  /// The same for the evacuation of a zone; 0 if zones are never evacuated.
  milliseconds EvacuationDelay{0};
  /// The leader of a zone places requests by their work where the zone has at
  /// least so many engines of the service; 0 turns it off.
  std::uint32_t PlacementMinEngines = 0;
};

/// The interfaces of a host to all external systems except other hosts.
struct gateway_ports {
  gateway_codec Codec;
  platform_port Platform;
  engine_order_port Orders;
};

/// An entry host that forwards requests without interpreting their bodies:
/// everything that decides about a request stands in its head. Construct, use
/// and destroy it on one thread that does not belong to the fiber runtime.
class gateway_host {
public:
  /// Starts serving. \p Clock, \p Runtime and \p Client must outlive the host.
  /// \p Incarnation must differ at every start of the process.
  /// \throws std::system_error or spindle_error if an address can't be bound.
  gateway_host(const runtime_clock &Clock, fiber_runtime &Runtime,
               http_client &Client, gateway_settings Settings,
               gateway_ports Ports, std::uint64_t Incarnation);
  /// Stops at once and cuts off running requests.
  ~gateway_host();
  gateway_host(const gateway_host &) = delete;
  gateway_host &operator=(const gateway_host &) = delete;

  /// The address that callers connect to. Thread-safe.
  endpoint callers() const;
  endpoint ready() const;
  endpoint metrics() const;
  endpoint hostLink() const;
  /// Starts a planned stop. Thread-safe.
  void startDrain();
  /// Whether the planned stop has finished. Thread-safe.
  bool drained() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_HOST_H
