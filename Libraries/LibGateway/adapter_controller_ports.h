#ifndef PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_PORTS_H
#define PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_PORTS_H

#include "LibGateway/engine_order_port.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace spindle {

/// The interfaces of an adapter_controller to the rest of the host.
struct adapter_controller_ports {
  engine_order_port Orders;
  std::function<void(std::function<void()>)> Spawn;
  /// Returns the fencing token for orders to the zone's engines; none if this
  /// host is not the zone's leader.
  std::function<std::optional<std::uint64_t>(std::string_view Zone)>
      FencingToken;
  /// Called when an engine has received a higher fencing token than
  /// \p FencingToken.
  std::function<void(std::uint64_t FencingToken)> OnFenced;
  /// Returns the newest announced version of an adapter, 0 if there is none.
  std::function<std::uint64_t(const adapter_name &)> NewestVersion;
  /// Returns the number of adapter slots of an engine of the service.
  std::function<std::size_t(std::string_view Service)> Capacity;
  /// Returns the base model that an engine of the service without a model
  /// should load; empty for a service without models.
  std::function<std::string(std::string_view Service)> ModelForEmptyEngine;
  /// Returns whether the rate limit of the weight store permits loading a base
  /// model now; if so, counts the load.
  std::function<bool()> TryAcquireModelLoad;
  /// The name by which this host identifies itself to engines.
  std::string Holder;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ADAPTER_CONTROLLER_PORTS_H
