// Guards against a server in trouble whose answer is none of the protocol, or
// ends before it is whole: a caller would take it for the server's answer.

#include "LibCore/result_code.h"
#include "LibHTTP/http_client.h"
#include "LibRuntime/fiber_runtime.h"
#include "Support/raw_server.h"

#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr milliseconds CloseLimit{1'000};
constexpr std::size_t BodyLimit = 1U << 20U;
const std::string Whole = "Content-Length: 4\r\n\r\nbody";

/// How a call ended: with an answer, or with an error's code.
struct call_end {
  std::optional<http_response> Answer;
  std::optional<result_code> Error;
};

/// Calls the server with a body of \p UploadBytes.
call_end call(const raw_server &Server, std::size_t UploadBytes = 0,
              const http_call_limits &Limits = {}) {
  call_end End;
  fiber_runtime Runtime{1};
  http_client Client;
  const std::string Body(UploadBytes, 'u');
  Runtime.runBlocking([&] {
    try {
      End.Answer = Client.call(Server.address(), {"POST", "/", {}}, Body,
                               Limits, connection_use::FreshOnce, BodyLimit);
    } catch (const spindle_error &Error) {
      End.Error = Error.code();
    }
  });
  return End;
}

/// A server that sends the same bytes for each request.
raw_answerer always(const std::string &Bytes,
                    connection_end End = connection_end::StaysOpen) {
  return [Bytes, End](const http_request_head &) {
    return raw_answer{Bytes, End};
  };
}

/// Requires that \p Bytes are no answer and that their connection is closed.
void requireNoAnswer(const std::string &Bytes) {
  CAPTURE(Bytes);
  raw_server Server(always(Bytes));
  const call_end End = call(Server);
  REQUIRE_FALSE(End.Answer);
  REQUIRE(End.Error == result_code::UpstreamLost);
  REQUIRE(Server.closedWithin(CloseLimit));
}

} // namespace

TEST_CASE("an answer whose status is none of the protocol is no answer") {
  for (const std::string Status : {"000", "042", "099", "600", "999"})
    requireNoAnswer("HTTP/1.1 " + Status + " Trouble\r\n" + Whole);
}
