#include "LibPeer/host_link_client.h"

#include "LibCore/result_code.h"
#include "LibPeer/Generated/host_link.grpc.pb.h"
#include "LibRuntime/completion.h"

#include <map>
#include <mutex>

#include <grpcpp/create_channel.h>

namespace spindle {

namespace {

using stub = host_link::HostLink::Stub;
using stub_pointer = std::shared_ptr<stub>;

// A peer that came back is found within two seconds.
constexpr int FirstReconnectMilliseconds = 200;
constexpr int LongestReconnectMilliseconds = 2'000;

/// Channels by peer. Thread-safe.
class channel_cache {
public:
  stub_pointer find(const endpoint &Peer);
  /// Drops a channel that may have gone silent; the next call opens another.
  void drop(const endpoint &Peer, const stub_pointer &Stub);

private:
  std::mutex Mutex;
  std::map<endpoint, stub_pointer> Stubs;
};

stub_pointer channel_cache::find(const endpoint &Peer) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  stub_pointer &Stub = Stubs[Peer];
  if (Stub)
    return Stub;
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   FirstReconnectMilliseconds);
  Arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   FirstReconnectMilliseconds);
  Arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   LongestReconnectMilliseconds);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Stub = host_link::HostLink::NewStub(grpc::CreateCustomChannel(
      toText(Peer), grpc::InsecureChannelCredentials(), Arguments));
  return Stub;
}

void channel_cache::drop(const endpoint &Peer, const stub_pointer &Stub) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Stubs.find(Peer);
  if (Found != Stubs.end() && Found->second == Stub)
    Stubs.erase(Found);
}

using async_stub = host_link::HostLink::StubInterface::async_interface;

/// One unary method of the protocol as a function of a port.
template <typename request, typename reply>
std::function<reply(const endpoint &, const request &, milliseconds)>
makeMethod(const std::shared_ptr<channel_cache> &Channels,
           void (async_stub::*Method)(grpc::ClientContext *, const request *,
                                      reply *,
                                      std::function<void(grpc::Status)>)) {
  return [Channels, Method](const endpoint &Peer, const request &Request,
                            milliseconds Limit) {
    const stub_pointer Stub = Channels->find(Peer);
    grpc::ClientContext Context;
    Context.set_deadline(std::chrono::system_clock::now() + Limit);
    reply Reply;
    completion<grpc::Status> Done;
    (Stub->async()->*Method)(&Context, &Request, &Reply, Done.deliverer());
    const grpc::Status Status = Done.wait();
    if (Status.ok())
      return Reply;
    if (Status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED)
      Channels->drop(Peer, Stub);
    throw spindle_error(result_code::PeerUnreachable,
                        toText(Peer) + ": " + Status.error_message());
  };
}

} // namespace

host_link_port makeGrpcHostLink() {
  const std::shared_ptr<channel_cache> Channels =
      std::make_shared<channel_cache>();
  host_link_port Port;
  Port.Borrow = makeMethod<host_link::BorrowRequest, host_link::BorrowReply>(
      Channels, &async_stub::Borrow);
  Port.Repay = makeMethod<host_link::RepayRequest, host_link::RepayReply>(
      Channels, &async_stub::Repay);
  Port.Pin = makeMethod<host_link::PinRequest, host_link::PinReply>(
      Channels, &async_stub::Pin);
  Port.SyncPins =
      makeMethod<host_link::SyncPinsRequest, host_link::SyncPinsReply>(
          Channels, &async_stub::SyncPins);
  Port.Residency =
      makeMethod<host_link::ResidencyRequest, host_link::ResidencyReply>(
          Channels, &async_stub::Residency);
  Port.Announce =
      makeMethod<host_link::AnnounceRequest, host_link::AnnounceReply>(
          Channels, &async_stub::Announce);
  Port.FetchPart =
      makeMethod<host_link::FetchPartRequest, host_link::FetchPartReply>(
          Channels, &async_stub::FetchPart);
  Port.ShareSuspects = makeMethod<host_link::ShareSuspectsRequest,
                                  host_link::ShareSuspectsReply>(
      Channels, &async_stub::ShareSuspects);
  Port.Sync = makeMethod<host_link::SyncRequest, host_link::SyncReply>(
      Channels, &async_stub::Sync);
  Port.FetchChanges =
      makeMethod<host_link::FetchChangesRequest, host_link::FetchChangesReply>(
          Channels, &async_stub::FetchChanges);
  Port.HoldAdapter =
      makeMethod<host_link::HoldAdapterRequest, host_link::HoldAdapterReply>(
          Channels, &async_stub::HoldAdapter);
  return Port;
}

} // namespace spindle
