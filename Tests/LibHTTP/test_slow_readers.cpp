// Guards against a host that runs out of memory, or holds up other callers,
// when callers or upstreams read slowly: what it has sent to them and they have
// not read stays in its kernel's buffers, which grow to megabytes a connection.

#include "LibCore/result_code.h"
#include "LibHTTP/http_client.h"
#include "LibHTTP/http_server.h"

#include <atomic>
#include <optional>
#include <string>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr std::size_t PieceBytes = 16 * 1024;
constexpr std::size_t StreamBytes = 32U << 20U;
// What a peer's own receive buffer takes, and what a host may hold beside it.
constexpr int PeerBufferBytes = 32 * 1024;
constexpr std::size_t MostHeldBytes = 256 * 1024;

/// Waits until \p Count is above 0 and no longer grows.
std::size_t settled(const std::atomic<std::size_t> &Count) {
  std::size_t Last = 0;
  for (int Same = 0; Same < 10;) {
    std::this_thread::sleep_for(milliseconds(20));
    const std::size_t Now = Count.load();
    Same = Now > 0 && Now == Last ? Same + 1 : 0;
    Last = Now;
  }
  return Last;
}

void limitBuffer(int Socket) {
  ::setsockopt(Socket, SOL_SOCKET, SO_RCVBUF, &PeerBufferBytes,
               sizeof PeerBufferBytes);
}

sockaddr_in loopbackAddress(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Port);
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// A caller that sends a request and reads nothing.
struct silent_caller {
  explicit silent_caller(const endpoint &Server) {
    limitBuffer(Socket);
    const sockaddr_in Address = loopbackAddress(Server.Port);
    REQUIRE(::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                      sizeof Address) == 0);
    static constexpr std::string_view Request =
        "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";
    REQUIRE(::send(Socket, Request.data(), Request.size(), MSG_NOSIGNAL) > 0);
  }
  ~silent_caller() { ::close(Socket); }
  silent_caller(const silent_caller &) = delete;
  silent_caller &operator=(const silent_caller &) = delete;

  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
};

} // namespace

TEST_CASE("a caller that reads nothing holds little memory, is cut with a "
          "reason, and holds up nobody") {
  fiber_runtime Runtime(1);
  std::atomic<std::size_t> Written{0};
  std::atomic<int> Reason{0};
  http_server_limits Limits;
  Limits.ProgressTimeout = milliseconds(2'000);
  http_server Server(
      Runtime, {"127.0.0.1", 0}, Limits,
      [&](http_exchange &Exchange) {
        const std::string Piece(PieceBytes, 'x');
        Exchange.startStream({200, {}});
        const bool IsSlow = Exchange.request().Target == "/slow";
        for (std::size_t Sent = 0; Sent < StreamBytes; Sent += PieceBytes)
          try {
            Exchange.writeSome(Piece);
            Written += IsSlow ? PieceBytes : 0;
          } catch (const spindle_error &Error) {
            Reason = static_cast<int>(Error.code());
            throw;
          }
        Exchange.finishStream();
      },
      writeErrorResponse);
  const silent_caller Slow(Server.address());
  REQUIRE(settled(Written) <= MostHeldBytes);

  http_client Client;
  http_response Other;
  Runtime.runBlocking([&] {
    Other = Client.call(Server.address(), {"GET", "/", {}}, "", {},
                        connection_use::FreshOnce, StreamBytes + 1);
  });
  REQUIRE(Other.Body.size() == StreamBytes);
  for (int Round = 0; Round < 300 && Reason.load() == 0; ++Round)
    std::this_thread::sleep_for(milliseconds(10));
  REQUIRE(Reason.load() == static_cast<int>(result_code::CallerTooSlow));
}

TEST_CASE("an upstream that reads nothing is cut with a reason") {
  const int Listener = ::socket(AF_INET, SOCK_STREAM, 0);
  limitBuffer(Listener);
  sockaddr_in Address = loopbackAddress(0);
  socklen_t Length = sizeof Address;
  REQUIRE(::bind(Listener, reinterpret_cast<const sockaddr *>(&Address),
                 Length) == 0);
  REQUIRE(::listen(Listener, 1) == 0);
  ::getsockname(Listener, reinterpret_cast<sockaddr *>(&Address), &Length);
  fiber_runtime Runtime(1);
  http_client Client;
  http_call_limits Limits;
  Limits.FirstByte = milliseconds(300);
  std::optional<result_code> Reason;
  const std::string Body(StreamBytes, 'x');
  Runtime.runBlocking([&] {
    try {
      Client.call({"127.0.0.1", ntohs(Address.sin_port)}, {"POST", "/", {}},
                  Body, Limits, connection_use::FreshOnce, 100);
    } catch (const spindle_error &Error) {
      Reason = Error.code();
    }
  });
  ::close(Listener);
  REQUIRE(Reason == result_code::UpstreamTimeout);
}
