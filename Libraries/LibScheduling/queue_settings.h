#ifndef PARSLEYSPINDLE_LIBSCHEDULING_QUEUE_SETTINGS_H
#define PARSLEYSPINDLE_LIBSCHEDULING_QUEUE_SETTINGS_H

#include "LibConfiguration/intent.h"

namespace spindle {

enum class queueing_policy {
  /// Weighted fair queueing among customers, priority classes within each.
  Fair,
  /// First in, first out, as a baseline for comparison.
  Fifo
};

/// How a host's waiting requests are ordered and bounded.
struct queue_settings {
  queueing_policy Policy = queueing_policy::Fair;
  /// The most requests of one customer that may wait.
  std::uint32_t QueueLimit = 256;
  milliseconds QueueTimeout{10'000};
  /// A waiting request rises by one class after each such interval.
  milliseconds AgeingStep{4'000};
  /// The fraction of a customer's tokens for requests that have aged past a
  /// waiting request of a higher class.
  double AgedShare = 0.25;
  /// A customer that used less than its share goes before the others until it
  /// has caught up on what it left unused in this time.
  milliseconds CreditTime{20'000};
  /// Whether a request is refused on arrival if, at the measured service rate,
  /// it can't start before its deadline.
  bool RefuseEarly = true;
};

/// The queue settings of the operator's policy. Thread-safe.
queue_settings queueSettingsOf(const policy_declaration &Policy);

/// The latest start of a request that arrives at \p Now: after the queue
/// timeout plus one ageing step for each class below the first, so that a
/// request of any class can rise to the top before its deadline. Thread-safe.
time_point queueDeadline(const queue_settings &Settings,
                         priority_class Priority, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_QUEUE_SETTINGS_H
