#include "LibConfiguration/key_decision.h"

namespace spindle {

key_decision decideKey(const configuration_snapshot &Snapshot,
                       std::string_view Digest, time_point Now,
                       time_point LastConfirmed) {
  const key_grant *Grant = Snapshot.findKey(Digest);
  if (Grant == nullptr)
    return {};
  const tenant_id Id = tenant_id::ofName(Grant->Tenant);
  const tenant_declaration *Tenant = Snapshot.findTenant(Id);
  if (Tenant == nullptr)
    return {};
  const bool MustBeConfirmed =
      Tenant->WhenIsolated == isolated_key_policy::Refuse;
  if (MustBeConfirmed && Now - LastConfirmed > Tenant->IsolationLimit)
    return {key_verdict::NotConfirmed, Grant, Id};
  return {key_verdict::Granted, Grant, Id};
}

} // namespace spindle
