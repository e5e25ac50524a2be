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

/// One customer's weight against the others.
struct customer_weight {
  customer_id Customer;
  std::uint32_t Weight = 1;
};

/// The waiting requests of one customer (of all customers under Fifo).
struct queue_lane {
  double Weight = 1;
  /// Virtual time at which the lane's next request starts: the tokens that
  /// the lane was served, divided by its weight. When the lane becomes
  /// backlogged, it is raised to what the queue's virtual time was
  /// CreditTime ago, so that an idle customer gains no more credit than that.
  double NextStart = 0;
  /// (arrival, sequence) by class; under Fifo all are in the first.
  std::array<std::set<std::pair<time_point, std::uint64_t>>, PriorityClassCount>
      Waiting;
  std::size_t Count = 0;
  std::array<std::int64_t, PriorityClassCount> WaitingTokens{};
  /// Tokens that aged requests were served beyond their share, negative; an
  /// aged request goes before a higher class only while it is 0.
  double AgedCredit = 0;
};

/// A queue of requests by start-time fair queueing. Between customers, the one
/// that was served the fewest tokens for its weight goes first. Within a
/// customer, classes go first to last, each in order of arrival. A request
/// rises by a class with each ageing step; those that have thus overtaken a
/// higher class get at most AgedShare of the customer's tokens, so that neither
/// starves the other. Changed through the functions below only; none of them is
/// thread-safe, each takes O(log n).
struct fair_queue {
  queue_settings Settings;
  std::unordered_map<customer_id, std::uint32_t> Weights;
  std::unordered_map<customer_id, queue_lane> Lanes;
  /// (virtual start, lane) of every lane in which a request waits.
  std::set<std::pair<double, customer_id>> Backlogged;
  double BackloggedWeight = 0;
  std::unordered_map<std::uint64_t, waiting_request> Requests;
  std::set<std::pair<time_point, std::uint64_t>> Deadlines;
  std::unordered_map<customer_id, std::uint32_t> WaitingOfCustomer;
  double VirtualTime = 0;
  /// Virtual time at some earlier moments, the oldest first.
  std::deque<std::pair<time_point, double>> EarlierTimes;
  std::uint64_t LastSequence = 0;
  service_meter Meter;
};

/// Replaces settings and weights. Requests that wait keep their place by the
/// new order; a customer without a weight counts as 1. Takes O(n log n).
void configureQueue(fair_queue &Queue, const queue_settings &Settings,
                    std::span<const customer_weight> Weights);
/// How long \p Request would wait, a lower bound by the measured service
/// rate; none while the rate is unknown. The request must not be queued yet.
std::optional<nanoseconds> estimateWait(const fair_queue &Queue,
                                        const waiting_request &Request,
                                        time_point Now);
/// Tells why \p Request can't be queued: QueueFull, DeadlineUnreachable, or
/// none if it can.
std::optional<result_code> refusalOf(const fair_queue &Queue,
                                     const waiting_request &Request,
                                     time_point Now);
/// Queues \p Request and returns its sequence number.
/// Precondition: refusalOf() gave none.
std::uint64_t pushRequest(fair_queue &Queue, waiting_request Request);
/// Takes the request that starts next; none if nothing waits. Requests whose
/// deadline has passed are left for takeExpired().
std::optional<waiting_request> popRequest(fair_queue &Queue, time_point Now);
/// Takes one request whose deadline has passed; none if there is none.
std::optional<waiting_request> takeExpired(fair_queue &Queue, time_point Now);
/// Takes a request out, because its caller has gone. Returns false if it
/// does not wait.
bool cancelRequest(fair_queue &Queue, std::uint64_t Sequence);
/// Charges a request that starts without having waited.
void chargeStart(fair_queue &Queue, customer_id Customer, tokens Cost,
                 time_point Now);
/// Corrects what a customer was charged once the true cost is known.
void settleCharge(fair_queue &Queue, customer_id Customer, tokens Charged,
                  tokens Actual);
/// The number of requests that wait.
std::size_t waitingCount(const fair_queue &Queue);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_FAIR_QUEUE_H
