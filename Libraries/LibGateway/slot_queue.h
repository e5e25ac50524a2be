#ifndef PARSLEYSPINDLE_LIBGATEWAY_SLOT_QUEUE_H
#define PARSLEYSPINDLE_LIBGATEWAY_SLOT_QUEUE_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/upstream_entry.h"
#include "LibScheduling/grant_shares.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace spindle {

/// A request that waits for an adapter slot.
struct slot_request {
  /// The engines on which the adapter may be loaded, in order of preference.
  std::vector<upstream_id> Engines;
  /// If the adapter is held by then, the answer meets the latency objective.
  time_point OnTimeUntil;
  /// Later than this the adapter is of no use to the request.
  time_point UsefulUntil;
  /// Lower values are more urgent.
  int Urgency = 0;
  /// Whose request it is; none if customers are not distinguished.
  customer_id Customer{};
  /// Whether customers share the grants of the queue that the request enters.
  bool SharesGrants = false;
};

/// The requests of a zone that wait for an adapter because no adapter slot is
/// available. A slot that becomes free goes to the adapter whose requests can
/// still meet their latency objective: the most urgent first, then the one that
/// most requests wait for. Requests that are already late are served last.
///
/// With SharesGrants, the most urgent go first and customers share the grants
/// as grant_shares states; the order above holds within a customer's requests
/// of one urgency. Urgent requests that are late alternate with less urgent
/// ones that are not. Otherwise a kind of request whose objective is short is
/// served less often than less urgent ones once it is late, and a customer that
/// asks for much leaves little to the others.
/// Modify it only through the functions below; none of them is thread-safe.
struct slot_queue {
  std::map<adapter_name, std::map<std::uint64_t, slot_request>> Waiting;
  std::uint64_t LastTicket = 0;
  /// When waiting adapters were recently granted a slot.
  std::deque<time_point> Grants;
  bool SharesGrants = false;
  grant_shares Shares;
};

/// Adds a request to the queue and returns its ticket.
std::uint64_t enterQueue(slot_queue &Queue, const adapter_name &Adapter,
                         const slot_request &Request);
/// Removes a request from the queue. Does nothing if it is not queued.
void leaveQueue(slot_queue &Queue, const adapter_name &Adapter,
                std::uint64_t Ticket);
/// Whether no other adapter that waits for a slot of \p Engine has priority
/// over \p Adapter. An adapter without waiting requests has the lowest
/// priority.
bool hasPriority(const slot_queue &Queue, const adapter_name &Adapter,
                 upstream_id Engine, time_point Now);
/// Records that an adapter with waiting requests was granted a slot.
void noteGrant(slot_queue &Queue, time_point Now);
/// The same; charges the customers whose requests wait for \p Adapter, so call
/// it before they leave the queue.
void noteGrant(slot_queue &Queue, const adapter_name &Adapter,
               upstream_id Engine, time_point Now);
/// Estimates how long a request for \p Adapter would wait for a slot, from the
/// recent rate of grants and the adapters ahead of it. Returns nullopt while
/// there are too few grants to estimate a rate.
std::optional<nanoseconds> expectedWait(const slot_queue &Queue,
                                        const adapter_name &Adapter,
                                        const slot_request &Request,
                                        time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_SLOT_QUEUE_H
