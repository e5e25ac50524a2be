#include "LibScheduling/load_fairness.h"

namespace spindle {

load_fairness::waiting_request
load_fairness::enter(customer_id Customer, std::uint32_t CustomerWeight) {
  std::uint32_t Place = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Place = ++Waiting[Customer];
  }
  waiting_request Request;
  Request.Weight = static_cast<double>(CustomerWeight) / Place;
  Request.Registration =
      std::shared_ptr<void>(nullptr, [this, Customer](void *) {
        const std::lock_guard<std::mutex> Lock(Mutex);
        const auto Found = Waiting.find(Customer);
        if (--Found->second == 0)
          Waiting.erase(Found);
      });
  return Request;
}

} // namespace spindle
