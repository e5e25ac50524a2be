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

/// What a suspect board needs of its host.
struct suspect_board_ports {
  host_link_port Peers;
  platform_port Platform;
  /// Who this host is, as it tells its peers.
  host_link::Sender Self;
};

/// The requests that are suspected of crashing upstreams, as this host and the
/// fleet know them. Thread-safe in every method; only shareOnce(), pullOnce()
/// and handleShareSuspects() block the calling fiber.
///
/// A host that loses an upstream calls noteEnd() and then shareOnce() before it
/// retries or answers, so that no host runs the request a third time.
class suspect_board {
public:
  /// \p Clock and \p Metrics must outlive the board. \p Metrics may be null.
  suspect_board(const runtime_clock &Clock, metrics *Metrics,
                suspect_board_ports Ports);
  ~suspect_board();
  suspect_board(const suspect_board &) = delete;
  suspect_board &operator=(const suspect_board &) = delete;

  void applyConfiguration(const configuration_snapshot &Snapshot);
  void applyView(std::shared_ptr<const host_view> View);

  /// \throws spindle_error RequestQuarantined if the request is held back.
  void check(request_fingerprint Fingerprint);
  /// Tells whether the request is suspected of the loss of an upstream.
  bool isSuspect(request_fingerprint Fingerprint) const;
  /// Tells whether the request may start on the upstream; for a request that
  /// is no suspect it always may. A suspect that may start nowhere is not
  /// sent.
  bool mayStartOn(upstream_id Upstream, request_fingerprint Fingerprint) const;
  /// Notes that the request is being sent to the upstream.
  void noteStart(upstream_id Upstream, request_fingerprint Fingerprint);
  /// Notes how its run ended, and returns how long to wait before it is
  /// retried, so that requests lost together don't run together again.
  /// Precondition: noteStart() was called for it.
  nanoseconds noteEnd(upstream_id Upstream, request_fingerprint Fingerprint,
                      run_end End);

  /// Tells the zone's hosts, some hosts of every other zone, and the platform
  /// what has changed. Returns after they have answered or ShareLimit passed.
  /// What the platform didn't take is sent again by the next call. Never
  /// throws. Cheap if nothing has changed.
  void shareOnce();
  /// Merges what the platform knows. Call it every second or so.
  /// \throws spindle_error PlatformUnavailable.
  void pullOnce();
  /// Serves a peer's ShareSuspects, and relays it within the own zone if it
  /// came from another one.
  host_link::ShareSuspectsReply
  handleShareSuspects(const host_link::ShareSuspectsRequest &Request);
  /// The number of suspects known.
  std::size_t size() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_SUSPECT_REGISTRY_H
