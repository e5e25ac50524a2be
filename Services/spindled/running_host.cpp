#include "running_host.h"

#include "LibGateway/gateway_host.h"
#include "LibHost/host.h"
#include "platform/platform_ports.h"

#include <algorithm>
#include <random>

namespace spindle {

namespace {

std::uint64_t drawIncarnation() {
  std::random_device Random;
  return (static_cast<std::uint64_t>(Random()) << 32U) | Random();
}

running_host startOpenAiHost(const runtime_clock &Clock, fiber_runtime &Runtime,
                             const host_settings &Settings) {
  const std::shared_ptr<host> Host =
      std::make_shared<host>(Clock, Runtime, Settings, drawIncarnation());
  const host_addresses Addresses = Host->addresses();
  running_host Running;
  Running.StartDrain = [Host] { Host->startDrain(); };
  Running.Drained = [Host] { return Host->drained(); };
  Running.StopWanted = [Host] { return Host->stopRequested(); };
  Running.Addresses = {{"callers", Addresses.Callers},
                       {"hosts", Addresses.HostLink},
                       {"metrics", Addresses.Metrics}};
  Running.Parts = Host;
  return Running;
}

gateway_settings gatewaySettings(const host_settings &Settings) {
  gateway_settings Result;
  Result.Name = Settings.Name;
  Result.Zone = Settings.Zone;
  Result.Callers = Settings.Listen.Callers;
  Result.Ready = Settings.Listen.Ready;
  if (Result.Ready.Address.empty())
    Result.Ready = {Result.Callers.Address, 0};
  Result.HostLink = Settings.Listen.HostLink;
  Result.Metrics = Settings.Listen.Metrics;
  Result.Seeds = Settings.Seeds;
  Result.DrainTimeout = Settings.Timeouts.Drain;
  Result.DrainDelay = Settings.Timeouts.DrainDelay;
  static constexpr double MillisecondsPerSecond = 1'000;
  Result.RetryLimits = {
      Settings.Repeats.Percent, Settings.Repeats.Extra,
      milliseconds(static_cast<std::int64_t>(Settings.Repeats.WindowSeconds *
                                             MillisecondsPerSecond))};
  Result.ChangeDelay =
      std::min(Settings.Reaction.Configuration, Settings.Reaction.Upstream);
  Result.EvacuationDelay = Settings.Reaction.Evacuation;
  Result.PlacementMinEngines = Settings.Routing.PlacementMinEngines;
  return Result;
}

/// A gateway host and the client that it speaks through.
struct gateway_parts {
  explicit gateway_parts(const host_settings &Settings)
      : Client(Settings.Limits.IdleConnectionsPerUpstream) {}

  http_client Client;
  std::unique_ptr<gateway_host> Host;
};

running_host startForwardingHost(const runtime_clock &Clock,
                                 fiber_runtime &Runtime,
                                 const host_settings &Settings) {
  const std::shared_ptr<gateway_parts> Parts =
      std::make_shared<gateway_parts>(Settings);
  Parts->Host = std::make_unique<gateway_host>(
      Clock, Runtime, Parts->Client, gatewaySettings(Settings),
      makePlatformPorts(Parts->Client, Settings.Platform.Servers.front(),
                        Settings.Platform.CallTimeout),
      drawIncarnation());
  running_host Running;
  Running.StartDrain = [Parts] { Parts->Host->startDrain(); };
  Running.Drained = [Parts] { return Parts->Host->drained(); };
  Running.StopWanted = [] { return false; };
  Running.Addresses = {{"callers", Parts->Host->callers()},
                       {"hosts", Parts->Host->hostLink()},
                       {"metrics", Parts->Host->metrics()},
                       {"balancer", Parts->Host->ready()}};
  Running.Parts = Parts;
  return Running;
}

} // namespace

running_host startHost(const runtime_clock &Clock, fiber_runtime &Runtime,
                       const host_settings &Settings) {
  return Settings.Interface == host_interface::Forwarding
             ? startForwardingHost(Clock, Runtime, Settings)
             : startOpenAiHost(Clock, Runtime, Settings);
}

} // namespace spindle
