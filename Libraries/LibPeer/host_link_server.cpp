#include "LibPeer/host_link_server.h"

#include "LibCore/listen_error.h"
#include "LibCore/result_code.h"
#include "LibPeer/Generated/host_link.grpc.pb.h"

#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

namespace spindle {

namespace {

using context = grpc::CallbackServerContext;
using reactor = grpc::ServerUnaryReactor;

grpc::Status toStatus(const std::exception &Error) {
  return {grpc::StatusCode::FAILED_PRECONDITION, Error.what()};
}

/// Hands each call to a fiber of the runtime.
class service final : public host_link::HostLink::CallbackService {
public:
  service(fiber_runtime &Runtime, host_link_handlers Handlers)
      : Runtime(Runtime), Handlers(std::move(Handlers)) {}

  reactor *Borrow(context *Context, const host_link::BorrowRequest *Request,
                  host_link::BorrowReply *Reply) override {
    return run(Context, Handlers.Borrow, Request, Reply);
  }
  reactor *Repay(context *Context, const host_link::RepayRequest *Request,
                 host_link::RepayReply *Reply) override {
    return run(Context, Handlers.Repay, Request, Reply);
  }
  reactor *Pin(context *Context, const host_link::PinRequest *Request,
               host_link::PinReply *Reply) override {
    return run(Context, Handlers.Pin, Request, Reply);
  }
  reactor *SyncPins(context *Context, const host_link::SyncPinsRequest *Request,
                    host_link::SyncPinsReply *Reply) override {
    return run(Context, Handlers.SyncPins, Request, Reply);
  }
  reactor *Residency(context *Context,
                     const host_link::ResidencyRequest *Request,
                     host_link::ResidencyReply *Reply) override {
    return run(Context, Handlers.Residency, Request, Reply);
  }
  reactor *Announce(context *Context, const host_link::AnnounceRequest *Request,
                    host_link::AnnounceReply *Reply) override {
    return run(Context, Handlers.Announce, Request, Reply);
  }
  reactor *FetchPart(context *Context,
                     const host_link::FetchPartRequest *Request,
                     host_link::FetchPartReply *Reply) override {
    return run(Context, Handlers.FetchPart, Request, Reply);
  }
  reactor *ShareSuspects(context *Context,
                         const host_link::ShareSuspectsRequest *Request,
                         host_link::ShareSuspectsReply *Reply) override {
    return run(Context, Handlers.ShareSuspects, Request, Reply);
  }
  reactor *Sync(context *Context, const host_link::SyncRequest *Request,
                host_link::SyncReply *Reply) override {
    return run(Context, Handlers.Sync, Request, Reply);
  }
  reactor *FetchChanges(context *Context,
                        const host_link::FetchChangesRequest *Request,
                        host_link::FetchChangesReply *Reply) override {
    return run(Context, Handlers.FetchChanges, Request, Reply);
  }
  reactor *HoldAdapter(context *Context,
                       const host_link::HoldAdapterRequest *Request,
                       host_link::HoldAdapterReply *Reply) override {
    return run(Context, Handlers.HoldAdapter, Request, Reply);
  }

private:
  template <typename handler, typename request, typename reply>
  reactor *run(context *Context, const handler &Handler, const request *Request,
               reply *Reply) {
    reactor *const Reactor = Context->DefaultReactor();
    if (!Handler) {
      Reactor->Finish({grpc::StatusCode::UNIMPLEMENTED, "not served here"});
      return Reactor;
    }
    if (Request->sender().protocol() != HostLinkProtocol) {
      Reactor->Finish({grpc::StatusCode::UNIMPLEMENTED,
                       "protocol " +
                           std::to_string(Request->sender().protocol()) +
                           " is not spoken here"});
      return Reactor;
    }
    Runtime.spawn([&Handler, Request, Reply, Reactor] {
      grpc::Status Status = grpc::Status::OK;
      try {
        *Reply = Handler(*Request);
      } catch (const std::exception &Error) {
        Status = toStatus(Error);
      }
      Reactor->Finish(Status);
    });
    return Reactor;
  }

  fiber_runtime &Runtime;
  const host_link_handlers Handlers;
};

} // namespace

struct host_link_server::state {
  state(fiber_runtime &Runtime, host_link_handlers Handlers)
      : Service(Runtime, std::move(Handlers)) {}

  service Service;
  std::unique_ptr<grpc::Server> Server;
  endpoint Bound;
};

host_link_server::host_link_server(fiber_runtime &Runtime,
                                   const endpoint &Address,
                                   host_link_handlers Handlers)
    : State(std::make_unique<state>(Runtime, std::move(Handlers))) {
  grpc::ServerBuilder Builder;
  int Port = 0;
  Builder.AddListeningPort(toText(Address), grpc::InsecureServerCredentials(),
                           &Port);
  // Two hosts on one machine must not share a port by accident.
  Builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  Builder.RegisterService(&State->Service);
  State->Server = Builder.BuildAndStart();
  if (!State->Server || Port == 0)
    throw listen_error(Address, "another process uses it, or the machine does "
                                "not have it");
  State->Bound = {Address.Address, static_cast<std::uint16_t>(Port)};
}

// Calls that still run get so long before they are cancelled.
static constexpr std::chrono::milliseconds ShutdownGrace{200};

host_link_server::~host_link_server() {
  State->Server->Shutdown(std::chrono::system_clock::now() + ShutdownGrace);
  State->Server->Wait();
}

endpoint host_link_server::address() const { return State->Bound; }

} // namespace spindle
