// Guards against a server in trouble whose answer is none of the protocol, or
// ends before it is whole: a caller would take it for the server's answer.

#include "LibCore/result_code.h"
#include "LibHTTP/http_client.h"
#include "LibRuntime/fiber_runtime.h"
#include "Support/raw_server.h"

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
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
              const http_call_limits &Limits = {},
              const std::string &Method = "POST") {
  call_end End;
  fiber_runtime Runtime{1};
  http_client Client;
  const std::string Body(UploadBytes, 'u');
  Runtime.runBlocking([&] {
    try {
      End.Answer = Client.call(Server.address(), {Method, "/", {}}, Body,
                               Limits, connection_use::FreshOnce, BodyLimit);
    } catch (const spindle_error &Error) {
      End.Error = Error.code();
    }
  });
  return End;
}

std::string joined(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (const std::string_view Part : Parts)
    Text.append(Part);
  return Text;
}

/// A server that sends the same bytes for each request.
raw_answerer always(const std::string &Bytes,
                    connection_end End = connection_end::StaysOpen) {
  return [=](const http_request_head &) { return raw_answer{Bytes, End}; };
}

/// The answer that \p Bytes are, on a connection that ends after them.
http_response answerFrom(const std::string &Bytes,
                         const std::string &Method = "POST") {
  CAPTURE(Bytes);
  raw_server Server(always(Bytes, connection_end::EndsSending));
  const call_end End = call(Server, 0, {}, Method);
  REQUIRE(End.Answer);
  return *End.Answer;
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
    requireNoAnswer(joined({"HTTP/1.1 ", Status, " Trouble\r\n", Whole}));
}

