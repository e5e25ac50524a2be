#ifndef PARSLEYSPINDLE_LIBHTTP_BEAST_EXCHANGE_H
#define PARSLEYSPINDLE_LIBHTTP_BEAST_EXCHANGE_H

#include "LibHTTP/beast_support.h"
#include "LibHTTP/http_server.h"

#include <atomic>

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace spindle {

/// Why connections are closed after the response that is being sent.
struct closing_reasons {
  /// The server is about to stop.
  std::atomic<bool> Draining{false};
  /// Connections are scarce.
  std::atomic<bool> Crowded{false};
  /// The server stops so soon that exchanges without an answer end now.
  std::atomic<bool> EndsUnanswered{false};
};

using request_parser =
    boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// One request and its response over a Beast stream.
class beast_exchange : public http_exchange {
public:
  /// \p Parser has read the header. All references must outlive the object.
  beast_exchange(tcp_stream &Stream, boost::beast::flat_buffer &Buffer,
                 request_parser &Parser, const http_server_limits &Limits,
                 const closing_reasons &Closing, std::uint64_t Connection);
  ~beast_exchange() override;

  const http_request_head &request() const override { return Head; }
  std::string readBody(std::size_t LimitBytes) override;
  std::size_t readSome(std::span<char> Space) override;
  void respond(const http_response_head &Response,
               std::string_view Body) override;
  void startStream(const http_response_head &Response) override;
  void writeSome(std::string_view Data) override;
  void finishStream() override;
  void abort() override { Phase = phase::Aborted; }
  bool started() const override { return Phase != phase::Waiting; }
  bool callerGone() override;
  void watchCaller(std::shared_ptr<cancellation> Cancellation) override;
  std::string remoteAddress() const override;
  std::uint64_t connectionNumber() const override { return Connection; }

  /// Ends the exchange with HostStops if nothing of a response was sent: a
  /// read of the body fails, and what watchCaller() was given is cancelled.
  /// Call it on the connection's thread, after EndsUnanswered was set.
  void endIfUnanswered();
  /// Tells whether the connection can carry another exchange.
  bool reusable() const;

private:
  enum class phase { Waiting, Streaming, Finished, Aborted };

  void sendContinue();
  /// Throws HostStops if the server ends exchanges without an answer.
  /// \p Awaited completes "this host stops before".
  void throwIfEnding(std::string_view Awaited) const;
  void stopWatching();
  bool closesAfter() const;
  template <typename message>
  void setFields(message &Message, const http_response_head &Response);
  template <typename start> void write(start Start);

  tcp_stream &Stream;
  boost::beast::flat_buffer &Buffer;
  request_parser &Parser;
  const http_server_limits &Limits;
  const closing_reasons &Closing;
  const std::uint64_t Connection;
  http_request_head Head;
  phase Phase = phase::Waiting;
  bool ContinueSent = false;
  /// Whether the response is its head alone.
  bool HeadOnly = false;
  /// Whether the response was sent with "Connection: close".
  bool AnnouncedClose = false;
  bool IsReadingBody = false;
  std::shared_ptr<std::atomic<bool>> Watching;
  /// What watchCaller() was given; null while the caller isn't watched.
  std::shared_ptr<cancellation> Watched;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_BEAST_EXCHANGE_H
