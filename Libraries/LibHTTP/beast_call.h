#ifndef PARSLEYSPINDLE_LIBHTTP_BEAST_CALL_H
#define PARSLEYSPINDLE_LIBHTTP_BEAST_CALL_H

#include "LibHTTP/answer_parser.h"
#include "LibHTTP/connection_pool.h"
#include "LibHTTP/http_client.h"

#include <optional>

namespace spindle {

/// One call on one connection.
class beast_call : public http_call {
public:
  beast_call(std::shared_ptr<connection_pool> Pool,
             client_connection_pointer Connection,
             const http_call_limits &Limits);
  ~beast_call() override;

  /// Connects. \throws spindle_error UpstreamUnreachable.
  void connect();
  /// Sends the request and reads the response's head.
  /// \throws spindle_error UpstreamLost, UpstreamTimeout.
  void exchangeHeads(const http_request_head &Request, std::string_view Body);
  /// Whether the last failure came before any byte of an answer, by a
  /// connection that the peer had closed.
  bool closedBeforeAnswer() const { return ClosedBeforeAnswer; }

  const http_response_head &head() const override { return Head; }
  std::uint64_t connectionNumber() const override { return Number; }
  std::size_t readSome(std::span<char> Space) override;
  std::string readAll(std::size_t LimitBytes) override;

private:
  void expireAfter(milliseconds Limit, time_point Until, result_code Lost,
                   std::string_view Step);
  void dropAnswer();
  void send(const http_request_head &Request, std::string_view Body);
  io_result receiveSome();
  io_result receiveHead(std::string_view Step);
  void readHead();
  void readFinalHead();
  void armCancellation();
  void throwIfCancelled() const;
  void finish();
  [[noreturn]] void fail(const io_result &Result, result_code Lost,
                         std::string_view Step);

  std::shared_ptr<connection_pool> Pool;
  client_connection_pointer Connection;
  const std::uint64_t Number;
  http_call_limits Limits;
  std::optional<answer_parser> Parser;
  http_response_head Head;
  /// When the head of the answer must have arrived.
  time_point HeadUntil = time_point::max();
  bool HeadOnly = false;
  bool ClosedBeforeAnswer = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_BEAST_CALL_H
