#ifndef PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_LIMITS_H
#define PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_LIMITS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/upstream_entry.h"
#include "LibGateway/upstream_statement.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace spindle {

/// The limit that one start of an upstream stated last.
struct upstream_limit {
  std::int64_t StartedAt = 0;
  /// None if it has ended.
  std::optional<double> RequestsPerSecond;
  time_point StatedAt;
};

/// A limit for the exchange between hosts.
struct reported_limit {
  upstream_id Upstream;
  upstream_limit Limit;
};

/// The limits that upstreams stated to any host. Modified only through the
/// functions below, none of which is thread-safe.
struct upstream_limits {
  std::unordered_map<upstream_id, upstream_limit> Limits;
};

/// Applies what a response of an upstream states; the request was sent at
/// \p SentAt. Returns whether the limit has changed.
bool noteStatement(upstream_limits &Limits, const upstream_entry &Upstream,
                   const upstream_statement &Statement, time_point SentAt,
                   time_point Now);
/// Applies what another host knows. Returns whether the limit has changed.
bool mergeLimit(upstream_limits &Limits, const upstream_entry &Upstream,
                const upstream_limit &Reported);
/// Forgets a limit that an earlier start of the upstream stated.
void noteStart(upstream_limits &Limits, const upstream_entry &Upstream);
/// The rate that the upstream accepts from all hosts together; none if it has
/// no limit.
std::optional<double> limitOf(const upstream_limits &Limits,
                              const upstream_entry &Upstream);
/// What other hosts have to know, the newest first, at most \p MaxCount.
std::vector<reported_limit> limitsToReport(const upstream_limits &Limits,
                                           std::size_t MaxCount,
                                           time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_UPSTREAM_LIMITS_H
