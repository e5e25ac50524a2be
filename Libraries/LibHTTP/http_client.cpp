#include "LibHTTP/http_client.h"

#include "LibCore/result_code.h"
#include "LibHTTP/beast_call.h"

namespace spindle {

struct http_client::state {
  std::shared_ptr<connection_pool> Pool;
};

http_client::http_client(std::size_t MostIdlePerPeer)
    : State(std::make_shared<state>()) {
  State->Pool = std::make_shared<connection_pool>(MostIdlePerPeer);
}
http_client::~http_client() = default;

static std::unique_ptr<beast_call>
startFresh(const std::shared_ptr<connection_pool> &Pool, const endpoint &Peer,
           const http_request_head &Request, std::string_view Body,
           const http_call_limits &Limits) {
  std::unique_ptr<beast_call> Call =
      std::make_unique<beast_call>(Pool, Pool->make(Peer), Limits);
  Call->connect();
  Call->exchangeHeads(Request, Body);
  return Call;
}

/// As startFresh(), for a request that may have run already.
static std::unique_ptr<beast_call>
resend(const std::shared_ptr<connection_pool> &Pool, const endpoint &Peer,
       const http_request_head &Request, std::string_view Body,
       const http_call_limits &Limits) {
  try {
    return startFresh(Pool, Peer, Request, Body, Limits);
  } catch (const spindle_error &Error) {
    if (Error.state() != run_state::NotRun)
      throw;
    throw spindle_error(result_code::UpstreamLost, Error.what());
  }
}

std::unique_ptr<http_call> http_client::start(const endpoint &Peer,
                                              const http_request_head &Request,
                                              std::string_view Body,
                                              const http_call_limits &Limits,
                                              connection_use Use) {
  client_connection_pointer Idle;
  if (Use != connection_use::FreshOnce)
    Idle = State->Pool->take(Peer, Limits.MaxIdle, Limits.AvoidedConnections);
  if (!Idle)
    return startFresh(State->Pool, Peer, Request, Body, Limits);
  std::unique_ptr<beast_call> Call =
      std::make_unique<beast_call>(State->Pool, std::move(Idle), Limits);
  try {
    Call->exchangeHeads(Request, Body);
    return Call;
  } catch (const spindle_error &Error) {
    // What silenced this connection may have silenced the others, too.
    if (Use == connection_use::PooledIdempotent &&
        Error.code() == result_code::UpstreamTimeout)
      discardIdle(Peer);
    // The peer may close an idle connection just when it is used again.
    if (Use == connection_use::PooledOnce || !Call->closedBeforeAnswer())
      throw;
  }
  Call.reset();
  return resend(State->Pool, Peer, Request, Body, Limits);
}

http_response
http_client::call(const endpoint &Peer, const http_request_head &Request,
                  std::string_view Body, const http_call_limits &Limits,
                  connection_use Use, std::size_t BodyLimitBytes) {
  const std::unique_ptr<http_call> Call =
      start(Peer, Request, Body, Limits, Use);
  http_response Response;
  Response.Body = Call->readAll(BodyLimitBytes);
  Response.Head = Call->head();
  return Response;
}

void http_client::discardIdle(const endpoint &Peer) {
  State->Pool->suspect(Peer);
}

http_client_counts http_client::counts() const { return State->Pool->counts(); }

} // namespace spindle
