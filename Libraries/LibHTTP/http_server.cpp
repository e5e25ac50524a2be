#include "LibHTTP/http_server.h"

#include "LibCore/listen_error.h"
#include "LibCore/result_code.h"
#include "LibCore/retry_after_error.h"
#include "LibHTTP/beast_exchange.h"
#include "LibHTTP/connection_limit.h"
#include "LibHTTP/error_response.h"
#include "LibHTTP/read_timeout.h"
#include "LibLog/log.h"

#include <algorithm>
#include <atomic>
#include <limits>
#include <mutex>
#include <optional>
#include <set>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/read.hpp>

namespace spindle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

using acceptor =
    asio::basic_socket_acceptor<asio::ip::tcp, asio::io_context::executor_type>;
using accepted_socket =
    asio::basic_stream_socket<asio::ip::tcp, asio::io_context::executor_type>;

/// One caller's connection. It lives on one thread.
struct server_connection {
  explicit server_connection(accepted_socket Socket, std::size_t Thread)
      : Stream(std::move(Socket)), Thread(Thread) {}

  tcp_stream Stream;
  std::size_t Thread;
  std::uint64_t Number = 0;
  beast::flat_buffer Buffer;
  /// The exchange that is handled; null between exchanges.
  beast_exchange *Exchange = nullptr;
};

using connection_pointer = std::shared_ptr<server_connection>;

/// What makes a request's head ambiguous although it can be parsed: where its
/// body ends, or which server it is for.
std::optional<spindle_error> findProblem(const request_parser &Parser) {
  const http::request<http::buffer_body> &Message = Parser.get();
  if (Message.count(http::field::transfer_encoding) > 0 && !Parser.chunked())
    return spindle_error(result_code::BadRequest,
                         "the last transfer coding is not chunked");
  if (Message.version() >= 11 && Message.count(http::field::host) != 1)
    return spindle_error(result_code::BadRequest,
                         "the request needs one Host field");
  return std::nullopt;
}

} // namespace

// A client that connects and goes away at once should not use up the backlog.
static constexpr int ListenBacklog = 1024;
static constexpr std::size_t FirstReadBytes = 4096;
static constexpr std::size_t DiscardReadBytes = 65'536;
// Room beside a head in a connection's buffer. The parser keeps the line before
// a chunk there until it is complete, however long it gets.
static constexpr std::size_t BufferMarginBytes = 128 * 1024;
// How long accepting pauses. Descriptors are given back at any time, so that
// this is also how late a free one may be used.
static constexpr milliseconds AcceptPause{20};
// Pauses that follow each other sooner are one episode, which is logged once.
static constexpr milliseconds EpisodeGap{10'000};

struct http_server::state {
  state(fiber_runtime &Runtime, http_server_limits Limits, http_handler Handler,
        http_error_writer ErrorWriter)
      : Runtime(Runtime), Handler(std::move(Handler)),
        ErrorWriter(std::move(ErrorWriter)), Acceptor(Runtime.ioContext(0)),
        PauseTimer(Runtime.ioContext(0)), Limits(Limits) {}

  struct removal_guard;

  void listen(const endpoint &Address);
  void accept(const std::shared_ptr<state> &Self);
  void pauseAccepting(const std::shared_ptr<state> &Self,
                      std::string_view Reason);
  void notePause(std::string_view Reason);
  void start(const std::shared_ptr<state> &Self, accepted_socket Socket,
             std::size_t Thread);
  void serve(server_connection &Connection);
  void discardRest(server_connection &Connection);
  bool waitForRequest(server_connection &Connection);
  io_result readFirst(server_connection &Connection, milliseconds Limit);
  bool serveOne(server_connection &Connection);
  void handle(beast_exchange &Exchange);
  void rejectHeader(server_connection &Connection, request_parser &Parser,
                    boost::system::error_code Error);
  void refuse(server_connection &Connection, request_parser &Parser,
              const spindle_error &Refusal);
  /// Returns false if there are too many connections already.
  bool add(const connection_pointer &Connection);
  void remove(const connection_pointer &Connection);
  void closeConnections();
  http_server_limits limits() const;
  bool isFull() const;
  void updateCrowded();

  fiber_runtime &Runtime;
  const std::size_t DescriptorBound = callerConnectionLimit(descriptorLimit());

  const http_handler Handler;
  const http_error_writer ErrorWriter;
  acceptor Acceptor;
  asio::steady_timer PauseTimer;
  endpoint Bound;
  std::atomic<std::uint64_t> Pauses{0};
  /// When accepting last paused; used on the acceptor's thread alone.
  std::optional<std::chrono::steady_clock::time_point> PausedAt;
  std::size_t NextThread = 0;
  std::uint64_t LastConnection = 0;
  closing_reasons Closing;
  /// Whether new requests are refused.
  std::atomic<bool> Refusing{false};
  /// Whether all connections are to end.
  std::atomic<bool> Closed{false};
  std::atomic<std::size_t> Running{0};
  mutable std::mutex Mutex;
  http_server_limits Limits;
  std::set<connection_pointer> Connections;
  /// Whether the process had no descriptor for the last connection.
  bool LacksDescriptors = false;
};

http_server_limits http_server::state::limits() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Limits;
}

