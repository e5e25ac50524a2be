#ifndef PARSLEYSPINDLE_LIBHTTP_HTTP_CLIENT_H
#define PARSLEYSPINDLE_LIBHTTP_HTTP_CLIENT_H

#include "LibCore/endpoint.h"
#include "LibHTTP/http_message.h"
#include "LibRuntime/cancellation.h"
#include "LibRuntime/fiber_runtime.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// Deadlines of one call, each on the monotonic clock.
struct http_call_limits {
  milliseconds Connect{1'000};
  /// From the request's last byte to the response's head.
  milliseconds FirstByte{10'000};
  /// Between two parts of the body.
  milliseconds BetweenBytes{10'000};
  std::size_t HeaderBytes = 16 * 1024;
  /// A pooled connection that was idle for longer is not used: whether it still
  /// works shows only when the call has waited in vain.
  milliseconds MaxIdle = milliseconds::max();
  /// When the call ends at the latest, whatever the limits above leave.
  time_point Until = time_point::max();
  /// Tells the answer to this request from a late answer to an earlier one,
  /// which is read and dropped. Empty: the first answer is taken.
  std::function<bool(const http_response_head &)> IsOwnAnswer;
  /// The numbers of pooled connections that the call must not use. An answer to
  /// an earlier send of the same request may still arrive on them, and
  /// IsOwnAnswer would accept it.
  std::vector<std::uint64_t> AvoidedConnections;
  /// Ends the call early if it is cancelled; may be null.
  std::shared_ptr<cancellation> Cancellation;
};

/// How a call uses pooled connections.
enum class connection_use {
  /// A pooled connection if there is one. If it proves closed before any byte
  /// of the answer, the call is sent once more on a new connection. If no
  /// answer comes in time, no idle connection to the peer is used again. Only
  /// for idempotent calls.
  PooledIdempotent,
  /// A pooled connection if there is one, never sent twice: a connection that
  /// closes may mean that the request has crashed its server.
  PooledOnce,
  /// Only a connection just opened, never sent twice.
  FreshOnce,
};

/// A call whose response is being read. Destroying it before its end closes
/// the connection, so that a late answer meets nobody. Used by one fiber.
class http_call {
public:
  virtual ~http_call() = default;
  virtual const http_response_head &head() const = 0;
  /// Numbers the connections of a client from 1.
  virtual std::uint64_t connectionNumber() const = 0;
  /// Reads a part of the body; 0 means that it ended properly.
  /// \throws spindle_error AnswerCutShort or UpstreamTimeout.
  virtual std::size_t readSome(std::span<char> Buffer) = 0;
  /// Reads the rest of the body.
  /// \throws spindle_error as readSome(), and BodyTooLarge.
  virtual std::string readAll(std::size_t LimitBytes) = 0;
};

/// Counts of what a client has done, for metrics and tests.
struct http_client_counts {
  std::size_t Opened = 0;
  std::size_t Reused = 0;
  /// Idle connections closed because their peer fell under suspicion.
  std::size_t Discarded = 0;
};

/// Calls to HTTP/1.1 servers over pooled connections, kept per thread and
/// peer. Thread-safe; calls block the calling fiber, which must run on a
/// thread of a fiber_runtime.
///
/// Destroy a client before the runtime, when no fiber uses it.
class http_client {
public:
  /// \p MostIdlePerPeer bounds the idle connections a thread and peer.
  explicit http_client(std::size_t MostIdlePerPeer = 64);
  ~http_client();
  http_client(const http_client &) = delete;
  http_client &operator=(const http_client &) = delete;

  /// Sends a request and waits for the head of its response. Bytes that are no
  /// response of the protocol count as a lost connection, and close it.
  /// \throws spindle_error UpstreamUnreachable (no byte was sent),
  /// UpstreamLost, UpstreamTimeout (the request may have run).
  std::unique_ptr<http_call> start(const endpoint &Peer,
                                   const http_request_head &Request,
                                   std::string_view Body,
                                   const http_call_limits &Limits,
                                   connection_use Use);
  /// Sends a request and reads the whole response.
  /// \throws spindle_error as start() and http_call::readAll().
  http_response call(const endpoint &Peer, const http_request_head &Request,
                     std::string_view Body, const http_call_limits &Limits,
                     connection_use Use, std::size_t BodyLimitBytes);
  /// Marks \p Peer as suspect: none of its idle connections is used again;
  /// they are closed at their thread's next use of the peer.
  void discardIdle(const endpoint &Peer);
  http_client_counts counts() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_HTTP_CLIENT_H