TEST_CASE("an answer whose field name holds a blank or a control byte is no "
          "answer") {
  const std::vector<std::string> Lines = {
      "X A: b",   "X-A : b",  "X-A\t: b",  "X\x01-A: b", "X\x7f-A: b",
      "X\x80: b", ": b",      "no colon",  "X-A: \x01",  "X-A: b\x7f",
      "X\r-A: b", "X\n-A: b", "X-A: b\rc", "(X): b"};
  for (const std::string &Line : Lines) {
    requireNoAnswer(joined({"HTTP/1.1 200 OK\r\n", Line, "\r\n", Whole}));
    requireNoAnswer(
        joined({"HTTP/1.1 200 OK\r\nX-B: c\r\n", Line, "\r\n", Whole}));
    requireNoAnswer(joined(
        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", Line, "\r\n\r\nbody"}));
  }
  requireNoAnswer("HTTP/1.1 200 OK\r\n X-A: b\r\n" + Whole);
}

TEST_CASE("fields after the last chunk that are none cut the answer short") {
  const std::string Head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n4\r\nbody\r\n0\r\n";
  REQUIRE(answerFrom(Head + "X-A: b\r\n\r\n").Body == "body");
  for (const std::string Line : {"X A: b", "X-A : b", "X\x01: b", "no colon"}) {
    CAPTURE(Line);
    raw_server Server(always(joined({Head, Line, "\r\n\r\n"})));
    const call_end End = call(Server);
    REQUIRE_FALSE(End.Answer);
    REQUIRE(End.Error == result_code::AnswerCutShort);
    REQUIRE(Server.closedWithin(CloseLimit));
  }
}

TEST_CASE("an early answer without a length that is reset beside the upload "
          "is not complete") {
  const std::size_t Upload = GENERATE(0, 20'000, 300'000, 16'000'000);
  const std::size_t Part = GENERATE(0, 4, 20'000);
  const int Delay = GENERATE(0, 1, 20, 200);
  CAPTURE(Upload, Part, Delay);
  raw_server Server([&](const http_request_head &) {
    return raw_answer{"HTTP/1.1 200 OK\r\n\r\n" + std::string(Part, 'p'),
                      connection_end::Resets, true, milliseconds(Delay)};
  });
  const call_end End = call(Server, Upload);
  REQUIRE_FALSE(End.Answer);
  REQUIRE(End.Error);
}

TEST_CASE("an early answer whose stated length did not arrive before a reset "
          "is not complete") {
  const std::size_t Upload = GENERATE(0, 300'000, 16'000'000);
  const std::string Framing = GENERATE("Content-Length: 9\r\n\r\nbody",
                                       "Transfer-Encoding: chunked\r\n\r\n"
                                       "4\r\nbody\r\n");
  const connection_end How =
      GENERATE(connection_end::Resets, connection_end::EndsSending,
               connection_end::EndsSendingAndCloses);
  CAPTURE(Upload, Framing, static_cast<int>(How));
  raw_server Server([&](const http_request_head &) {
    return raw_answer{"HTTP/1.1 200 OK\r\n" + Framing, How, true};
  });
  const call_end End = call(Server, Upload);
  REQUIRE_FALSE(End.Answer);
  REQUIRE(End.Error);
}

TEST_CASE("an early answer without a length is complete if its connection ends "
          "properly") {
  const std::size_t Upload = GENERATE(20'000, 300'000, 16'000'000);
  CAPTURE(Upload);
  raw_server Server([](const http_request_head &) {
    return raw_answer{"HTTP/1.1 200 OK\r\n\r\nbody",
                      connection_end::EndsSending, true};
  });
  const call_end End = call(Server, Upload);
  REQUIRE(End.Answer);
  REQUIRE(End.Answer->Body == "body");
}

TEST_CASE("an answer with a folded field is no answer") {
  for (const std::string Fold : {" X-A: b", "\tX-A: b", " ", "  more"}) {
    requireNoAnswer(
        joined({"HTTP/1.1 200 OK\r\nX-B: c\r\n", Fold, "\r\n", Whole}));
    requireNoAnswer(
        joined({"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-B: c\r\n", Fold,
                "\r\n\r\nbody"}));
  }
}

TEST_CASE("a body that begins with a blank is no folded field") {
  const std::string Body = " a\r\n b";
  REQUIRE(
      answerFrom("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n" + Body).Body ==
      Body);
}

TEST_CASE("an answer that switches protocols unasked is no answer") {
  requireNoAnswer("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
                  "Upgrade: other\r\n\r\n");
  requireNoAnswer("HTTP/1.1 101 Switching Protocols\r\n\r\n"
                  "HTTP/1.1 200 OK\r\n" +
                  Whole);
}

TEST_CASE("an interim answer is not the answer, nor one to another request") {
  const std::string Status = GENERATE("100", "102", "103", "199");
  const bool IsAfterLate = GENERATE(false, true);
  const std::string Interim =
      "HTTP/1.1 " + Status + " Interim\r\nX-Id: 1\r\nX-A: b\r\n\r\n";
  const std::string Late =
      IsAfterLate ? "HTTP/1.1 200 OK\r\nX-Id: 0\r\n" + Whole : "";
  raw_server Server(always(Interim + Late + Interim + Interim +
                           "HTTP/1.1 201 Created\r\nX-Id: 1\r\n" + Whole));
  http_call_limits Limits;
  Limits.IsOwnAnswer = [](const http_response_head &Head) {
    return findField(Head.Fields, "X-Id") == "1";
  };
  CAPTURE(Status, IsAfterLate);
  const call_end End = call(Server, 0, Limits);
  REQUIRE(End.Answer);
  REQUIRE(End.Answer->Head.Status == 201);
  REQUIRE(findField(End.Answer->Head.Fields, "X-A").empty());
  REQUIRE(End.Answer->Body == "body");
}

TEST_CASE("an answer in a transfer coding other than chunked is no answer") {
  const std::string Chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
  const std::vector<std::string> Codings = {
      "gzip",
      "gzip, chunked",
      "chunked, gzip",
      "xgzip",
      "chunked, chunked",
      "chunked;q=1",
      "chunked a",
      "gzip\r\nTransfer-Encoding: chunked"};
  for (const std::string &Coding : Codings)
    requireNoAnswer(joined(
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: ", Coding, "\r\n", Chunks}));
  REQUIRE(
      answerFrom("HTTP/1.1 200 OK\r\nTransfer-Encoding:  Chunked \r\n" + Chunks)
          .Body == "body");
}

TEST_CASE("an answer with a broken status line is no answer") {
  for (const std::string Line :
       {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK", "HTTP/1.1  200 OK", "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK", "http/1.1 200 OK", "HTTP/1.1 200 O\x01K", "200 OK",
        " HTTP/1.1 200 OK", "HTTP/1.1\t200 OK"})
    requireNoAnswer(joined({Line, "\r\n", Whole}));
}

TEST_CASE("an answer with contradictory lengths is no answer") {
  for (const std::string Fields :
       {"Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4, 5",
        "Content-Length: -4", "Content-Length: +4", "Content-Length: 4x",
        "Content-Length: 99999999999999999999",
        "Content-Length: 4\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 4"})
    requireNoAnswer(joined({"HTTP/1.1 200 OK\r\n", Fields, "\r\n\r\nbody"}));
}

TEST_CASE("a proper answer is still taken") {
  for (const std::string_view Line :
       {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.0 200 OK",
        "HTTP/1.1 200 caf\xe9", "HTTP/1.1 299 Own", "HTTP/1.1 599 Own"}) {
    const http_response Sized =
        answerFrom(joined({Line, "\r\nX-A:\r\n", Whole}));
    REQUIRE(Sized.Body == "body");
    REQUIRE(Sized.Head.Status == std::stoi(std::string(Line.substr(9, 3))));
    REQUIRE(answerFrom(joined({Line, "\r\n\r\nuntil the end"})).Body ==
            "until the end");
  }
  REQUIRE(answerFrom("HTTP/1.1 204 No Content\r\n\r\n").Head.Status == 204);
  REQUIRE(answerFrom("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n")
              .Body.empty());
  REQUIRE(answerFrom("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HEAD")
              .Body.empty());
  REQUIRE(
      answerFrom("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", "HEAD")
          .Head.Status == 200);
}
