#include "LibCore/retry_after_error.h"
#include "LibHTTP/error_response.h"
#include "LibHTTP/http_client.h"
#include "LibHTTP/http_server.h"
#include "Support/raw_server.h"

#include <atomic>
#include <map>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

/// A server with one handler and a client on one runtime.
struct loopback {
  explicit loopback(http_handler Handler, http_server_limits Limits = {})
      : Server(Runtime, {"127.0.0.1", 0}, Limits, std::move(Handler),
               writeErrorResponse) {}

  http_response call(const http_request_head &Request, std::string_view Body,
                     connection_use Use = connection_use::PooledIdempotent,
                     const http_call_limits &Limits = {}) {
    http_response Response;
    Runtime.runBlocking([&] {
      Response =
          Client.call(Server.address(), Request, Body, Limits, Use, 1 << 20);
    });
    return Response;
  }

  fiber_runtime Runtime{2};
  http_client Client;
  http_server Server;
};

/// Calls the server from a fiber.
void get(loopback &Loopback, const http_call_limits &Limits) {
  Loopback.Client.call(Loopback.Server.address(), {"GET", "/", {}}, "", Limits,
                       connection_use::PooledIdempotent, 100);
}

/// Leaves several idle connections to the server, for the calling thread.
void fillPool(loopback &Loopback) {
  static constexpr std::size_t Connections = 4;
  std::vector<std::unique_ptr<http_call>> Calls;
  Calls.reserve(Connections);
  while (Calls.size() < Connections)
    Calls.push_back(Loopback.Client.start(Loopback.Server.address(),
                                          {"GET", "/", {}}, "", {},
                                          connection_use::FreshOnce));
  for (const std::unique_ptr<http_call> &Call : Calls)
    Call->readAll(100);
}

result_code codeOf(const std::function<void()> &Work) {
  try {
    Work();
  } catch (const spindle_error &Error) {
    return Error.code();
  }
  FAIL("no error was thrown");
  return result_code::Internal;
}

} // namespace

