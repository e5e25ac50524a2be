#ifndef PARSLEYSPINDLE_TESTS_SUPPORT_RAW_SERVER_H
#define PARSLEYSPINDLE_TESTS_SUPPORT_RAW_SERVER_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibHTTP/http_message.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace spindle {

/// What a raw_server does with a connection after an answer.
enum class connection_end {
  /// Serves further requests on it.
  StaysOpen,
  /// Ends its own side and reads on until the peer closes.
  EndsSending,
  /// Ends its own side and closes a moment later without reading on, so that
  /// the kernel resets the connection if anything arrives or was not read.
  EndsSendingAndCloses,
  /// Resets it.
  Resets,
};

/// The bytes that a raw_server sends for one request.
struct raw_answer {
  std::string Bytes;
  connection_end End = connection_end::StaysOpen;
  /// Whether the answer is sent before the request's body is read.
  bool BeforeBody = false;
  /// The time between the last byte and the end of the connection.
  milliseconds EndDelay{0};
  /// Sent over and over after Bytes until the peer closes; empty for nothing.
  std::string Repeated = {};
};

/// Answers a request by its head. Called on the server's threads.
using raw_answerer = std::function<raw_answer(const http_request_head &)>;

/// A server that sends any bytes for an answer, on loopback. Thread-safe.
class raw_server {
public:
  explicit raw_server(raw_answerer Answerer);
  ~raw_server();
  raw_server(const raw_server &) = delete;
  raw_server &operator=(const raw_server &) = delete;

  endpoint address() const { return Address; }
  /// The number of requests whose heads have arrived.
  std::size_t requests() const { return Requests.load(); }
  /// Whether every connection was closed within \p Limit.
  bool closedWithin(milliseconds Limit) const;

private:
  using tcp_socket = boost::asio::ip::tcp::socket;

  void acceptAll();
  void serve(tcp_socket &Socket);
  void end(tcp_socket &Socket, const raw_answer &Answer);

  const raw_answerer Answerer;
  boost::asio::io_context Loop;
  boost::asio::ip::tcp::acceptor Acceptor;
  const endpoint Address;
  std::atomic<std::size_t> Requests{0};
  std::atomic<std::size_t> OpenConnections{0};
  mutable std::mutex Mutex;
  /// The sockets of Connections; an ended one is closed.
  std::vector<std::unique_ptr<tcp_socket>> Sockets;
  std::vector<std::thread> Connections;
  std::atomic<bool> Stopping{false};
  std::thread Accepting;
};

/// Whether a caller ends its own side of a connection after its last request.
enum class caller_end { StaysOpen, EndsSending };

/// Sends \p Requests and returns all bytes that come back until the server
/// closes the connection, or none has come for 6 s. Blocks the thread.
std::string exchangeBytes(const endpoint &Server, const std::string &Requests,
                          caller_end End = caller_end::StaysOpen);

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_SUPPORT_RAW_SERVER_H
