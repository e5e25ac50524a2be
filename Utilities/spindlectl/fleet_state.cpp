#include "spindlectl/fleet_state.h"

#include "LibMembership/machine_list.h"

namespace spindle {

fleet_state readFleetState(const platform_port &Platform,
                           const std::vector<zone_declaration> &Zones) {
  fleet_state State;
  for (const zone_declaration &Zone : Zones)
    for (const platform_object &Object :
         Platform.List(leaseKind(Zone.Name)).Objects) {
      State.Leases[Object.Name] = readLease(Object.Body);
      State.LeaseVersions[Object.Name] = Object.Version;
    }
  State.Machines = readMachines(Platform.List(platform_kind::Machines)).Hosts;
  return State;
}

} // namespace spindle