void http_server::state::listen(const endpoint &Address) {
  const asio::ip::tcp::endpoint Wanted = toAsio(Address);
  try {
    Acceptor.open(Wanted.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind(Wanted);
    Acceptor.listen(ListenBacklog);
    Bound = fromAsio(Acceptor.local_endpoint());
  } catch (const boost::system::system_error &Error) {
    throw listen_error(Address, Error.code().message());
  }
}

bool http_server::state::isFull() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Connections.size() >= DescriptorBound;
}

/// Precondition: Mutex is locked.
void http_server::state::updateCrowded() {
  Closing.Crowded.store(LacksDescriptors ||
                        isCrowded(Connections.size(), DescriptorBound));
}

void http_server::state::accept(const std::shared_ptr<state> &Self) {
  if (Refusing.load())
    return;
  if (isFull()) {
    pauseAccepting(Self, "the rest of the descriptors is reserved");
    return;
  }
  const std::size_t Thread = NextThread++ % Runtime.threadCount();
  Acceptor.async_accept(
      Runtime.ioContext(Thread),
      [Self, Thread](boost::system::error_code Error, accepted_socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error)
          Self->start(Self, std::move(Socket), Thread);
        if (!Error || Error == asio::error::connection_aborted)
          Self->accept(Self);
        else
          Self->pauseAccepting(Self, Error.message());
      });
}

/// Accepts again after a pause. A connection that can't be accepted stays with
/// the kernel, so that accepting again at once would fail at once.
void http_server::state::pauseAccepting(const std::shared_ptr<state> &Self,
                                        std::string_view Reason) {
  notePause(Reason);
  PauseTimer.expires_after(AcceptPause);
  PauseTimer.async_wait([Self](boost::system::error_code Error) {
    if (!Error)
      Self->accept(Self);
  });
}

void http_server::state::notePause(std::string_view Reason) {
  std::size_t Open = 0;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Open = Connections.size();
    LacksDescriptors = Open < DescriptorBound;
    updateCrowded();
  }
  ++Pauses;
  const std::chrono::steady_clock::time_point Now =
      std::chrono::steady_clock::now();
  if (!PausedAt || Now - *PausedAt > EpisodeGap)
    logEvent(log_event::AcceptingPaused, {{"address", toText(Bound)},
                                          {"connections", std::to_string(Open)},
                                          {"reason", std::string(Reason)}});
  PausedAt = Now;
}

/// Removes a connection when its fiber ends, however it does.
struct http_server::state::removal_guard {
  removal_guard(state &Server, connection_pointer Connection)
      : Server(Server), Connection(std::move(Connection)) {}
  ~removal_guard() { Server.remove(Connection); }
  removal_guard(const removal_guard &) = delete;
  removal_guard &operator=(const removal_guard &) = delete;

  state &Server;
  const connection_pointer Connection;
};

/// Serves a connection in a fiber of its own.
void http_server::state::start(const std::shared_ptr<state> &Self,
                               accepted_socket Socket, std::size_t Thread) {
  const connection_pointer Connection =
      std::make_shared<server_connection>(std::move(Socket), Thread);
  Connection->Number = ++LastConnection;
  if (!add(Connection))
    return;
  Runtime.spawnOn(
      Thread,
      [Self, Connection] {
        const removal_guard Guard{*Self, Connection};
        Self->serve(*Connection);
      },
      "connection");
}

