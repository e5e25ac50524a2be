#ifndef PARSLEYSPINDLE_LIBHTTP_HTTP_SERVER_H
#define PARSLEYSPINDLE_LIBHTTP_HTTP_SERVER_H

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

namespace spindle {

/// Bounds on what one caller may use.
struct http_server_limits {
  std::size_t HeaderBytes = 16 * 1024;
  /// Connections beyond this are closed at once; 0 stands for no such limit.
  /// The descriptors of the process are a bound of their own.
  std::size_t Connections = 0;
  /// From a request's first byte to the end of its header.
  milliseconds HeaderTimeout{10'000};
  /// How long an idle keep-alive connection is kept.
  milliseconds IdleTimeout{60'000};
  /// How long one read or write of a body may make no progress.
  milliseconds ProgressTimeout{15'000};
};

/// One request and its response on a connection. Used by one fiber.
class http_exchange {
public:
  virtual ~http_exchange() = default;

  virtual const http_request_head &request() const = 0;
  /// Reads the whole body.
  /// \throws spindle_error BodyTooLarge, BodyIncomplete, CallerTooSlow,
  /// HostStops.
  virtual std::string readBody(std::size_t LimitBytes) = 0;
  /// Reads a part of the body into \p Buffer; 0 means the body has ended.
  /// \throws spindle_error BodyIncomplete, CallerTooSlow, HostStops.
  virtual std::size_t readSome(std::span<char> Buffer) = 0;
  /// Sends a whole response, or its head alone if it has no body: to HEAD, and
  /// with 204 or 304. Precondition: nothing was sent before.
  virtual void respond(const http_response_head &Head,
                       std::string_view Body) = 0;
  /// Starts a chunked response. One that has no body, as for respond(), is its
  /// head alone, whatever is written. Precondition: nothing was sent before.
  /// \throws spindle_error HostStops if the server ends the exchanges without
  /// an answer; a response may then still be sent. CallerTooSlow.
  virtual void startStream(const http_response_head &Head) = 0;
  /// Sends a part of a chunked response.
  /// \throws spindle_error CallerTooSlow if the caller doesn't read, or has
  /// gone. Precondition: startStream() was called, finishStream() not.
  virtual void writeSome(std::string_view Data) = 0;
  /// Ends a chunked response properly.
  virtual void finishStream() = 0;
  /// Closes the connection after this exchange without ending a started
  /// stream, so that the caller sees that the answer is cut.
  virtual void abort() = 0;
  /// Tells whether anything of a response was sent.
  virtual bool started() const = 0;
  /// Tells whether the caller has closed the connection. Never blocks.
  virtual bool callerGone() = 0;
  /// Cancels \p Cancellation with CallerTooSlow once the caller closes the
  /// connection, until this exchange ends; with HostStops once the server ends
  /// the exchanges without an answer, if this is one.
  virtual void watchCaller(std::shared_ptr<cancellation> Cancellation) = 0;
  /// The caller's address.
  virtual std::string remoteAddress() const = 0;
  /// Numbers the server's connections in the order of their start, from 1;
  /// 0 if unknown.
  virtual std::uint64_t connectionNumber() const { return 0; }
};

/// Handles one exchange in a fiber of its own. A spindle_error that escapes is
/// answered by the server's error writer if nothing was sent, else the
/// connection is cut.
using http_handler = std::function<void(http_exchange &)>;
/// Answers an exchange that failed before or in the handler.
using http_error_writer =
    std::function<void(http_exchange &, const std::exception &)>;

/// An HTTP/1.1 server with keep-alive, whose connections are spread over the
/// runtime's threads.
///
/// When it has as many connections as the descriptors of the process allow, see
/// callerConnectionLimit(), or the process has no descriptor left, it accepts
/// none until some have closed, and serves those that it has. Shortly before,
/// and then, each connection is closed after its next response.
class http_server {
public:
  /// Listens at \p Address; port 0 lets the kernel choose.
  /// \throws listen_error if the address can't be bound.
  http_server(fiber_runtime &Runtime, const endpoint &Address,
              http_server_limits Limits, http_handler Handler,
              http_error_writer ErrorWriter);
  /// Closes every connection and waits for their fibers.
  ~http_server();
  http_server(const http_server &) = delete;
  http_server &operator=(const http_server &) = delete;

  /// Where the server listens. Thread-safe.
  endpoint address() const;
  /// Tells callers with each answer that the connection closes. New
  /// connections are still accepted, since the balancer lags. Thread-safe.
  void startDrain();
  /// Stops accepting, and refuses each request that is read from now on with
  /// HostStops; running exchanges go on. A connection stays open until a
  /// response with "Connection: close" was sent on it. Thread-safe.
  void refuseNew();
  /// Ends the exchanges, also later ones, that have sent nothing of a response:
  /// a read of a body and startStream() throw HostStops, and what watchCaller()
  /// was given is cancelled with HostStops. Their handlers answer as they do to
  /// any error, so call it early enough before the server is destroyed.
  /// Thread-safe.
  void endUnanswered();
  /// Replaces the limits for requests that are read from now on. A connection
  /// that is idle is kept for the longer of the two idle timeouts. Thread-safe.
  void setLimits(const http_server_limits &Limits);
  /// The number of times that the server has paused accepting for want of
  /// descriptors. Thread-safe.
  std::uint64_t acceptPauses() const;
  /// The number of exchanges that are running. Thread-safe.
  std::size_t runningExchanges() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

/// Writes \p Error as the JSON body {"error":{code,name,state,message}} with
/// the code's HTTP status; other exceptions count as Internal. Thread-safe.
void writeErrorResponse(http_exchange &Exchange, const std::exception &Error);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_HTTP_SERVER_H
