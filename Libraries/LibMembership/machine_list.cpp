#include "LibMembership/machine_list.h"

#include <nlohmann/json.hpp>

namespace spindle {

void forgetMachine(machine_list &List, const std::string &Name) {
  List.Hosts.erase(Name);
  List.LeavingHosts.erase(Name);
  List.LeavingUpstreams.erase(Name);
}

void noteMachine(machine_list &List, const platform_object &Object) {
  const nlohmann::json Spec =
      nlohmann::json::parse(Object.Body, nullptr, false);
  forgetMachine(List, Object.Name);
  if (!Spec.is_object())
    return;
  const bool IsHost = Spec.value("role", "") == "host";
  const bool IsLeaving = Spec.value("state", "") == "leaving";
  if (IsHost)
    List.Hosts.insert(Object.Name);
  if (IsLeaving)
    (IsHost ? List.LeavingHosts : List.LeavingUpstreams).insert(Object.Name);
}

machine_list readMachines(const platform_list &List) {
  machine_list Machines;
  for (const platform_object &Object : List.Objects)
    noteMachine(Machines, Object);
  return Machines;
}

} // namespace spindle
