#ifndef PARSLEYSPINDLE_LIBHOST_HOST_H
#define PARSLEYSPINDLE_LIBHOST_HOST_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibRuntime/fiber_runtime.h"
#include "LibSettings/host_settings.h"

#include <cstdint>
#include <memory>

namespace spindle {

/// The addresses on which a running host listens.
struct host_addresses {
  endpoint Callers;
  endpoint HostLink;
  endpoint Metrics;
};

/// One entry host: owns its components and runs their periodic tasks.
/// Construct, use and destroy it from a single thread that does not belong to
/// the runtime.
class host {
public:
  /// Starts serving. \p Clock and \p Runtime must outlive the host.
  /// \p Incarnation must differ at every start of the process.
  /// \throws std::system_error or spindle_error if an address cannot be bound.
  host(const runtime_clock &Clock, fiber_runtime &Runtime,
       const host_settings &Settings, std::uint64_t Incarnation);
  /// Stops immediately and aborts running requests.
  ~host();
  host(const host &) = delete;
  host &operator=(const host &) = delete;

  host_addresses addresses() const;
  /// Starts a planned stop: the host reports itself as not ready to the load
  /// balancer, lets running requests finish until the drain timeout, and
  /// releases its engines and shares. Thread-safe.
  void startDrain();
  /// Whether the planned stop has finished. Thread-safe.
  bool drained() const;
  /// Whether an operator has requested a planned stop, or another process has
  /// replaced this host. Thread-safe.
  bool stopRequested() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_HOST_H
