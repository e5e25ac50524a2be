#ifndef PARSLEYSPINDLE_LIBHOST_HOST_H
#define PARSLEYSPINDLE_LIBHOST_HOST_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibRuntime/fiber_runtime.h"
#include "LibSettings/host_settings.h"

#include <cstdint>
#include <memory>

namespace spindle {

/// Where a running host listens.
struct host_addresses {
  endpoint Callers;
  endpoint HostLink;
  endpoint Metrics;
};

/// One entry host: all parts of it, put together and kept running. Construct,
/// use and destroy it from one thread that is not of the runtime.
class host {
public:
  /// Starts to serve. \p Clock and \p Runtime must outlive the host.
  /// \p Incarnation differs at every start of the process.
  /// \throws std::system_error or spindle_error if an address can't be bound.
  host(const runtime_clock &Clock, fiber_runtime &Runtime,
       const host_settings &Settings, std::uint64_t Incarnation);
  /// Stops at once: running requests are cut.
  ~host();
  host(const host &) = delete;
  host &operator=(const host &) = delete;

  host_addresses addresses() const;
  /// Begins a planned stop: the host leaves the balancer's rotation, hands
  /// over what it holds and lets every request end. Thread-safe.
  void startDrain();
  /// Whether the planned stop has finished. Thread-safe.
  bool drained() const;
  /// Whether an operator has asked for a planned stop, or another process has
  /// taken this host's place. Thread-safe.
  bool stopWanted() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_HOST_H
