#include "LibHost/machine_watcher.h"

#include "LibCore/result_code.h"

namespace spindle {

using lock = std::lock_guard<std::mutex>;

machine_list machine_watcher::machines() const {
  const lock Lock(Mutex);
  return Machines;
}

bool machine_watcher::contains(const std::string &Host) const {
  const lock Lock(Mutex);
  return Machines.Hosts.count(Host) != 0;
}

bool machine_watcher::isDraining(const std::string &Host) const {
  const lock Lock(Mutex);
  return Machines.DrainingHosts.count(Host) != 0;
}

void machine_watcher::read() {
  const platform_list List = Platform.List(platform_kind::Machines);
  const lock Lock(Mutex);
  Machines = readMachines(List);
  Version = List.Version;
}

void machine_watcher::applyEvent(const platform_event &Event) {
  const lock Lock(Mutex);
  Version = Event.Object.Version;
  if (Event.Change == platform_change::Deleted)
    removeMachine(Machines, Event.Object.Name);
  else
    updateMachine(Machines, Event.Object);
}

/// The version from which a watch may resume; reads the list if there is none.
std::uint64_t machine_watcher::watchVersion() {
  {
    const lock Lock(Mutex);
    if (Version)
      return *Version;
  }
  read();
  const lock Lock(Mutex);
  return Version.value_or(0);
}

bool machine_watcher::watch(milliseconds Limit) {
  try {
    Platform.Watch(platform_kind::Machines, watchVersion(), Limit,
                   [this](const platform_event &Event) {
                     applyEvent(Event);
                     return true;
                   });
    return true;
  } catch (const spindle_error &Error) {
    const lock Lock(Mutex);
    Version.reset();
    return Error.code() == result_code::PlatformTooOld;
  }
}

} // namespace spindle
