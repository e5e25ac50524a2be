#include "Support/raw_server.h"

#include "LibHTTP/beast_support.h"

#include <array>
#include <memory>

#include <sys/socket.h>
#include <sys/time.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace spindle {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using request_reader = http::request_parser<http::string_body>;

static constexpr std::uint64_t MaxBodyBytes = 64U << 20U;

static http_request_head headOf(const request_reader &Reader) {
  const http::request<http::string_body> &Message = Reader.get();
  return {std::string(Message.method_string()), std::string(Message.target()),
          toFields(Message)};
}

/// Reads and drops until the peer closes the connection.
static void drain(tcp::socket &Socket) {
  std::array<char, 16 * 1024> Space{};
  boost::system::error_code Error;
  while (!Error)
    Socket.read_some(asio::buffer(Space), Error);
}

/// Writes \p Bytes over and over until the peer closes the connection.
static void repeat(tcp::socket &Socket, const std::string &Bytes) {
  static constexpr std::size_t MinBlockBytes = 4'096;
  std::string Block;
  while (Block.size() < MinBlockBytes)
    Block += Bytes;
  boost::system::error_code Error;
  while (!Error)
    asio::write(Socket, asio::buffer(Block), Error);
}

raw_server::raw_server(raw_answerer Answerer)
    : Answerer(std::move(Answerer)),
      Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}),
      Address{"127.0.0.1", Acceptor.local_endpoint().port()},
      Accepting([this] { acceptAll(); }) {}

raw_server::~raw_server() {
  Stopping.store(true);
  ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
  Accepting.join();
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    for (const std::unique_ptr<tcp_socket> &Socket : Sockets)
      if (Socket->is_open())
        ::shutdown(Socket->native_handle(), SHUT_RDWR);
  }
  for (std::thread &Connection : Connections)
    Connection.join();
}

void raw_server::acceptAll() {
  while (!Stopping.load()) {
    std::unique_ptr<tcp_socket> Socket = std::make_unique<tcp_socket>(Loop);
    boost::system::error_code Error;
    Acceptor.accept(*Socket, Error);
    if (Error)
      continue;
    ++OpenConnections;
    const std::lock_guard<std::mutex> Lock(Mutex);
    tcp_socket &Accepted = *Socket;
    Sockets.push_back(std::move(Socket));
    Connections.emplace_back([this, &Accepted] {
      serve(Accepted);
      const std::lock_guard<std::mutex> Closing(Mutex);
      boost::system::error_code Ignored;
      Accepted.close(Ignored);
      --OpenConnections;
    });
  }
}

void raw_server::serve(tcp_socket &Socket) {
  boost::beast::flat_buffer Buffer;
  while (!Stopping.load()) {
    request_reader Reader;
    Reader.body_limit(MaxBodyBytes);
    boost::system::error_code Error;
    http::read_header(Socket, Buffer, Reader, Error);
    if (Error)
      return;
    ++Requests;
    const raw_answer Answer = Answerer(headOf(Reader));
    if (!Answer.BeforeBody)
      http::read(Socket, Buffer, Reader, Error);
    if (!Error)
      asio::write(Socket, asio::buffer(Answer.Bytes), Error);
    if (!Answer.Repeated.empty())
      return repeat(Socket, Answer.Repeated);
    if (Answer.End != connection_end::StaysOpen)
      return end(Socket, Answer);
    if (Answer.BeforeBody && !Error)
      http::read(Socket, Buffer, Reader, Error);
    if (Error)
      return;
  }
}

void raw_server::end(tcp_socket &Socket, const raw_answer &Answer) {
  std::this_thread::sleep_for(Answer.EndDelay);
  boost::system::error_code Ignored;
  if (Answer.End == connection_end::Resets) {
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
    return;
  }
  Socket.shutdown(tcp_socket::shutdown_send, Ignored);
  if (Answer.End == connection_end::EndsSending)
    return drain(Socket);
  static constexpr milliseconds BeforeClose{20};
  std::this_thread::sleep_for(BeforeClose);
}

bool raw_server::closedWithin(milliseconds Limit) const {
  const time_point End = boot_clock::now() + Limit;
  while (OpenConnections.load() > 0 && boot_clock::now() < End)
    std::this_thread::sleep_for(milliseconds(5));
  return OpenConnections.load() == 0;
}

std::string exchangeBytes(const endpoint &Server, const std::string &Requests,
                          caller_end End) {
  static constexpr timeval Limit{6, 0};
  asio::io_context Loop;
  tcp::socket Socket(Loop);
  Socket.connect(toAsio(Server));
  ::setsockopt(Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
               sizeof Limit);
  boost::system::error_code Error;
  asio::write(Socket, asio::buffer(Requests), Error);
  if (End == caller_end::EndsSending)
    Socket.shutdown(tcp::socket::shutdown_send, Error);
  std::string Answer;
  std::array<char, 16 * 1024> Space{};
  while (true) {
    // A read of the socket class would wait on after the socket's own limit.
    const ssize_t Count =
        ::recv(Socket.native_handle(), Space.data(), Space.size(), 0);
    if (Count <= 0)
      return Answer;
    Answer.append(Space.data(), static_cast<std::size_t>(Count));
  }
}

} // namespace spindle
