#include "LibHTTP/beast_exchange.h"

#include "LibCore/result_code.h"
#include "LibCore/retry_after_error.h"
#include "LibHTTP/status_code.h"

#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

namespace spindle {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Turns "http://HOST/PATH" into a path; its host replaces the Host field.
static void splitAbsoluteTarget(http_request_head &Head) {
  static constexpr std::string_view Scheme = "http://";
  if (!Head.Target.starts_with(Scheme))
    return;
  const std::size_t PathStart = Head.Target.find_first_of("/?", Scheme.size());
  const std::string Host =
      Head.Target.substr(Scheme.size(), PathStart - Scheme.size());
  std::string Path = PathStart == std::string::npos
                         ? std::string()
                         : Head.Target.substr(PathStart);
  if (Path.empty() || Path.front() != '/')
    Path.insert(Path.begin(), '/');
  Head.Target = std::move(Path);
  for (http_field &Field : Head.Fields)
    if (sameFieldName(Field.Name, "Host"))
      Field.Value = Host;
}

beast_exchange::beast_exchange(tcp_stream &Stream, beast::flat_buffer &Buffer,
                               request_parser &Parser,
                               const http_server_limits &Limits,
                               const closing_reasons &Closing,
                               std::uint64_t Connection)
    : Stream(Stream), Buffer(Buffer), Parser(Parser), Limits(Limits),
      Closing(Closing), Connection(Connection) {
  const http::request<http::buffer_body> &Message = Parser.get();
  Head.Method = std::string(Message.method_string());
  Head.Target = std::string(Message.target());
  Head.Fields = toFields(Message);
  splitAbsoluteTarget(Head);
}

beast_exchange::~beast_exchange() { stopWatching(); }

std::string beast_exchange::readBody(std::size_t LimitBytes) {
  const boost::optional<std::uint64_t> Declared = Parser.content_length();
  if (Declared && *Declared > LimitBytes)
    throw spindle_error(result_code::BodyTooLarge,
                        "the body has " + std::to_string(*Declared) +
                            " bytes, the limit is " +
                            std::to_string(LimitBytes));
  std::string Body;
  char Space[16 * 1024];
  while (const std::size_t Count = readSome(Space)) {
    if (Body.size() + Count > LimitBytes)
      throw spindle_error(result_code::BodyTooLarge,
                          "the body exceeds the limit of " +
                              std::to_string(LimitBytes) + " bytes");
    Body.append(Space, Count);
  }
  return Body;
}

void beast_exchange::sendContinue() {
  if (ContinueSent || Parser.is_done())
    return;
  ContinueSent = true;
  const http::request<http::buffer_body> &Message = Parser.get();
  if (!beast::iequals(Message[http::field::expect], "100-continue"))
    return;
  http::response<http::empty_body> Interim(http::status::continue_, 11);
  awaitIo([&](auto Handler) {
    http::async_write(Stream, Interim, std::move(Handler));
  });
}

void beast_exchange::throwIfEnding(std::string_view Awaited) const {
  if (Closing.EndsUnanswered.load())
    throw retry_after_error(result_code::HostStops,
                            "this host stops before " + std::string(Awaited),
                            milliseconds(0));
}

std::size_t beast_exchange::readSome(std::span<char> Space) {
  static constexpr std::string_view Awaited = "the body has arrived";
  sendContinue();
  while (!Parser.is_done()) {
    throwIfEnding(Awaited);
    http::buffer_body::value_type &Body = Parser.get().body();
    Body.data = Space.data();
    Body.size = Space.size();
    Stream.expires_after(Limits.ProgressTimeout);
    IsReadingBody = true;
    const io_result Read = awaitIo([&](auto Handler) {
      http::async_read_some(Stream, Buffer, Parser, std::move(Handler));
    });
    IsReadingBody = false;
    if (Read.Error == asio::error::operation_aborted)
      throwIfEnding(Awaited);
    const std::size_t Count = Space.size() - Body.size;
    if (Read.Error == beast::error::timeout)
      throw spindle_error(result_code::CallerTooSlow, run_state::NotRun,
                          "the body did not arrive in time");
    if (Read.Error && Read.Error != http::error::need_buffer)
      throw spindle_error(result_code::BodyIncomplete,
                          "the body ended early: " + Read.Error.message());
    if (Count > 0)
      return Count;
  }
  return 0;
}

bool beast_exchange::closesAfter() const {
  return Closing.Draining.load() || Closing.Crowded.load() ||
         !Parser.is_done() || !Parser.get().keep_alive();
}

template <typename message>
void beast_exchange::setFields(message &Message,
                               const http_response_head &Response) {
  Message.result(static_cast<unsigned>(Response.Status));
  Message.version(11);
  for (const http_field &Field : Response.Fields)
    if (!isConnectionField(Field.Name))
      Message.insert(Field.Name, Field.Value);
  HeadOnly = isStatusWithoutBody(Response.Status) ||
             Parser.get().method() == http::verb::head;
  AnnouncedClose = closesAfter();
  Message.keep_alive(!AnnouncedClose);
}

template <typename start> void beast_exchange::write(start Start) {
  Stream.expires_after(Limits.ProgressTimeout);
  const io_result Written = awaitIo(Start);
  if (!Written.Error)
    return;
  Phase = phase::Aborted;
  const bool TimedOut = Written.Error == beast::error::timeout;
  throw spindle_error(result_code::CallerTooSlow, run_state::RunAnswerLost,
                      TimedOut ? "the caller did not read in time"
                               : "the caller has closed the connection");
}

void beast_exchange::respond(const http_response_head &Response,
                             std::string_view Body) {
  http::response<http::span_body<const char>> Message;
  setFields(Message, Response);
  Message.body() = {Body.data(), Body.size()};
  // To HEAD, the length is that of the body that is left out, if it is known.
  if (!isStatusWithoutBody(Response.Status) && !(HeadOnly && Body.empty()))
    Message.content_length(Body.size());
  Phase = phase::Finished;
  http::serializer<false, http::span_body<const char>> Serializer(Message);
  write([&](auto Handler) {
    if (HeadOnly)
      http::async_write_header(Stream, Serializer, std::move(Handler));
    else
      http::async_write(Stream, Serializer, std::move(Handler));
  });
}

void beast_exchange::startStream(const http_response_head &Response) {
  throwIfEnding("the stream has begun");
  http::response<http::empty_body> Message;
  setFields(Message, Response);
  Message.chunked(!HeadOnly);
  Phase = phase::Streaming;
  http::serializer<false, http::empty_body> Serializer(Message);
  write([&](auto Handler) {
    http::async_write_header(Stream, Serializer, std::move(Handler));
  });
}

void beast_exchange::writeSome(std::string_view Data) {
  if (Data.empty() || HeadOnly)
    return;
  const asio::const_buffer Chunk(Data.data(), Data.size());
  write([&](auto Handler) {
    asio::async_write(Stream, http::make_chunk(Chunk), std::move(Handler));
  });
}

void beast_exchange::finishStream() {
  Phase = phase::Finished;
  if (HeadOnly)
    return;
  write([&](auto Handler) {
    asio::async_write(Stream, http::make_chunk_last(), std::move(Handler));
  });
}

bool beast_exchange::callerGone() {
  return peek(Stream) == socket_peek::Closed;
}

void beast_exchange::watchCaller(std::shared_ptr<cancellation> Cancellation) {
  stopWatching();
  if (Closing.EndsUnanswered.load())
    Cancellation->cancel(result_code::HostStops);
  Watching = std::make_shared<std::atomic<bool>>(true);
  Watched = Cancellation;
  Stream.socket().async_wait(
      asio::socket_base::wait_read,
      [this, Cancellation = std::move(Cancellation),
       Active = Watching](boost::system::error_code Error) {
        if (Error || !Active->load())
          return;
        if (peek(Stream) == socket_peek::Closed)
          Cancellation->cancel(result_code::CallerTooSlow);
      });
}

void beast_exchange::stopWatching() {
  if (!Watching)
    return;
  Watching->store(false);
  Watching.reset();
  Watched.reset();
  // The next read would complete behind the wait, and so behind its own timer.
  boost::system::error_code Ignored;
  Stream.socket().cancel(Ignored);
}

void beast_exchange::endIfUnanswered() {
  if (started())
    return;
  if (IsReadingBody)
    Stream.cancel();
  if (Watched)
    Watched->cancel(result_code::HostStops);
}

std::string beast_exchange::remoteAddress() const {
  boost::system::error_code Error;
  const asio::ip::tcp::endpoint Remote = Stream.socket().remote_endpoint(Error);
  return Error ? std::string() : Remote.address().to_string();
}

bool beast_exchange::reusable() const {
  return Phase == phase::Finished && !AnnouncedClose && Parser.is_done();
}

} // namespace spindle
