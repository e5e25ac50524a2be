#ifndef PARSLEYSPINDLE_LIBPEER_HOST_LINK_CLIENT_H
#define PARSLEYSPINDLE_LIBPEER_HOST_LINK_CLIENT_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibPeer/Generated/host_link.pb.h"

#include <functional>
#include <memory>

namespace spindle {

/// The port through which a host asks another one. Every function blocks the
/// calling fiber for at most \p Limit and throws spindle_error PeerUnreachable
/// when no answer came; the peer may have acted all the same. Thread-safe.
struct host_link_port {
  std::function<host_link::BorrowReply(
      const endpoint &, const host_link::BorrowRequest &, milliseconds Limit)>
      Borrow;
  std::function<host_link::RepayReply(
      const endpoint &, const host_link::RepayRequest &, milliseconds Limit)>
      Repay;
  std::function<host_link::PinReply(
      const endpoint &, const host_link::PinRequest &, milliseconds Limit)>
      Pin;
  std::function<host_link::SyncPinsReply(
      const endpoint &, const host_link::SyncPinsRequest &, milliseconds Limit)>
      SyncPins;
  std::function<host_link::ResidencyReply(const endpoint &,
                                          const host_link::ResidencyRequest &,
                                          milliseconds Limit)>
      Residency;
  std::function<host_link::AnnounceReply(
      const endpoint &, const host_link::AnnounceRequest &, milliseconds Limit)>
      Announce;
  std::function<host_link::FetchPartReply(const endpoint &,
                                          const host_link::FetchPartRequest &,
                                          milliseconds Limit)>
      FetchPart;
  std::function<host_link::ShareSuspectsReply(
      const endpoint &, const host_link::ShareSuspectsRequest &,
      milliseconds Limit)>
      ShareSuspects;
  std::function<host_link::SyncReply(
      const endpoint &, const host_link::SyncRequest &, milliseconds Limit)>
      Sync;
  std::function<host_link::FetchChangesReply(
      const endpoint &, const host_link::FetchChangesRequest &,
      milliseconds Limit)>
      FetchChanges;
  std::function<host_link::HoldAdapterReply(
      const endpoint &, const host_link::HoldAdapterRequest &,
      milliseconds Limit)>
      HoldAdapter;
};

/// Makes a port that speaks gRPC. Channels are kept per peer.
host_link_port makeGrpcHostLink();

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBPEER_HOST_LINK_CLIENT_H
