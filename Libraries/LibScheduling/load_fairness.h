#ifndef PARSLEYSPINDLE_LIBSCHEDULING_LOAD_FAIRNESS_H
#define PARSLEYSPINDLE_LIBSCHEDULING_LOAD_FAIRNESS_H

#include "LibCore/strong_id.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace spindle {

/// Weighs requests for the ordering of adapter loads. The n-th simultaneously
/// waiting request of a customer gets 1/n of the customer's weight, so that a
/// customer with many waiting requests does not take all of the fleet's loads.
/// Every method is thread-safe.
class load_fairness {
public:
  /// A request that may wait for a load; counted until it is destroyed.
  /// Must not outlive the load_fairness that created it.
  struct load_waiter {
    double Weight = 1;
    std::shared_ptr<void> Registration;
  };

  /// Registers a request of \p Customer, whose weight is \p CustomerWeight.
  load_waiter addWaiter(customer_id Customer, std::uint32_t CustomerWeight);

private:
  std::mutex Mutex;
  std::unordered_map<customer_id, std::uint32_t> Waiting;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_LOAD_FAIRNESS_H
