#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_MACHINE_LIST_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_MACHINE_LIST_H

#include "LibPlatform/platform_port.h"

#include <set>
#include <string>

namespace spindle {

/// Machines from the platform's list, by role and state.
struct machine_list {
  std::set<std::string> Hosts;
  std::set<std::string> DrainingHosts;
  std::set<std::string> DrainingUpstreams;

  bool operator==(const machine_list &) const = default;
};

/// Adds or replaces a machine; one that can't be parsed is left out.
/// Thread-safe.
void updateMachine(machine_list &List, const platform_object &Object);
/// Removes a machine. Thread-safe.
void removeMachine(machine_list &List, const std::string &Name);
machine_list readMachines(const platform_list &List);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_MACHINE_LIST_H
