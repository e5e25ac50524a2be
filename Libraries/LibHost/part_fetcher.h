#ifndef PARSLEYSPINDLE_LIBHOST_PART_FETCHER_H
#define PARSLEYSPINDLE_LIBHOST_PART_FETCHER_H

#include "LibPeer/host_link_client.h"
#include "LibPlatform/platform_port.h"

#include <optional>
#include <string>

namespace spindle {

/// Fetches parts of the configuration and checks each against its digest.
///
/// Thread-safe; each call blocks the calling fiber.
struct part_fetcher {
  const platform_port &Platform;
  const host_link_port &HostLink;
  const host_link::Sender &Self;
  milliseconds PeerCallTimeout;

  /// Returns nullopt if the peer does not answer or has no intact copy.
  std::optional<std::string> fetchFromPeer(const std::string &Digest,
                                           const endpoint &Peer) const;
  /// Returns nullopt if the platform does not answer or has no intact copy.
  std::optional<std::string> fetchFromPlatform(const std::string &Digest) const;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_PART_FETCHER_H
