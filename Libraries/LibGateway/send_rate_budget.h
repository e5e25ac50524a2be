#ifndef PARSLEYSPINDLE_LIBGATEWAY_SEND_RATE_BUDGET_H
#define PARSLEYSPINDLE_LIBGATEWAY_SEND_RATE_BUDGET_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/upstream_entry.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace spindle {

/// A registered host and its availability zone.
struct host_location {
  std::string Name;
  std::string Zone;

  bool operator==(const host_location &) const = default;
};

/// Divides the request rate that an upstream accepts from all hosts together,
/// as it warms up after a start or states a limit. Answers the load pattern in
/// which the whole fleet sends to upstreams that have just come back, or that
/// can't keep up.
///
/// Only a few hosts, chosen by rendezvous hashing, may send to the upstream,
/// and each spaces its own requests. So no messages are needed, and hosts that
/// are cut off from each other stay within the rate together. Hosts of the
/// upstream's zone go first.
///
/// Returns the least interval between two requests of the host \p OwnName; none
/// if it may send no request, which is also so if it is not among \p Hosts. In
/// any second, all hosts together send at most 1.5 times the rate, and at most
/// one request more if the rate is below 2. The interval is at most 10 s, as
/// only a response shows that the rate has changed. Thread-safe.
std::optional<nanoseconds> sendInterval(const upstream_entry &Upstream,
                                        double RequestsPerSecond,
                                        std::span<const host_location> Hosts,
                                        std::string_view OwnName);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SEND_RATE_BUDGET_H