void http_server::state::serve(server_connection &Connection) {
  prepareSocket(Connection.Stream);
  while (serveOne(Connection)) {
  }
  boost::system::error_code Ignored;
  Connection.Stream.socket().shutdown(asio::socket_base::shutdown_send,
                                      Ignored);
  const bool AllRead = Connection.Buffer.size() == 0 &&
                       peek(Connection.Stream) == socket_peek::Quiet;
  // Where connections are scarce, one is not kept for what may still come.
  const bool Discards = !Closing.Crowded.load() || !AllRead;
  if (!Closed.load() && Discards)
    discardRest(Connection);
  Connection.Stream.close();
}

/// Reads what the caller still sends. A connection that is closed with bytes
/// unread is reset, and the caller may lose the answer that it was sent.
void http_server::state::discardRest(server_connection &Connection) {
  static constexpr std::size_t LimitBytes = 8U << 20U;
  static constexpr milliseconds Limit{1'000};
  std::size_t Discarded = 0;
  Connection.Stream.expires_after(Limit);
  while (Discarded < LimitBytes) {
    Connection.Buffer.clear();
    const io_result Read = awaitIo([&](auto Handler) {
      Connection.Stream.async_read_some(
          Connection.Buffer.prepare(DiscardReadBytes), std::move(Handler));
    });
    if (Read.Error)
      return;
    Discarded += Read.Bytes;
  }
}

/// Waits for the first byte of the next request; false if none comes.
bool http_server::state::waitForRequest(server_connection &Connection) {
  static constexpr milliseconds Shortest{1};
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  while (Connection.Buffer.size() == 0) {
    // Read anew, as the timeout may have been raised during the wait.
    const milliseconds Left =
        limits().IdleTimeout - std::chrono::duration_cast<milliseconds>(
                                   std::chrono::steady_clock::now() - Start);
    // A request that is there is served, however late this thread looks.
    const bool Expired = Left <= milliseconds(0) &&
                         peek(Connection.Stream) != socket_peek::HasData;
    if (Expired || Closed.load()) {
      Connection.Stream.close();
      return false;
    }
    const io_result Read = readFirst(Connection, std::max(Left, Shortest));
    if (Read.Error && Read.Error != asio::error::operation_aborted)
      return false;
    Connection.Buffer.commit(Read.Bytes);
  }
  return true;
}

/// Reads the first bytes of a request; the error is operation_aborted if none
/// have come within \p Limit.
io_result http_server::state::readFirst(server_connection &Connection,
                                        milliseconds Limit) {
  Connection.Stream.expires_never();
  const read_timeout Timeout(Connection.Stream, Limit);
  return awaitIo([&](auto Handler) {
    Connection.Stream.async_read_some(Connection.Buffer.prepare(FirstReadBytes),
                                      std::move(Handler));
  });
}

bool http_server::state::serveOne(server_connection &Connection) {
  request_parser Parser;
  if (!waitForRequest(Connection))
    return false;
  const http_server_limits Limits = limits();
  Parser.header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  Connection.Buffer.max_size(Limits.HeaderBytes + BufferMarginBytes);
  Connection.Stream.expires_after(Limits.HeaderTimeout);
  const io_result Read = awaitIo([&](auto Handler) {
    http::async_read_header(Connection.Stream, Connection.Buffer, Parser,
                            std::move(Handler));
  });
  if (Read.Error) {
    rejectHeader(Connection, Parser, Read.Error);
    return false;
  }
  if (const std::optional<spindle_error> Problem = findProblem(Parser)) {
    refuse(Connection, Parser, *Problem);
    return false;
  }
  if (Refusing.load()) {
    refuse(Connection, Parser,
           retry_after_error(result_code::HostStops, "this host stops",
                             milliseconds(0)));
    return false;
  }
  ++Running;
  beast_exchange Exchange(Connection.Stream, Connection.Buffer, Parser, Limits,
                          Closing, Connection.Number);
  Connection.Exchange = &Exchange;
  handle(Exchange);
  Connection.Exchange = nullptr;
  --Running;
  return Exchange.reusable() && !Closed.load();
}

void http_server::state::handle(beast_exchange &Exchange) {
  try {
    Handler(Exchange);
    if (!Exchange.started())
      throw spindle_error(result_code::Internal, "the handler sent no answer");
  } catch (const std::exception &Error) {
    if (Exchange.started()) {
      Exchange.abort();
      return;
    }
    try {
      ErrorWriter(Exchange, Error);
    } catch (const std::exception &) {
      Exchange.abort();
    }
  }
}

void http_server::state::rejectHeader(server_connection &Connection,
                                      request_parser &Parser,
                                      boost::system::error_code Error) {
  const bool TooLarge = Error == http::error::header_limit ||
                        Error == http::error::buffer_overflow;
  const bool Malformed =
      Error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      Error != http::error::end_of_stream;
  if (TooLarge)
    refuse(Connection, Parser,
           spindle_error(result_code::HeaderTooLarge,
                         "the header exceeds the limit of " +
                             std::to_string(limits().HeaderBytes) + " bytes"));
  else if (Malformed)
    refuse(Connection, Parser,
           spindle_error(result_code::BadRequest,
                         "the header is malformed: " + Error.message()));
}

/// Answers a request that was not handed to the handler. The connection is
/// closed after, as the request's end is not known.
void http_server::state::refuse(server_connection &Connection,
                                request_parser &Parser,
                                const spindle_error &Refusal) {
  const http_server_limits Limits = limits();
  beast_exchange Exchange(Connection.Stream, Connection.Buffer, Parser, Limits,
                          Closing, Connection.Number);
  try {
    ErrorWriter(Exchange, Refusal);
  } catch (const std::exception &) {
    Exchange.abort();
  }
}

bool http_server::state::add(const connection_pointer &Connection) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Closed ||
      (Limits.Connections > 0 && Connections.size() >= Limits.Connections))
    return false;
  Connections.insert(Connection);
  LacksDescriptors = false;
  updateCrowded();
  return true;
}

