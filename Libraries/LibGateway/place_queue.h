#ifndef PARSLEYSPINDLE_LIBGATEWAY_PLACE_QUEUE_H
#define PARSLEYSPINDLE_LIBGATEWAY_PLACE_QUEUE_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/upstream_entry.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace spindle {

/// What a request gains from an adapter that it waits for.
struct slot_request {
  /// The engines that may have it, the best first.
  std::vector<upstream_id> Engines;
  /// Until then the answer would come in the latency that callers expect.
  time_point OnTimeUntil;
  /// After this the request has no use for the adapter any more.
  time_point UsefulUntil;
  /// The smaller, the more urgent.
  int Urgency = 0;
};

/// The requests of a zone that wait for adapters, since every place for one
/// is taken. A place that becomes free goes to the adapter whose requests can
/// still be answered in time, the more urgent first, then the one that most
/// requests wait for. Requests that are late already get what these leave.
/// Changed through the functions below only; none of them is thread-safe.
struct slot_queue {
  std::map<adapter_name, std::map<std::uint64_t, slot_request>> Waiting;
  std::uint64_t LastTicket = 0;
  /// When those that waited got their places, lately.
  std::deque<time_point> Grants;
};

/// Puts a request in the queue and returns its ticket.
std::uint64_t enterQueue(slot_queue &Queue, const adapter_name &Adapter,
                         const slot_request &Request);
/// Takes a request out. Does nothing if it is not there.
void leaveQueue(slot_queue &Queue, const adapter_name &Adapter,
                std::uint64_t Ticket);
/// Whether \p Adapter goes before all others that want a place of \p Engine.
/// True for one for which nobody waits while nobody else does.
bool hasPriority(const slot_queue &Queue, const adapter_name &Adapter,
                 upstream_id Engine, time_point Now);
/// Notes that an adapter for which requests waited has got a place.
void noteGrant(slot_queue &Queue, time_point Now);
/// How long a request for \p Adapter would wait for a place, by the pace at
/// which those before it got theirs; none while the pace is unknown.
std::optional<nanoseconds> expectedWait(const slot_queue &Queue,
                                        const adapter_name &Adapter,
                                        const slot_request &Request,
                                        time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_PLACE_QUEUE_H
