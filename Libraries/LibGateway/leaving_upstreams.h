#ifndef PARSLEYSPINDLE_LIBGATEWAY_LEAVING_UPSTREAMS_H
#define PARSLEYSPINDLE_LIBGATEWAY_LEAVING_UPSTREAMS_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/upstream_entry.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace spindle {

/// That one start of an upstream has stated that it leaves.
struct stated_leaving {
  upstream_id Upstream;
  std::int64_t StartedAt = 0;
  time_point StatedAt;
};

/// The upstreams that stated to any host that they leave, whatever their
/// registrations show. Modified only through the functions below, none of which
/// is thread-safe.
struct leaving_upstreams {
  std::unordered_map<upstream_id, stated_leaving> Stated;
};

/// Records that an upstream leaves. Returns whether that is new.
bool noteLeaving(leaving_upstreams &Leaving, const stated_leaving &Stated);
/// Whether this start of the upstream leaves. An upstream that is registered
/// minutes after its statement counts as staying, so that a wrong statement
/// does not cost it for good.
bool isLeaving(const leaving_upstreams &Leaving, const upstream_entry &Upstream,
               time_point Now);
/// What other hosts have to know, the newest first, at most \p MaxCount.
std::vector<stated_leaving> leavingToReport(const leaving_upstreams &Leaving,
                                            std::size_t MaxCount,
                                            time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_LEAVING_UPSTREAMS_H