void http_server::state::remove(const connection_pointer &Connection) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Connections.erase(Connection);
  updateCrowded();
}

void http_server::state::closeConnections() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Closed.store(true);
  for (const connection_pointer &Connection : Connections)
    asio::post(Runtime.ioContext(Connection->Thread),
               [Connection] { Connection->Stream.cancel(); });
}

http_server::http_server(fiber_runtime &Runtime, const endpoint &Address,
                         http_server_limits Limits, http_handler Handler,
                         http_error_writer ErrorWriter)
    : State(std::make_shared<state>(Runtime, Limits, std::move(Handler),
                                    std::move(ErrorWriter))) {
  State->listen(Address);
  if (Limits.Connections > State->DescriptorBound)
    logEvent(log_event::ConnectionLimitLowered,
             {{"address", toText(State->Bound)},
              {"set", std::to_string(Limits.Connections)},
              {"used", std::to_string(State->DescriptorBound)}});
  asio::post(Runtime.ioContext(0), [State = State] { State->accept(State); });
}

http_server::~http_server() {
  refuseNew();
  State->closeConnections();
  // The fibers use the handler's captures, so they must have ended.
  while (true) {
    {
      const std::lock_guard<std::mutex> Lock(State->Mutex);
      if (State->Connections.empty())
        return;
    }
    sleepFor(milliseconds(1));
  }
}

endpoint http_server::address() const { return State->Bound; }

void http_server::startDrain() { State->Closing.Draining.store(true); }

void http_server::refuseNew() {
  State->Closing.Draining.store(true);
  if (State->Refusing.exchange(true))
    return;
  asio::post(State->Runtime.ioContext(0), [State = State] {
    boost::system::error_code Ignored;
    State->Acceptor.close(Ignored);
    State->PauseTimer.cancel();
  });
}

void http_server::endUnanswered() {
  State->Closing.EndsUnanswered.store(true);
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  for (const connection_pointer &Connection : State->Connections)
    asio::post(State->Runtime.ioContext(Connection->Thread), [Connection] {
      if (Connection->Exchange)
        Connection->Exchange->endIfUnanswered();
    });
}

void http_server::setLimits(const http_server_limits &Limits) {
  const std::lock_guard<std::mutex> Lock(State->Mutex);
  State->Limits = Limits;
}

std::uint64_t http_server::acceptPauses() const { return State->Pauses.load(); }

std::size_t http_server::runningExchanges() const {
  return State->Running.load();
}

} // namespace spindle
