#ifndef PARSLEYSPINDLE_LIBSCHEDULING_QUEUE_SETTINGS_H
#define PARSLEYSPINDLE_LIBSCHEDULING_QUEUE_SETTINGS_H

#include "LibConfiguration/intent.h"

namespace spindle {

enum class queueing_policy {
  /// Weighted fair queueing by customer, priority classes within a customer.
  Fair,
  /// First in, first out; the baseline.
  Fifo
};

/// How a host's waiting requests are ordered and bounded.
struct queue_settings {
  queueing_policy Policy = queueing_policy::Fair;
  /// Requests of one customer that wait.
  std::uint32_t QueueLimit = 256;
  milliseconds QueueTimeout{10'000};
  /// A waiting request rises by one class each time this passes.
  milliseconds AgeingStep{4'000};
  /// The part of a customer's tokens that requests get which have aged past a
  /// higher class that waits.
  double AgedShare = 0.25;
  /// A customer that used less than its part goes before the others until it
  /// has had what it left unused in this time.
  milliseconds CreditTime{20'000};
  /// Whether a request is refused at once when the measured service rate
  /// says that it can't start before its deadline.
  bool RefuseEarly = true;
};

/// Reads the queue's part of the operator's policy. Thread-safe.
queue_settings queueSettingsOf(const policy_declaration &Policy);

/// The latest start of a request that arrives at \p Now: the queue timeout,
/// and one ageing step more for each class below the first, so that every
/// class gets its turn after it has risen to the top. Thread-safe.
time_point queueDeadline(const queue_settings &Settings,
                         priority_class Priority, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_QUEUE_SETTINGS_H
