#ifndef PARSLEYSPINDLE_LIBSCHEDULING_LOAD_FAIRNESS_H
#define PARSLEYSPINDLE_LIBSCHEDULING_LOAD_FAIRNESS_H

#include "LibCore/strong_id.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace spindle {

/// How much a request counts when loads of adapters are put in order. The
/// n-th request of a customer that waits at a time counts 1/n of the customer's
/// weight, so that a customer with many waiting requests does not take all of
/// the fleet's loads. Thread-safe in every method.
class load_fairness {
public:
  /// One request that may wait for a load; it counts until it is destroyed.
  /// Must not outlive the object that made it.
  struct waiting_request {
    double Weight = 1;
    std::shared_ptr<void> Registration;
  };

  /// Registers a request of \p Customer, whose weight is \p CustomerWeight.
  waiting_request enter(customer_id Customer, std::uint32_t CustomerWeight);

private:
  std::mutex Mutex;
  std::unordered_map<customer_id, std::uint32_t> Waiting;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSCHEDULING_LOAD_FAIRNESS_H
