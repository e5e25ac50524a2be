#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_MACHINE_LIST_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_MACHINE_LIST_H

#include "LibPlatform/platform_port.h"

#include <set>
#include <string>

namespace spindle {

/// The platform's list of machines, as far as it was read.
struct machine_list {
  std::set<std::string> Hosts;
  std::set<std::string> LeavingHosts;
  std::set<std::string> LeavingUpstreams;

  bool operator==(const machine_list &) const = default;
};

/// Notes one machine; one that can't be read is left out. Thread-safe.
void noteMachine(machine_list &List, const platform_object &Object);
/// Forgets one machine. Thread-safe.
void forgetMachine(machine_list &List, const std::string &Name);
machine_list readMachines(const platform_list &List);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_MACHINE_LIST_H
