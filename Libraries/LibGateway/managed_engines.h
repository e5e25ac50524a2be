#ifndef PARSLEYSPINDLE_LIBGATEWAY_MANAGED_ENGINES_H
#define PARSLEYSPINDLE_LIBGATEWAY_MANAGED_ENGINES_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/managed_engine.h"

#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <string_view>

namespace spindle {

/// The engines that an adapter_controller has had to do with.
struct managed_engines {
  mutable std::mutex Mutex;
  /// Guarded by Mutex.
  std::map<upstream_id, managed_engine_pointer> ById;
  /// Returns the number of adapter slots of an engine of the service. Called
  /// while Mutex is held.
  std::function<std::size_t(std::string_view Service)> Capacity;
};

/// Returns the engine of the entry, with the capacity that its service has now.
/// One that is new or has restarted begins with the adapters of its
/// registration. Thread-safe.
managed_engine_pointer engineFor(managed_engines &Engines,
                                 const upstream_pointer &Entry, time_point Now);
/// Returns null if there is none. Precondition: Mutex is held.
managed_engine_pointer findEngine(const managed_engines &Engines,
                                  upstream_id Id);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_MANAGED_ENGINES_H
