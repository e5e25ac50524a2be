#ifndef PARSLEYSPINDLE_LIBHOST_SUSPECT_REGISTRY_H
#define PARSLEYSPINDLE_LIBHOST_SUSPECT_REGISTRY_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibCore/runtime_clock.h"
#include "LibMembership/host_view.h"
#include "LibMetrics/metrics.h"
#include "LibPeer/host_link_client.h"
#include "LibPlatform/platform_port.h"
#include "LibResilience/crash_suspects.h"

#include <memory>

namespace spindle {

/// The dependencies of a suspect registry.
struct suspect_registry_ports {
  host_link_port Peers;
  platform_port Platform;
  /// Identifies this host in messages to its peers.
  host_link::Sender Self;
};

/// The requests suspected of crashing upstreams, shared between the hosts of
/// the fleet. All methods are thread-safe; only shareOnce(), pullOnce() and
/// handleShareSuspects() block the calling fiber.
///
/// A host that loses an upstream calls noteEnd() and then shareOnce() before it
/// retries or responds, so that no host runs the request a third time.
class suspect_registry {
public:
  /// \p Clock and \p Metrics must outlive the registry. \p Metrics may be null.
  suspect_registry(const runtime_clock &Clock, metrics *Metrics,
                   suspect_registry_ports Ports);
  ~suspect_registry();
  suspect_registry(const suspect_registry &) = delete;
  suspect_registry &operator=(const suspect_registry &) = delete;

  void applyConfiguration(const configuration_snapshot &Snapshot);
  void applyView(std::shared_ptr<const host_view> View);

  /// \throws spindle_error RequestQuarantined if the request is quarantined.
  void check(request_fingerprint Fingerprint);
  /// Returns whether the request is suspected of having crashed an upstream.
  bool isSuspect(request_fingerprint Fingerprint) const;
  /// Returns whether the request may start on the upstream; always true for a
  /// request that is not a suspect. A suspect that may start on no upstream is
  /// not sent.
  bool mayStartOn(upstream_id Upstream, request_fingerprint Fingerprint) const;
  /// Records that the request is being sent to the upstream.
  void noteStart(upstream_id Upstream, request_fingerprint Fingerprint);
  /// Records how the run ended, and returns how long to wait before a retry, so
  /// that requests lost together do not run together again.
  /// Precondition: noteStart() was called for it.
  nanoseconds noteEnd(upstream_id Upstream, request_fingerprint Fingerprint,
                      run_end End);

  /// Sends changed records to the zone's hosts, to some hosts of every other
  /// zone, and to the platform. Returns after they have responded or timed out.
  /// Records that the platform did not accept are sent again by the next call.
  /// Never throws. Cheap if nothing has changed.
  void shareOnce();
  /// Merges the records stored at the platform. Call it every few seconds.
  /// \throws spindle_error PlatformUnavailable.
  void pullOnce();
  /// Handles a peer's ShareSuspects, and relays it within this host's zone if
  /// it came from another zone and this host is a relay.
  host_link::ShareSuspectsReply
  handleShareSuspects(const host_link::ShareSuspectsRequest &Request);
  /// The number of known suspects.
  std::size_t size() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_SUSPECT_REGISTRY_H
