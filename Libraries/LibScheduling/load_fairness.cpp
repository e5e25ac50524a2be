#include "LibScheduling/load_fairness.h"

namespace spindle {

load_fairness::waiting_request
load_fairness::enter(tenant_id Tenant, std::uint32_t TenantWeight) {
  std::uint32_t Place = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Place = ++Waiting[Tenant];
  }
  waiting_request Request;
  Request.Weight = static_cast<double>(TenantWeight) / Place;
  Request.Registration = std::shared_ptr<void>(nullptr, [this, Tenant](void *) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const auto Found = Waiting.find(Tenant);
    if (--Found->second == 0)
      Waiting.erase(Found);
  });
  return Request;
}

} // namespace spindle
