#include "LibScheduling/load_fairness.h"

namespace spindle {

load_fairness::load_waiter
load_fairness::addWaiter(customer_id Customer, std::uint32_t CustomerWeight) {
  std::uint32_t Position = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Position = ++Waiting[Customer];
  }
  load_waiter Waiter;
  Waiter.Weight = static_cast<double>(CustomerWeight) / Position;
  Waiter.Registration =
      std::shared_ptr<void>(nullptr, [this, Customer](void *) {
        const std::lock_guard<std::mutex> Lock(Mutex);
        const auto Found = Waiting.find(Customer);
        if (--Found->second == 0)
          Waiting.erase(Found);
      });
  return Waiter;
}

} // namespace spindle
