#include "LibHTTP/beast_support.h"

#include <array>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/beast/http/rfc7230.hpp>

namespace spindle {

namespace asio = boost::asio;

// A dead peer of an idle connection is noticed after 5 + 3 * 2 seconds.
static constexpr int KeepaliveIdleSeconds = 5;
static constexpr int KeepaliveIntervalSeconds = 2;
static constexpr int KeepaliveProbes = 3;
// A send that is not acknowledged for so long ends the connection.
static constexpr int UserTimeoutMilliseconds = 15'000;
// What the kernel takes beyond what the peer's window lets it send. Its buffer
// would grow to megabytes for a peer that reads slowly.
static constexpr int MaxUnsentBytes = 64 * 1024;

socket_peek peek(tcp_stream &Stream) {
  char Byte = 0;
  const ssize_t Count = ::recv(Stream.socket().native_handle(), &Byte, 1,
                               MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return socket_peek::HasData;
  if (Count == 0)
    return socket_peek::Closed;
  return errno == EAGAIN || errno == EWOULDBLOCK ? socket_peek::Quiet
                                                 : socket_peek::Closed;
}

static void setTcpOption(int Socket, int Option, int Value) {
  ::setsockopt(Socket, IPPROTO_TCP, Option, &Value, sizeof Value);
}

void prepareSocket(tcp_stream &Stream) {
  boost::system::error_code Ignored;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  Stream.socket().set_option(asio::socket_base::keep_alive(true), Ignored);
  const int Socket = Stream.socket().native_handle();
  setTcpOption(Socket, TCP_KEEPIDLE, KeepaliveIdleSeconds);
  setTcpOption(Socket, TCP_KEEPINTVL, KeepaliveIntervalSeconds);
  setTcpOption(Socket, TCP_KEEPCNT, KeepaliveProbes);
  setTcpOption(Socket, TCP_USER_TIMEOUT, UserTimeoutMilliseconds);
  setTcpOption(Socket, TCP_NOTSENT_LOWAT, MaxUnsentBytes);
}

asio::ip::tcp::endpoint toAsio(const endpoint &Endpoint) {
  return {asio::ip::make_address(Endpoint.Address), Endpoint.Port};
}

endpoint fromAsio(const asio::ip::tcp::endpoint &Endpoint) {
  return {Endpoint.address().to_string(), Endpoint.port()};
}

bool isConnectionField(std::string_view Name) {
  static constexpr std::array<std::string_view, 8> Names = {
      "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
      "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};
  for (std::string_view Candidate : Names)
    if (sameFieldName(Candidate, Name))
      return true;
  return false;
}

http_fields toFields(const boost::beast::http::fields &Fields) {
  namespace http = boost::beast::http;
  http::token_list ForConnection(Fields[http::field::connection]);
  http_fields Result;
  for (const auto &Field : Fields) {
    const std::string_view Name(Field.name_string().data(),
                                Field.name_string().size());
    if (isConnectionField(Name) || ForConnection.exists(Field.name_string()))
      continue;
    Result.push_back({std::string(Name),
                      std::string(Field.value().data(), Field.value().size())});
  }
  return Result;
}

} // namespace spindle
