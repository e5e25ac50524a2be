#ifndef PARSLEYSPINDLE_LIBSCHEDULING_WAITING_REQUEST_H
#define PARSLEYSPINDLE_LIBSCHEDULING_WAITING_REQUEST_H

#include "LibConfiguration/intent.h"

#include <cstdint>

namespace spindle {

/// A request that waits for capacity.
struct waiting_request {
  /// Given by pushRequest(); grows with every request.
  std::uint64_t Sequence = 0;
  customer_id Customer;
  priority_class Priority = priority_class::Plain;
  /// What the request is expected to cost; at least 1 is charged.
  tokens Cost{1};
  time_point Enqueued;
  /// The latest moment at which the request may start.
  time_point Deadline;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_WAITING_REQUEST_H
