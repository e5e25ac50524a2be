#ifndef PARSLEYSPINDLE_SERVICES_SPINDLED_RUNNING_HOST_H
#define PARSLEYSPINDLE_SERVICES_SPINDLED_RUNNING_HOST_H

#include "LibRuntime/fiber_runtime.h"
#include "LibSettings/host_settings.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace spindle {

/// A host of either interface, as the daemon's main thread sees it.
struct running_host {
  std::function<void()> StartDrain;
  std::function<bool()> Drained;
  std::function<bool()> StopWanted;
  /// What is listened for, and where.
  std::vector<std::pair<std::string, endpoint>> Addresses;
  /// Keeps the host's parts alive.
  std::shared_ptr<void> Parts;
};

/// Starts the host that \p Settings ask for. \p Clock and \p Runtime must
/// outlive it. \throws listen_error if an address can't be listened at.
running_host startHost(const runtime_clock &Clock, fiber_runtime &Runtime,
                       const host_settings &Settings);

} // namespace spindle

#endif // PARSLEYSPINDLE_SERVICES_SPINDLED_RUNNING_HOST_H
