#include "LibMembership/machine_list.h"

#include "LibCore/bounded_json.h"

#include <nlohmann/json.hpp>

namespace spindle {

void removeMachine(machine_list &List, const std::string &Name) {
  List.Hosts.erase(Name);
  List.DrainingHosts.erase(Name);
  List.DrainingUpstreams.erase(Name);
}

void updateMachine(machine_list &List, const platform_object &Object) {
  const nlohmann::json Machine = tryParseBoundedJson(Object.Body);
  removeMachine(List, Object.Name);
  if (!Machine.is_object())
    return;
  const bool IsHost = Machine.value("role", "") == "host";
  const bool IsDraining = Machine.value("state", "") == "leaving";
  if (IsHost)
    List.Hosts.insert(Object.Name);
  if (IsDraining)
    (IsHost ? List.DrainingHosts : List.DrainingUpstreams).insert(Object.Name);
}

machine_list readMachines(const platform_list &List) {
  machine_list Machines;
  for (const platform_object &Object : List.Objects)
    updateMachine(Machines, Object);
  return Machines;
}

} // namespace spindle
