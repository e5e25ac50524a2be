#include "LibHTTP/beast_call.h"

#include "LibCore/result_code.h"
#include "LibHTTP/status_code.h"

#include <algorithm>
#include <charconv>
#include <limits>

#include <boost/asio/post.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace spindle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// Below the idle timeout of common servers, so that they rarely close first.
static constexpr milliseconds DefaultMostIdle{30'000};
// A server's own idle timeout has run out by so much before a request arrives.
static constexpr milliseconds IdleMargin{500};

/// Reads "timeout=SECONDS" of a Keep-Alive field.
static milliseconds statedIdleTime(beast::string_view Field) {
  static constexpr beast::string_view Name = "timeout=";
  const std::size_t Start = Field.find(Name);
  if (Start == beast::string_view::npos)
    return DefaultMostIdle;
  std::int64_t Seconds = 0;
  const std::from_chars_result Read = std::from_chars(
      Field.data() + Start + Name.size(), Field.data() + Field.size(), Seconds);
  if (Read.ec != std::errc())
    return DefaultMostIdle;
  return std::max(milliseconds(0), milliseconds(seconds(Seconds)) - IdleMargin);
}

beast_call::beast_call(std::shared_ptr<connection_pool> Pool,
                       client_connection_pointer Connection,
                       const http_call_limits &Limits)
    : Pool(std::move(Pool)), Connection(std::move(Connection)),
      Number(this->Connection->Number), Limits(Limits) {
  armCancellation();
}

beast_call::~beast_call() {
  if (Limits.Cancellation)
    Limits.Cancellation->setHook({});
  if (Connection)
    Connection->Stream.close();
}

void beast_call::armCancellation() {
  if (!Limits.Cancellation)
    return;
  asio::io_context &Loop = currentIoContext();
  Limits.Cancellation->setHook(
      [&Loop, Weak = std::weak_ptr<client_connection>(Connection)] {
        asio::post(Loop, [Weak] {
          if (const client_connection_pointer Open = Weak.lock())
            Open->Stream.cancel();
        });
      });
}

void beast_call::throwIfCancelled() const {
  if (!Limits.Cancellation)
    return;
  const std::optional<result_code> Reason = Limits.Cancellation->reason();
  if (Reason)
    throw spindle_error(*Reason, "the call was cancelled");
}

void beast_call::fail(const io_result &Result, result_code Lost,
                      std::string_view Step) {
  throwIfCancelled();
  std::string Where = toText(Connection->Peer) + " while " + std::string(Step);
  if (Connection->IdleBefore)
    Where += " on a connection idle for " +
             std::to_string(Connection->IdleBefore->count()) + " ms before";
  if (Result.Error == beast::error::timeout)
    throw spindle_error(Lost == result_code::UpstreamUnreachable
                            ? Lost
                            : result_code::UpstreamTimeout,
                        "timeout of " + Where);
  throw spindle_error(Lost, Result.Error.message() + " from " + Where);
}

/// Arms the timer of the next operation, which ends at \p Until at the latest.
/// Throws if that time has passed: a server that never stops sending completes
/// each operation before a timer expires. Throws also if the call was cancelled
/// between two operations, when there was none to end.
void beast_call::expireAfter(milliseconds Limit, time_point Until,
                             result_code Lost, std::string_view Step) {
  static constexpr milliseconds Shortest{1};
  throwIfCancelled();
  if (Until == time_point::max()) {
    Connection->Stream.expires_after(Limit);
    return;
  }
  const nanoseconds Left = Until - boot_clock::now();
  if (Left <= nanoseconds(0))
    fail({beast::error::timeout, 0}, Lost, Step);
  Connection->Stream.expires_after(
      std::clamp(std::chrono::duration_cast<milliseconds>(Left), Shortest,
                 std::max(Shortest, Limit)));
}

void beast_call::connect() {
  static constexpr std::string_view Step = "connecting";
  expireAfter(Limits.Connect, Limits.Until, result_code::UpstreamUnreachable,
              Step);
  const io_result Connected = awaitIo([&](auto Handler) {
    Connection->Stream.async_connect(toAsio(Connection->Peer),
                                     std::move(Handler));
  });
  if (Connected.Error)
    fail(Connected, result_code::UpstreamUnreachable, Step);
  prepareSocket(Connection->Stream);
}

void beast_call::send(const http_request_head &Request, std::string_view Body) {
  http::request<http::span_body<const char>> Message;
  Message.method_string(
      beast::string_view(Request.Method.data(), Request.Method.size()));
  Message.target(
      beast::string_view(Request.Target.data(), Request.Target.size()));
  Message.version(11);
  for (const http_field &Field : Request.Fields)
    if (!isConnectionField(Field.Name))
      Message.insert(Field.Name, Field.Value);
  if (findField(Request.Fields, "Host").empty())
    Message.set(http::field::host, toText(Connection->Peer));
  Message.body() = {Body.data(), Body.size()};
  if (!Body.empty() || Request.Method == "POST" || Request.Method == "PUT")
    Message.content_length(Body.size());
  HeadOnly = Request.Method == "HEAD";
  static constexpr std::string_view Step = "sending the request";
  expireAfter(Limits.FirstByte, Limits.Until, result_code::UpstreamLost, Step);
  const io_result Sent = awaitIo([&](auto Handler) {
    http::async_write(Connection->Stream, Message, std::move(Handler));
  });
  if (!Sent.Error)
    return;
  ClosedBeforeAnswer = Sent.Error != beast::error::timeout;
  fail(Sent, result_code::UpstreamLost, Step);
}

/// Receives what has arrived, or arrives next, into the buffer.
io_result beast_call::receiveSome() {
  static constexpr std::size_t MaxReadBytes = 16 * 1024;
  beast::flat_buffer &Buffer = Connection->Buffer;
  const std::size_t Space = beast::read_size(Buffer, MaxReadBytes);
  if (Space == 0)
    return {http::error::buffer_overflow, 0};
  const io_result Read = awaitIo([&](auto Handler) {
    Connection->Stream.async_read_some(Buffer.prepare(Space),
                                       std::move(Handler));
  });
  Buffer.commit(Read.Bytes);
  return Read;
}

/// Receives until the parser has the whole head.
io_result beast_call::receiveHead(std::string_view Step) {
  while (true) {
    const beast::error_code Parsed = parseHead(Connection->Buffer, *Parser);
    if (Parsed != http::error::need_more)
      return {Parsed, 0};
    expireAfter(Limits.FirstByte, HeadUntil, result_code::UpstreamLost, Step);
    const io_result Read = receiveSome();
    if (Read.Error == asio::error::eof)
      return {Parser->got_some() ? http::error::partial_message
                                 : http::error::end_of_stream,
              0};
    if (Read.Error)
      return Read;
  }
}

void beast_call::readHead() {
  Parser.emplace();
  Parser->header_limit(static_cast<std::uint32_t>(Limits.HeaderBytes));
  Parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  Parser->skip(HeadOnly);
  static constexpr std::string_view Step = "waiting for the answer";
  const io_result Read = receiveHead(Step);
  if (Read.Error) {
    const bool NothingCame =
        Connection->Buffer.size() == 0 && !Parser->got_some();
    ClosedBeforeAnswer = NothingCame && Read.Error != beast::error::timeout;
    fail(Read, result_code::UpstreamLost, Step);
  }
  Head.Status = static_cast<int>(Parser->get().result_int());
  Head.Fields = toFields(Parser->get());
}

/// Reads the head of the next answer and drops the interim ones before it.
void beast_call::readFinalHead() {
  do
    readHead();
  while (isInterimStatus(Head.Status));
}

/// Reads the rest of an answer that belongs to an earlier request.
void beast_call::dropAnswer() {
  if (!Parser->is_done() && Parser->need_eof())
    throw spindle_error(result_code::UpstreamLost,
                        "an answer to another request ends only with its "
                        "connection");
  char Space[16 * 1024];
  while (!Parser->is_done()) {
    http::buffer_body::value_type &Body = Parser->get().body();
    Body.data = Space;
    Body.size = sizeof Space;
    static constexpr std::string_view Step = "dropping a late answer";
    expireAfter(Limits.FirstByte, HeadUntil, result_code::UpstreamLost, Step);
    const io_result Read = awaitIo([&](auto Handler) {
      http::async_read_some(Connection->Stream, Connection->Buffer, *Parser,
                            std::move(Handler));
    });
    if (Read.Error && Read.Error != http::error::need_buffer)
      fail(Read, result_code::UpstreamLost, Step);
  }
}

void beast_call::exchangeHeads(const http_request_head &Request,
                               std::string_view Body) {
  throwIfCancelled();
  send(Request, Body);
  HeadUntil = std::min(Limits.Until, boot_clock::now() + Limits.FirstByte);
  readFinalHead();
  while (Limits.IsOwnAnswer && !Limits.IsOwnAnswer(Head)) {
    dropAnswer();
    readFinalHead();
  }
  if (Parser->is_done())
    finish();
}

std::size_t beast_call::readSome(std::span<char> Space) {
  while (!Parser->is_done()) {
    http::buffer_body::value_type &Body = Parser->get().body();
    Body.data = Space.data();
    Body.size = Space.size();
    static constexpr std::string_view Step = "reading the answer";
    expireAfter(Limits.BetweenBytes, Limits.Until, result_code::AnswerCutShort,
                Step);
    const io_result Read = awaitIo([&](auto Handler) {
      http::async_read_some(Connection->Stream, Connection->Buffer, *Parser,
                            std::move(Handler));
    });
    if (Read.Error && Read.Error != http::error::need_buffer)
      fail(Read, result_code::AnswerCutShort, Step);
    if (const std::size_t Count = Space.size() - Body.size; Count > 0)
      return Count;
  }
  finish();
  return 0;
}

std::string beast_call::readAll(std::size_t LimitBytes) {
  std::string Body;
  char Space[16 * 1024];
  while (const std::size_t Count = readSome(Space)) {
    if (Body.size() + Count > LimitBytes)
      throw spindle_error(result_code::BodyTooLarge, run_state::RunAnswerLost,
                          "the answer exceeds the limit of " +
                              std::to_string(LimitBytes) + " bytes");
    Body.append(Space, Count);
  }
  return Body;
}

void beast_call::finish() {
  if (!Connection)
    return;
  Connection->MostIdle = std::min(
      DefaultMostIdle, statedIdleTime(Parser->get()[http::field::keep_alive]));
  // Bytes beyond the answer mean that the two ends disagree on its end.
  const bool Reusable = Parser->keep_alive() && Connection->Buffer.size() == 0;
  if (Limits.Cancellation)
    Limits.Cancellation->setHook({});
  if (Reusable)
    Pool->giveBack(std::move(Connection));
  else
    Connection->Stream.close();
  Connection.reset();
}

} // namespace spindle
