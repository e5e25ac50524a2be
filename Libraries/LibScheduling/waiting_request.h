#ifndef PARSLEYSPINDLE_LIBSCHEDULING_WAITING_REQUEST_H
#define PARSLEYSPINDLE_LIBSCHEDULING_WAITING_REQUEST_H

#include "LibConfiguration/intent.h"

#include <cstdint>

namespace spindle {

/// A request that waits to start.
struct waiting_request {
  /// Assigned by pushRequest(), in ascending order.
  std::uint64_t Sequence = 0;
  customer_id Customer;
  priority_class Priority = priority_class::Plain;
  /// The expected cost; at least 1 is charged.
  tokens Cost{1};
  time_point Enqueued;
  /// The latest time at which the request may start.
  time_point Deadline;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_WAITING_REQUEST_H
