#ifndef PARSLEYSPINDLE_SPINDLELOAD_HOST_BALANCER_H
#define PARSLEYSPINDLE_SPINDLELOAD_HOST_BALANCER_H

#include "LibHTTP/http_client.h"
#include "load_targets.h"

#include <atomic>
#include <memory>
#include <vector>

namespace spindle {

/// Stands in for the platform's balancer: sends nothing to hosts whose
/// /readyz reports that they are not ready. Thread-safe in every method.
class host_balancer {
public:
  explicit host_balancer(const std::vector<load_target> &Hosts);

  std::size_t hostCount() const { return Hosts.size(); }
  const endpoint &address(std::size_t Host) const;
  /// The first ready host from \p First on; \p First itself if none is.
  std::size_t readyHost(std::size_t First) const;
  /// Records that no connection to the host could be made.
  void noteUnreachable(std::size_t Host);
  /// Probes every host for readiness; blocks the calling fiber.
  void probe(http_client &Http);
  /// The number of hosts that were ready when probed last.
  std::size_t readyCount() const;

private:
  std::vector<load_target> Hosts;
  std::unique_ptr<std::atomic<bool>[]> Ready;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_HOST_BALANCER_H
