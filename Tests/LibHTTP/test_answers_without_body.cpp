// Guards against bytes after an answer that has no body: a caller takes them
// for the start of the next answer on its connection.

#include "LibHTTP/http_server.h"
#include "Support/raw_server.h"

#include <string>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

/// Answers each request with \p Status, as a stream if the path says so.
std::string answerTo(const std::string &Method, const std::string &Path,
                     int Status, const std::string &Body) {
  fiber_runtime Runtime{1};
  http_server Server(
      Runtime, {"127.0.0.1", 0}, {},
      [&](http_exchange &Exchange) {
        const http_response_head Head{Status, {{"X-A", "b"}}};
        if (Exchange.request().Target != "/stream")
          return Exchange.respond(Head, Body);
        Exchange.startStream(Head);
        Exchange.writeSome(Body);
        Exchange.finishStream();
      },
      writeErrorResponse);
  const std::string Request = Method + " " + Path + " HTTP/1.1\r\nHost: a\r\n";
  return exchangeBytes(Server.address(), Request + "\r\n" + Request +
                                             "Connection: close\r\n\r\n");
}

} // namespace

TEST_CASE("an answer without a body is its head alone") {
  const std::string Path = GENERATE("/whole", "/stream");
  const std::string Body = GENERATE("", "body");
  const int Status = GENERATE(204, 304);
  CAPTURE(Path, Body, Status);
  const std::string Line = Status == 204 ? "HTTP/1.1 204 No Content\r\n"
                                         : "HTTP/1.1 304 Not Modified\r\n";
  REQUIRE(answerTo("GET", Path, Status, Body) ==
          Line + "X-A: b\r\n\r\n" + Line +
              "X-A: b\r\nConnection: close\r\n\r\n");
}

TEST_CASE("an answer to HEAD is its head alone") {
  const std::string Path = GENERATE("/whole", "/stream");
  const int Status = GENERATE(200, 404);
  CAPTURE(Path, Status);
  const std::string Line =
      Status == 200 ? "HTTP/1.1 200 OK\r\n" : "HTTP/1.1 404 Not Found\r\n";
  REQUIRE(answerTo("HEAD", Path, Status, "") ==
          Line + "X-A: b\r\n\r\n" + Line +
              "X-A: b\r\nConnection: close\r\n\r\n");
}

TEST_CASE("an answer to HEAD states the length of a body that it leaves out") {
  const std::string Answer = answerTo("HEAD", "/whole", 404, "body");
  REQUIRE(Answer.find("Content-Length: 4") != std::string::npos);
  REQUIRE(Answer.find("body") == std::string::npos);
}
