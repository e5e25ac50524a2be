#ifndef PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_HOST_H
#define PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_HOST_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibGateway/gateway_wire.h"
#include "LibGateway/order_port.h"
#include "LibGateway/service_retry_budgets.h"
#include "LibHTTP/http_client.h"
#include "LibPlatform/platform_port.h"
#include "LibRuntime/fiber_runtime.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace spindle {

/// What one gateway host is told at its start.
struct gateway_settings {
  std::string Name;
  std::string Zone;
  endpoint Callers;
  /// Where the balancer asks whether the host is ready.
  endpoint Ready;
  endpoint HostLink;
  endpoint Metrics;
  /// Where other hosts may be asked while the platform does not answer.
  std::vector<endpoint> Seeds;
  /// From the start of a planned stop to its end at the latest.
  milliseconds DrainLimit{8'000};
  /// How long new connections are taken after a drain began.
  milliseconds DrainDelay{2'500};
  retry_limits Repeats;
};

/// How a host speaks with everything around it but other hosts.
struct gateway_ports {
  gateway_wire Wire;
  platform_port Platform;
  order_port Orders;
};

/// One entry host that passes requests on as they are: their heads say all
/// that decides, their bodies stay opaque. Construct, use and destroy it from
/// one thread that is not of the runtime.
class gateway_host {
public:
  /// Starts to serve. \p Clock, \p Runtime and \p Client must outlive the
  /// host. \p Incarnation differs at every start of the process.
  /// \throws std::system_error or spindle_error if an address can't be bound.
  gateway_host(const runtime_clock &Clock, fiber_runtime &Runtime,
               http_client &Client, gateway_settings Settings,
               gateway_ports Ports, std::uint64_t Incarnation);
  /// Stops at once: running requests are cut.
  ~gateway_host();
  gateway_host(const gateway_host &) = delete;
  gateway_host &operator=(const gateway_host &) = delete;

  /// Where callers connect. Thread-safe.
  endpoint callers() const;
  endpoint ready() const;
  endpoint metrics() const;
  endpoint hostLink() const;
  /// Begins a planned stop. Thread-safe.
  void startDrain();
  /// Whether the planned stop has finished. Thread-safe.
  bool drained() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_HOST_H
