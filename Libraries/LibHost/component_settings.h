#ifndef PARSLEYSPINDLE_LIBHOST_COMPONENT_SETTINGS_H
#define PARSLEYSPINDLE_LIBHOST_COMPONENT_SETTINGS_H

#include "LibHTTP/http_server.h"
#include "LibHost/configuration_follower.h"
#include "LibHost/membership_agent.h"
#include "LibHost/order_executor.h"
#include "LibHost/rate_limiter.h"
#include "LibPlatform/http_platform.h"
#include "LibSettings/host_settings.h"

#include <cstdint>

namespace spindle {

// The settings of a host's components, from the host's settings. Thread-safe.

host_link::Sender makeSender(const host_settings &Settings,
                             std::uint64_t Incarnation);
http_platform_settings platformSettings(const host_settings &Settings);
rate_limiter_settings limiterSettings(const host_settings &Settings);
configuration_follower_settings followerSettings(const host_settings &Settings);
order_executor_settings orderSettings();
http_server_limits serverLimits(const host_settings &Settings);
/// \p Link is where this process listens for other hosts.
membership_settings membershipSettings(const host_settings &Settings,
                                       const endpoint &Link,
                                       std::uint64_t Incarnation);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_COMPONENT_SETTINGS_H
