#include "LibConfiguration/key_decision.h"

namespace spindle {

key_decision decideKey(const configuration_snapshot &Snapshot,
                       std::string_view Digest, time_point Now,
                       time_point LastConfirmed) {
  const key_grant *Grant = Snapshot.findKey(Digest);
  if (Grant == nullptr)
    return {};
  const customer_id Id = customer_id::ofName(Grant->Customer);
  const customer_declaration *Customer = Snapshot.findCustomer(Id);
  if (Customer == nullptr)
    return {};
  const bool MustBeConfirmed =
      Customer->WhenIsolated == isolated_key_policy::Refuse;
  if (MustBeConfirmed && Now - LastConfirmed > Customer->IsolationLimit)
    return {key_verdict::NotConfirmed, Grant, Id};
  return {key_verdict::Granted, Grant, Id};
}

} // namespace spindle
