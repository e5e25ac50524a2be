#include "LibCore/result_code.h"
#include "LibHTTP/http_client.h"
#include "LibHTTP/http_server.h"
#include "LibRuntime/fiber_runtime.h"
#include "Support/raw_server.h"

#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

using boost::asio::ip::tcp;

/// Bytes that a server sends after it has read a request: a beginning, and a
/// part that it repeats until the connection is closed.
struct endless_bytes {
  std::string Name;
  std::string Beginning;
  std::string Repeated;
};

raw_answerer withoutEnd(const endless_bytes &Bytes) {
  return [Bytes](const http_request_head &) {
    raw_answer Answer{Bytes.Beginning};
    Answer.Repeated = Bytes.Repeated;
    return Answer;
  };
}

const std::string OwnHead = "HTTP/1.1 200 OK\r\nX-Id: own\r\n";
const std::string OtherHead = "HTTP/1.1 200 OK\r\nX-Id: other\r\n";
const std::string Chunk = "10\r\n0123456789abcdef\r\n";

const std::vector<endless_bytes> AllCases = {
    {"a line of the head", "HTTP/1.1 200 OK\r\nX-Long: ", "a"},
    {"fields of the head", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
    {"bytes that are no answer", "", "\x01z"},
    {"blank lines", "", "\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"interim answers of another kind", "",
     "HTTP/1.1 103 Early Hints\r\nX-More: a\r\n\r\n"},
    {"answers to other requests", "", OtherHead + "Content-Length: 0\r\n\r\n"},
    {"the body of another answer",
     OtherHead + "Transfer-Encoding: chunked\r\n\r\n", Chunk},
    {"the body", OwnHead + "Transfer-Encoding: chunked\r\n\r\n", Chunk},
    {"a body that ends with its connection", OwnHead + "\r\n", "a"},
    {"a chunk's extension", OwnHead + "Transfer-Encoding: chunked\r\n\r\n10;",
     "a"},
    {"fields after the last chunk",
     OwnHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n"},
};

/// Reads the whole answer without keeping it. Returns why that ended.
std::optional<result_code> readAnswer(http_client &Client,
                                      const endpoint &Server,
                                      const http_call_limits &Limits) {
  try {
    const std::unique_ptr<http_call> Call = Client.start(
        Server, {"GET", "/", {}}, "", Limits, connection_use::FreshOnce);
    char Space[16 * 1024];
    while (Call->readSome(Space) > 0) {
    }
    return std::nullopt;
  } catch (const spindle_error &Error) {
    return Error.code();
  }
}

} // namespace

TEST_CASE("bytes without end keep neither the call nor the connection open "
          "beyond the deadline") {
  constexpr milliseconds Deadline{300};
  constexpr milliseconds Margin{700};
  for (const endless_bytes &Bytes : AllCases) {
    INFO(Bytes.Name);
    raw_server Server(withoutEnd(Bytes));
    fiber_runtime Runtime{1};
    http_client Client;
    http_call_limits Limits;
    const time_point Start = boot_clock::now();
    Limits.Until = Start + Deadline;
    Limits.IsOwnAnswer = [](const http_response_head &Head) {
      return findField(Head.Fields, "X-Id") != "other";
    };
    std::optional<result_code> End;
    Runtime.runBlocking(
        [&] { End = readAnswer(Client, Server.address(), Limits); });
    CHECK(End);
    CHECK(boot_clock::now() - Start < Deadline + Margin);
    REQUIRE(Server.closedWithin(Margin));
  }
}

TEST_CASE("answers to other requests do not extend the wait for the own one") {
  constexpr milliseconds Wait{200};
  constexpr milliseconds Margin{700};
  raw_server Server(
      withoutEnd({"", "", OtherHead + "Content-Length: 0\r\n\r\n"}));
  fiber_runtime Runtime{1};
  http_client Client;
  http_call_limits Limits;
  Limits.FirstByte = Wait;
  Limits.IsOwnAnswer = [](const http_response_head &) { return false; };
  const time_point Start = boot_clock::now();
  std::optional<result_code> End;
  Runtime.runBlocking(
      [&] { End = readAnswer(Client, Server.address(), Limits); });
  CHECK(End == result_code::UpstreamTimeout);
  CHECK(boot_clock::now() - Start < Wait + Margin);
  REQUIRE(Server.closedWithin(Margin));
}

TEST_CASE("a caller's chunk line without end closes its connection") {
  constexpr std::size_t MostBytes = 16U << 20U;
  fiber_runtime Runtime{1};
  http_server Server(
      Runtime, {"127.0.0.1", 0}, {},
      [](http_exchange &Exchange) { Exchange.readBody(MostBytes); },
      writeErrorResponse);
  boost::asio::io_context Loop;
  tcp::socket Socket(Loop);
  const endpoint Address = Server.address();
  Socket.connect(
      {boost::asio::ip::make_address(Address.Address), Address.Port});
  const std::string Head = "POST / HTTP/1.1\r\nHost: a\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n10;";
  const std::string Block(4'096, 'a');
  boost::system::error_code Error;
  boost::asio::write(Socket, boost::asio::buffer(Head), Error);
  std::size_t Sent = 0;
  while (!Error && Sent < MostBytes)
    Sent += boost::asio::write(Socket, boost::asio::buffer(Block), Error);
  REQUIRE(Sent < MostBytes);
}
