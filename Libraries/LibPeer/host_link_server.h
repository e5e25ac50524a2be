#ifndef PARSLEYSPINDLE_LIBPEER_HOST_LINK_SERVER_H
#define PARSLEYSPINDLE_LIBPEER_HOST_LINK_SERVER_H

#include "LibCore/endpoint.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibRuntime/fiber_runtime.h"

#include <functional>
#include <memory>

namespace spindle {

/// What a host does with what other hosts ask. Each runs in a fiber of its
/// own and may block it; an exception becomes an error at the asker.
struct host_link_handlers {
  std::function<host_link::BorrowReply(const host_link::BorrowRequest &)>
      Borrow;
  std::function<host_link::RepayReply(const host_link::RepayRequest &)> Repay;
  std::function<host_link::PinReply(const host_link::PinRequest &)> Pin;
  std::function<host_link::SyncPinsReply(const host_link::SyncPinsRequest &)>
      SyncPins;
  std::function<host_link::ResidencyReply(const host_link::ResidencyRequest &)>
      Residency;
  std::function<host_link::AnnounceReply(const host_link::AnnounceRequest &)>
      Announce;
  std::function<host_link::FetchPartReply(const host_link::FetchPartRequest &)>
      FetchPart;
  std::function<host_link::ShareSuspectsReply(
      const host_link::ShareSuspectsRequest &)>
      ShareSuspects;
  std::function<host_link::SyncReply(const host_link::SyncRequest &)> Sync;
  std::function<host_link::FetchChangesReply(
      const host_link::FetchChangesRequest &)>
      FetchChanges;
  std::function<host_link::HoldAdapterReply(
      const host_link::HoldAdapterRequest &)>
      HoldAdapter;
};

/// The version of the protocol between hosts.
inline constexpr std::uint32_t HostLinkProtocol = 1;

/// Serves the protocol between hosts.
class host_link_server {
public:
  /// Listens at \p Address; port 0 lets the kernel choose.
  /// \throws listen_error if the address can't be bound.
  host_link_server(fiber_runtime &Runtime, const endpoint &Address,
                   host_link_handlers Handlers);
  /// Ends the running calls and stops.
  ~host_link_server();
  host_link_server(const host_link_server &) = delete;
  host_link_server &operator=(const host_link_server &) = delete;

  /// Where the server listens. Thread-safe.
  endpoint address() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBPEER_HOST_LINK_SERVER_H
