#include "LibHost/component_settings.h"

#include "LibPeer/host_link_server.h"
#include "LibRuntime/fiber_runtime.h"

namespace spindle {

host_link::Sender makeSender(const host_settings &Settings,
                             std::uint64_t Incarnation) {
  host_link::Sender Sender;
  Sender.set_protocol(HostLinkProtocol);
  Sender.set_host(host_id::ofName(Settings.Name).Value);
  Sender.set_zone(zone_id::ofName(Settings.Zone).Value);
  Sender.set_incarnation(Incarnation);
  return Sender;
}

http_platform_settings platformSettings(const host_settings &Settings) {
  http_platform_settings Result;
  Result.Servers = Settings.Platform.Servers;
  Result.CallTimeout = Settings.Platform.CallTimeout;
  Result.Namespace = Settings.Platform.Namespace;
  Result.UserAgent = "spindle/" + Settings.Zone + "/" + Settings.Name;
  return Result;
}

rate_limiter_settings limiterSettings(const host_settings &Settings) {
  rate_limiter_settings Result;
  Result.AdmissionWait = Settings.Timeouts.AdmissionWait;
  return Result;
}

configuration_follower_settings
followerSettings(const host_settings &Settings) {
  configuration_follower_settings Result;
  Result.PollInterval = Settings.Timeouts.ConfigurationPoll;
  Result.PeerCallTimeout = Settings.Timeouts.PeerCall;
  Result.Seeds = Settings.Seeds;
  return Result;
}

order_executor_settings orderSettings() {
  order_executor_settings Result;
  Result.Sleep = sleepFor;
  return Result;
}

http_server_limits serverLimits(const host_settings &Settings) {
  http_server_limits Result;
  Result.HeaderBytes = Settings.Limits.HeaderBytes;
  Result.Connections = Settings.Limits.Connections;
  Result.HeaderTimeout = Settings.Timeouts.Header;
  Result.IdleTimeout = Settings.Timeouts.IdleConnection;
  Result.ProgressTimeout = Settings.Timeouts.CallerStall;
  return Result;
}

membership_settings membershipSettings(const host_settings &Settings,
                                       const endpoint &Link,
                                       std::uint64_t Incarnation) {
  membership_settings Result;
  Result.Name = Settings.Name;
  Result.Zone = Settings.Zone;
  Result.Link = Link;
  Result.Incarnation = Incarnation;
  Result.Boot = readBootIdentity();
  Result.Lease = Settings.Lease;
  Result.Seed = Incarnation;
  return Result;
}

} // namespace spindle