TEST_CASE("a request's body comes back whole over a kept connection") {
  loopback Loopback([](http_exchange &Exchange) {
    Exchange.respond({200, {}}, Exchange.readBody(1 << 20));
  });
  const std::string Body(300'000, 'x');
  for (int Round = 0; Round < 4; ++Round)
    REQUIRE(Loopback.call({"POST", "/echo", {}}, Body).Body == Body);
  REQUIRE(Loopback.Client.counts().Reused >= 2);
}

TEST_CASE("a stream arrives as it was written") {
  loopback Loopback([](http_exchange &Exchange) {
    Exchange.startStream({200, {{"Content-Type", "text/event-stream"}}});
    for (int Part = 0; Part < 1000; ++Part)
      Exchange.writeSome("data: " + std::to_string(Part) + "\n\n");
    Exchange.finishStream();
  });
  const http_response Response = Loopback.call({"GET", "/", {}}, "");
  REQUIRE(Response.Body.find("data: 999\n\n") != std::string::npos);
}

TEST_CASE("a stream that is cut is an error and never a short answer") {
  loopback Loopback([](http_exchange &Exchange) {
    Exchange.startStream({200, {}});
    Exchange.writeSome("half of");
    throw spindle_error(result_code::UpstreamLost, "cut");
  });
  REQUIRE(codeOf([&] {
            Loopback.call({"GET", "/", {}}, "");
          }) == result_code::AnswerCutShort);
}

TEST_CASE("a refusal carries its code, state and when to come again") {
  loopback Loopback([](http_exchange &) {
    throw retry_after_error(result_code::RateExceeded, "too much",
                            milliseconds(6'100));
  });
  const http_response Response = Loopback.call({"GET", "/", {}}, "");
  REQUIRE(Response.Head.Status == 429);
  REQUIRE(findField(Response.Head.Fields, "retry-after") == "7");
  REQUIRE(Response.Body.find("\"code\":1200") != std::string::npos);
  REQUIRE(Response.Body.find("\"not run\"") != std::string::npos);
}

TEST_CASE("a refusal states fractions of a second to callers that read them") {
  const auto RetryAfter = [](int Milliseconds) {
    const retry_after_error Error(result_code::RateExceeded, "too much",
                                  milliseconds(Milliseconds));
    const http_response Response =
        errorResponse(Error, retry_after_form::Fractions);
    return std::string(findField(Response.Head.Fields, "Retry-After"));
  };
  REQUIRE(RetryAfter(6'100) == "6.100");
  REQUIRE(RetryAfter(7) == "0.007");
  REQUIRE(RetryAfter(0) == "0.000");
}

TEST_CASE("headers and bodies over their limits are refused by name") {
  http_server_limits Limits;
  Limits.HeaderBytes = 1024;
  loopback Loopback(
      [](http_exchange &Exchange) {
        Exchange.respond({200, {}}, Exchange.readBody(100));
      },
      Limits);
  const std::string Large(4000, 'x');
  REQUIRE(Loopback.call({"GET", "/", {{"X-Large", Large}}}, "").Head.Status ==
          431);
  REQUIRE(Loopback.call({"POST", "/", {}}, Large).Head.Status == 413);
}

TEST_CASE("a connection that is refused has not run the request") {
  loopback Loopback([](http_exchange &) {});
  fiber_runtime Runtime(1);
  http_client Client;
  REQUIRE(codeOf([&] {
            Runtime.runBlocking([&] {
              Client.call({"127.0.0.1", 1}, {"GET", "/", {}}, "", {},
                          connection_use::FreshOnce, 100);
            });
          }) == result_code::UpstreamUnreachable);
}

TEST_CASE("a silent server ends the call at its deadline") {
  std::atomic<bool> Stop{false};
  loopback Loopback([&Stop](http_exchange &Exchange) {
    while (!Stop.load() && !Exchange.callerGone())
      sleepFor(milliseconds(1));
    Exchange.respond({200, {}}, "late");
  });
  http_call_limits Limits;
  Limits.FirstByte = milliseconds(30);
  REQUIRE(
      codeOf([&] {
        Loopback.call({"GET", "/", {}}, "", connection_use::FreshOnce, Limits);
      }) == result_code::UpstreamTimeout);
  Stop = true;
}

// A cancellation that comes between two operations of a call finds none to end.
// The call would wait until its limits for a response that is of no more use.
TEST_CASE("a call that is cancelled between two operations waits on") {
  loopback Loopback([](http_exchange &Exchange) {
    Exchange.startStream({200, {}});
    while (!Exchange.callerGone())
      sleepFor(milliseconds(1));
    Exchange.abort();
  });
  http_call_limits Limits;
  Limits.BetweenBytes = milliseconds(3'000);
  Limits.Cancellation = std::make_shared<cancellation>();
  const std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
  result_code Code = result_code::Internal;
  Loopback.Runtime.runBlocking([&] {
    const std::unique_ptr<http_call> Call =
        Loopback.Client.start(Loopback.Server.address(), {"GET", "/", {}}, "",
                              Limits, connection_use::FreshOnce);
    Limits.Cancellation->cancel(result_code::HostStops);
    sleepFor(milliseconds(20));
    Code = codeOf([&] { Call->readAll(100); });
  });
  REQUIRE(Code == result_code::HostStops);
  REQUIRE(std::chrono::steady_clock::now() - Start < Limits.BetweenBytes);
}

TEST_CASE("a cancelled call ends with the reason, and the server notices") {
  std::atomic<bool> Noticed{false};
  loopback Loopback([&Noticed](http_exchange &Exchange) {
    const std::shared_ptr<cancellation> Gone = std::make_shared<cancellation>();
    Exchange.watchCaller(Gone);
    while (!Gone->reason())
      sleepFor(milliseconds(1));
    Noticed = true;
    Exchange.abort();
  });
  http_call_limits Limits;
  Limits.Cancellation = std::make_shared<cancellation>();
  Loopback.Runtime.spawn([Cancellation = Limits.Cancellation] {
    Cancellation->cancel(result_code::KeyWithdrawn);
  });
  REQUIRE(
      codeOf([&] {
        Loopback.call({"GET", "/", {}}, "", connection_use::FreshOnce, Limits);
      }) == result_code::KeyWithdrawn);
}

TEST_CASE("idle connections of a suspected peer are not used again") {
  loopback Loopback([](http_exchange &Exchange) {
    Exchange.respond({200, {}}, "ok");
  });
  for (int Round = 0; Round < 4; ++Round)
    Loopback.call({"GET", "/", {}}, "");
  const std::size_t Opened = Loopback.Client.counts().Opened;
  Loopback.Client.discardIdle(Loopback.Server.address());
  Loopback.call({"GET", "/", {}}, "");
  REQUIRE(Loopback.Client.counts().Opened == Opened + 1);
}

TEST_CASE("the call after one without a response waits on another connection "
          "that went silent") {
  std::atomic<bool> Silent{false};
  loopback Loopback([&Silent](http_exchange &Exchange) {
    while (Silent.load() && !Exchange.callerGone())
      sleepFor(milliseconds(1));
    Exchange.respond({200, {}}, "ok");
  });
  Loopback.Runtime.runBlocking([&] {
    fillPool(Loopback);
    Silent = true;
    http_call_limits Limits;
    Limits.FirstByte = milliseconds(30);
    CHECK(codeOf([&] { get(Loopback, Limits); }) ==
          result_code::UpstreamTimeout);
    Silent = false;
    const std::size_t Reused = Loopback.Client.counts().Reused;
    get(Loopback, Limits);
    CHECK(Loopback.Client.counts().Reused == Reused);
  });
}

TEST_CASE("a call that must be quick waits on a connection that was idle for "
          "long") {
  loopback Loopback([](http_exchange &Exchange) {
    Exchange.respond({200, {}}, "ok");
  });
  Loopback.Runtime.runBlocking([&] {
    fillPool(Loopback);
    sleepFor(milliseconds(20));
    http_call_limits Limits;
    Limits.MaxIdle = milliseconds(10);
    get(Loopback, Limits);
    CHECK(Loopback.Client.counts().Reused == 0);
  });
}

TEST_CASE("a draining server finishes what runs and closes afterwards") {
  std::atomic<bool> Entered{false};
  std::atomic<bool> Release{false};
  loopback Loopback([&](http_exchange &Exchange) {
    Entered = true;
    while (!Release.load())
      sleepFor(milliseconds(1));
    Exchange.respond({200, {}}, "whole");
  });
  Loopback.Runtime.spawn([&] {
    while (!Entered.load())
      sleepFor(milliseconds(1));
    Loopback.Server.refuseNew();
    Release = true;
  });
  REQUIRE(Loopback.call({"GET", "/", {}}, "").Body == "whole");
  REQUIRE(codeOf([&] {
            Loopback.call({"GET", "/", {}}, "");
          }) == result_code::UpstreamUnreachable);
}

TEST_CASE("connections beyond the limit are closed and the others served") {
  http_server_limits Limits;
  Limits.Connections = 1;
  loopback Loopback(
      [](http_exchange &Exchange) {
        Exchange.respond({200, {}}, "ok");
      },
      Limits);
  Loopback.Runtime.runBlocking([&] {
    const std::unique_ptr<http_call> First =
        Loopback.Client.start(Loopback.Server.address(), {"GET", "/", {}}, "",
                              {}, connection_use::FreshOnce);
    CHECK(codeOf([&] {
            Loopback.Client.start(Loopback.Server.address(), {"GET", "/", {}},
                                  "", {}, connection_use::FreshOnce);
          }) == result_code::UpstreamLost);
    CHECK(First->readAll(100) == "ok");
  });
}

TEST_CASE("query parameters are decoded") {
  REQUIRE(pathOf("/a/b?c=d") == "/a/b");
  REQUIRE(queryParameter("/a?x=1&watch=tr%75e+", "watch") == "true ");
  REQUIRE(queryParameter("/a?x", "x").empty());
}

namespace {

/// Sends raw bytes to a server and returns all that it answers.
std::string exchangeRaw(const loopback &Loopback, const std::string &Bytes,
                        caller_end End = caller_end::EndsSending) {
  return exchangeBytes(Loopback.Server.address(), Bytes, End);
}

std::size_t answersIn(const std::string &Text) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find("HTTP/1.1 "); At != std::string::npos;
       At = Text.find("HTTP/1.1 ", At + 1))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("a transfer coding other than chunked hides no second request") {
  std::atomic<int> Handled{0};
  loopback Loopback([&](http_exchange &Exchange) {
    ++Handled;
    Exchange.respond({200, {}}, "");
  });
  for (const std::string Coding : {"xchunked", "chunked, identity", "gzip"}) {
    const std::string Answer = exchangeRaw(
        Loopback,
        "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + Coding +
            "\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(Answer.starts_with("HTTP/1.1 400"));
    REQUIRE(answersIn(Answer) == 1);
  }
  REQUIRE(Handled.load() == 0);
}

TEST_CASE("a request needs one Host field") {
  loopback Loopback([](http_exchange &Exchange) {
    Exchange.respond({200, {}}, "");
  });
  REQUIRE(exchangeRaw(Loopback, "GET /a HTTP/1.1\r\n\r\n")
              .starts_with("HTTP/1.1 400"));
  REQUIRE(exchangeRaw(Loopback, "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")
              .starts_with("HTTP/1.1 400"));
}

TEST_CASE("a target in absolute form gives its host and path") {
  loopback Loopback([](http_exchange &Exchange) {
    const http_request_head &Head = Exchange.request();
    Exchange.respond({200, {}}, std::string(findField(Head.Fields, "Host")) +
                                    " " + Head.Target);
  });
  const std::string Answer =
      exchangeRaw(Loopback, "GET http://b.example:80/x/y?z=1 HTTP/1.1\r\nHost: "
                            "a.example\r\n\r\n");
  REQUIRE(Answer.find("b.example:80 /x/y?z=1") != std::string::npos);
}

TEST_CASE("a field that Connection names is not passed on") {
  loopback Loopback([](http_exchange &Exchange) {
    Exchange.respond({200, {}},
                     findField(Exchange.request().Fields, "X-Hop").empty()
                         ? "left out"
                         : "passed");
  });
  const std::string Answer =
      exchangeRaw(Loopback, "GET / HTTP/1.1\r\nHost: a\r\nConnection: "
                            "close, X-Hop\r\nX-Hop: 1\r\n\r\n");
  REQUIRE(Answer.find("left out") != std::string::npos);
}

TEST_CASE("a late answer to an earlier request meets nobody") {
  // The server answers each request with the answer to the one before first.
  std::string Before;
  loopback Loopback([&](http_exchange &Exchange) {
    const std::string Id(findField(Exchange.request().Fields, "X-Id"));
    Exchange.respond({200, {{"X-Id", Before.empty() ? Id : Before}}}, "body");
    Before = Id;
  });
  http_call_limits Limits;
  Limits.FirstByte = milliseconds(300);
  Limits.IsOwnAnswer = [](const http_response_head &Head) {
    return findField(Head.Fields, "X-Id") == "2";
  };
  REQUIRE(Loopback.call({"GET", "/", {{"X-Id", "1"}}}, "").Head.Status == 200);
  REQUIRE(codeOf([&] {
            Loopback.call({"GET", "/", {{"X-Id", "2"}}}, "",
                          connection_use::PooledOnce, Limits);
          }) == result_code::UpstreamTimeout);
}

TEST_CASE("a call ends at its own time whatever its steps may take") {
  loopback Loopback([](http_exchange &Exchange) {
    sleepFor(milliseconds(400));
    Exchange.respond({200, {}}, "");
  });
  http_call_limits Limits;
  Limits.Until = boot_clock::now() + milliseconds(100);
  REQUIRE(
      codeOf([&] {
        Loopback.call({"GET", "/", {}}, "", connection_use::PooledOnce, Limits);
      }) == result_code::UpstreamTimeout);
}

TEST_CASE(
    "a late copy of an answer is taken for that to the repeated request") {
  // The server sends each answer of a connection again before the next one.
  std::map<std::uint64_t, std::string> Before;
  loopback Loopback([&](http_exchange &Exchange) {
    std::string &Last = Before[Exchange.connectionNumber()];
    const http_response_head Head{200, {{"X-Id", "1"}}};
    if (!Last.empty())
      Exchange.respond(Head, Last);
    Last = std::to_string(Before.size());
    Exchange.respond(Head, Last);
  });
  http_call_limits Limits;
  Limits.IsOwnAnswer = [](const http_response_head &Head) {
    return findField(Head.Fields, "X-Id") == "1";
  };
  Loopback.Runtime.runBlocking([&] {
    const auto Send = [&] {
      const std::unique_ptr<http_call> Call =
          Loopback.Client.start(Loopback.Server.address(), {"GET", "/", {}}, "",
                                Limits, connection_use::PooledOnce);
      Limits.AvoidedConnections.push_back(Call->connectionNumber());
      return Call->readAll(100);
    };
    CHECK(Send() == "1");
    CHECK(Send() == "2");
    CHECK(Send() == "3");
  });
}

TEST_CASE("a request after a stream that began before the drain gets no "
          "answer") {
  http_server *Server = nullptr;
  loopback Loopback([&](http_exchange &Exchange) {
    if (Exchange.request().Target != "/stream")
      return Exchange.respond({200, {}}, "after");
    Exchange.startStream({200, {}});
    Server->startDrain();
    Exchange.writeSome("event");
    Exchange.finishStream();
  });
  Server = &Loopback.Server;
  const std::string Answer =
      exchangeRaw(Loopback, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(answersIn(Answer) == 2);
  const std::size_t Second = Answer.rfind("HTTP/1.1 200");
  REQUIRE(Answer.find("Connection: close", Second) != std::string::npos);
  REQUIRE(Answer.ends_with("after"));
}

TEST_CASE("a request that comes after a host refuses new ones is begun") {
  http_server *Server = nullptr;
  std::atomic<int> Begun{0};
  loopback Loopback([&](http_exchange &Exchange) {
    ++Begun;
    Exchange.startStream({200, {}});
    Server->refuseNew();
    Exchange.finishStream();
  });
  Server = &Loopback.Server;
  const std::string Answer =
      exchangeRaw(Loopback, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(Begun.load() == 1);
  REQUIRE(answersIn(Answer) == 2);
  const std::size_t Second = Answer.rfind("HTTP/1.1 503");
  REQUIRE(Second != std::string::npos);
  REQUIRE(Answer.find("Connection: close", Second) != std::string::npos);
  REQUIRE(Answer.find("\"not run\"", Second) != std::string::npos);
}

// A body that no longer arrives, or a response that an upstream does not begin,
// would keep an exchange until the server cuts it.
TEST_CASE("a server that stops cuts exchanges to which it has sent nothing") {
  http_server *Server = nullptr;
  std::atomic<result_code> Cause{result_code::Internal};
  loopback Loopback([&](http_exchange &Exchange) {
    const std::shared_ptr<cancellation> Ended =
        std::make_shared<cancellation>();
    if (Exchange.request().Target == "/stream")
      Exchange.startStream({200, {}});
    Cause = codeOf([&] {
      if (Exchange.request().Method == "POST")
        Exchange.readBody(100);
      Exchange.watchCaller(Ended);
      // A stream is not ended, and finishes by itself.
      const int Steps = Exchange.started() ? 300 : 5'000;
      for (int Step = 0; Step < Steps && !Ended->reason(); ++Step)
        sleepFor(milliseconds(1));
      throw spindle_error(Ended->reason().value_or(result_code::Internal), "");
    });
    if (Exchange.started())
      return Exchange.finishStream();
    throw spindle_error(Cause, "");
  });
  Server = &Loopback.Server;
  const auto *const Request =
      GENERATE("POST / HTTP/1.1\r\nHost: h\r\nConnection: "
               "close\r\nContent-Length: 9\r\n\r\nabc",
               "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
               "GET /stream HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  Loopback.Runtime.spawn([&] {
    while (Server->runningExchanges() == 0)
      sleepFor(milliseconds(1));
    sleepFor(milliseconds(50));
    Server->refuseNew();
    Server->endUnanswered();
  });
  const std::string Answer =
      exchangeRaw(Loopback, Request, caller_end::StaysOpen);
  REQUIRE(answersIn(Answer) == 1);
  REQUIRE(Answer.find("Connection: close") != std::string::npos);
  const bool IsStream = Answer.starts_with("HTTP/1.1 200");
  REQUIRE(IsStream == (Cause.load() == result_code::Internal));
  REQUIRE(IsStream != Answer.starts_with("HTTP/1.1 503"));
}

// The head of a stream may arrive in the moment in which its exchange is ended.
// A stream that begins then would be cut at once, without an answer.
TEST_CASE("a stream begins after its exchange was ended and is cut") {
  http_server *Server = nullptr;
  loopback Loopback([&Server](http_exchange &Exchange) {
    Server->endUnanswered();
    Exchange.startStream({200, {}});
    Exchange.abort();
  });
  Server = &Loopback.Server;
  const std::string Answer =
      exchangeRaw(Loopback, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(answersIn(Answer) == 1);
  REQUIRE(Answer.starts_with("HTTP/1.1 503"));
}
