#ifndef PARSLEYSPINDLE_LIBSCHEDULING_FAIR_QUEUE_H
#define PARSLEYSPINDLE_LIBSCHEDULING_FAIR_QUEUE_H

#include "LibCore/result_code.h"
#include "LibScheduling/queue_settings.h"
#include "LibScheduling/service_meter.h"
#include "LibScheduling/waiting_request.h"

#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace spindle {

inline constexpr std::size_t PriorityClassCount = 4;

/// A customer's weight relative to the others.
struct customer_weight {
  customer_id Customer;
  std::uint32_t Weight = 1;
};

/// A flow of the fair queue: the waiting requests of one customer, or of all
/// customers under Fifo.
struct queue_flow {
  double Weight = 1;
  /// Virtual start time of the flow's next request: the tokens served to the
  /// flow, divided by its weight. When the flow becomes backlogged, this is
  /// raised to at least the queue's virtual time of CreditTime ago, which
  /// bounds the credit that an idle customer accumulates.
  double VirtualStart = 0;
  /// (arrival time, sequence number) by class; under Fifo all are in the first.
  std::array<std::set<std::pair<time_point, std::uint64_t>>, PriorityClassCount>
      Waiting;
  std::size_t Count = 0;
  std::array<std::int64_t, PriorityClassCount> WaitingTokens{};
  /// Negative by the tokens that aged requests were served beyond their share.
  /// An aged request goes before a higher class only while this is 0.
  double AgedCredit = 0;
};

/// A request queue using start-time fair queueing. Among customers, the one
/// that was served the fewest tokens relative to its weight goes first. Within
/// a customer, requests are served by class, and within a class in order of
/// arrival. A request rises by one class with each ageing step; requests that
/// overtake a higher class in this way get at most AgedShare of the customer's
/// tokens, so that neither starves the other. To be changed only through the
/// functions below. None of them is thread-safe; unless stated otherwise, each
/// takes O(log n).
struct fair_queue {
  queue_settings Settings;
  std::unordered_map<customer_id, std::uint32_t> Weights;
  std::unordered_map<customer_id, queue_flow> Flows;
  /// (virtual start time, flow) of every flow in which requests wait.
  std::set<std::pair<double, customer_id>> Backlogged;
  double BackloggedWeight = 0;
  std::unordered_map<std::uint64_t, waiting_request> Requests;
  std::set<std::pair<time_point, std::uint64_t>> Deadlines;
  std::unordered_map<customer_id, std::uint32_t> WaitingOfCustomer;
  double VirtualTime = 0;
  /// Samples of the virtual time, oldest first.
  std::deque<std::pair<time_point, double>> VirtualTimeSamples;
  std::uint64_t LastSequence = 0;
  service_meter Meter;
};

/// Replaces settings and weights and reorders the waiting requests. A customer
/// without a weight gets 1. Takes O(n log n).
void configureQueue(fair_queue &Queue, const queue_settings &Settings,
                    std::span<const customer_weight> Weights);
/// A lower bound for the wait of \p Request, by the measured service rate; none
/// while the rate is unknown. Precondition: the request is not queued yet.
std::optional<nanoseconds> estimateWait(const fair_queue &Queue,
                                        const waiting_request &Request,
                                        time_point Now);
/// Why \p Request can't be queued: QueueFull or DeadlineUnreachable; none if it
/// can.
std::optional<result_code> refusalOf(const fair_queue &Queue,
                                     const waiting_request &Request,
                                     time_point Now);
/// Queues \p Request and returns its sequence number.
/// Precondition: refusalOf() returned none.
std::uint64_t pushRequest(fair_queue &Queue, waiting_request Request);
/// Removes and returns the request that starts next, or none. Requests whose
/// deadline has passed are left to popExpired().
std::optional<waiting_request> popRequest(fair_queue &Queue, time_point Now);
/// Removes and returns one request whose deadline has passed, or none.
std::optional<waiting_request> popExpired(fair_queue &Queue, time_point Now);
/// Removes a request whose caller has disconnected. Returns false if it is not
/// queued.
bool cancelRequest(fair_queue &Queue, std::uint64_t Sequence);
/// Charges a customer for a request that starts without having been queued.
void chargeStart(fair_queue &Queue, customer_id Customer, tokens Cost,
                 time_point Now);
/// Corrects a customer's charge once the actual cost is known.
void settleCharge(fair_queue &Queue, customer_id Customer, tokens Charged,
                  tokens Actual);
/// The number of queued requests.
std::size_t waitingCount(const fair_queue &Queue);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_FAIR_QUEUE_H
