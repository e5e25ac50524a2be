#ifndef PARSLEYSPINDLE_LIBHOST_CONFIGURATION_FOLLOWER_H
#define PARSLEYSPINDLE_LIBHOST_CONFIGURATION_FOLLOWER_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibCore/runtime_clock.h"
#include "LibMembership/host_view.h"
#include "LibPeer/host_link_client.h"
#include "LibPlatform/platform_port.h"

#include <functional>
#include <memory>
#include <vector>

namespace spindle {

/// How a configuration_follower checks for a newer configuration.
struct configuration_follower_settings {
  /// Time between polls of the platform in a small fleet.
  milliseconds PollInterval{2'000};
  milliseconds PeerCallTimeout{500};
  /// Endpoints of other hosts to ask while no view lists any peers.
  std::vector<endpoint> Seeds;
};

/// Keeps a host's configuration at the newest version known to the platform or
/// another host. Versions only increase; each is fetched and checked completely
/// before it becomes active in one step.
///
/// Every method is thread-safe. Those that call the platform or other hosts
/// block the calling fiber and don't throw: a failure is logged and the active
/// configuration stays.
class configuration_follower {
public:
  using listener = std::function<void(snapshot_pointer)>;

  /// \p Clock must outlive the follower.
  configuration_follower(const runtime_clock &Clock, platform_port Platform,
                         host_link_port HostLink, host_link::Sender Self,
                         configuration_follower_settings Settings);
  ~configuration_follower();
  configuration_follower(const configuration_follower &) = delete;
  configuration_follower &operator=(const configuration_follower &) = delete;

  /// The active configuration; null before the first.
  snapshot_pointer current() const;
  /// Calls \p Listener for each version activated from now on, in order.
  /// Precondition: called before the first pollOnce().
  void onChange(listener Listener);
  /// Takes the list of other hosts from \p View.
  void applyView(const host_view &View);

  /// Reads the configuration head and applies it if it is newer. Asks other
  /// hosts if the platform does not answer. Call it every pollInterval().
  void pollOnce();
  /// Time between polls: it grows with the fleet, so that all hosts together
  /// stay within a call budget, and varies slightly between hosts.
  milliseconds pollInterval() const;
  /// Watches the configuration head for \p Limit; call it in a loop while
  /// isRelay(). Returns whether the platform answered; if not, wait before the
  /// next call.
  bool watchOnce(milliseconds Limit);
  /// Whether this host is one of the two in its zone that watch the
  /// configuration head and announce new versions to the others.
  bool isRelay() const;
  /// Exchanges versions with some hosts of the zone and one of another zone. A
  /// host with a new version announces it to its whole zone. Call it every
  /// second and after each change.
  void gossipOnce();

  host_link::AnnounceReply handleAnnounce(const host_link::AnnounceRequest &);
  host_link::FetchPartReply
  handleFetchPart(const host_link::FetchPartRequest &);

  /// When the platform, or a host that had recently asked it, last confirmed
  /// that the active configuration is the newest.
  time_point lastConfirmed() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_CONFIGURATION_FOLLOWER_H
