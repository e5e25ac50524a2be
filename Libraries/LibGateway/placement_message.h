#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_MESSAGE_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_MESSAGE_H

#include "LibGateway/work_request.h"
#include "LibPeer/host_link_client.h"

#include <string_view>

namespace spindle {

/// What a request asks of the engine that the zone's leader chooses for it.
struct hold_work {
  std::string_view Service;
  /// Never null.
  const request_description *Description = nullptr;
  placement_query Query;
  /// Engines of the zone that this host may not use.
  std::vector<upstream_id> Avoid;
};

/// The functions below are thread-safe.

/// Writes a request's work into a message to the zone's leader.
void writeWork(const hold_work &Work, host_link::RequestWork &Message);
/// Reads the work from a message of a peer, which may state any figures; they
/// are brought into the range that requests have.
work_request readWork(const host_link::HoldAdapterRequest &Message,
                      time_point Now);
/// A time that a peer states as milliseconds from now; at most some minutes
/// from \p Now in either direction.
time_point readTime(std::int64_t Milliseconds, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLACEMENT_MESSAGE_H
