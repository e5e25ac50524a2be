// Guards against answers of an upstream in trouble that are none of the
// protocol, or end early, and reach a caller as the upstream's answer. The
// callers and the upstreams here send and read bytes, not messages.

#include "EndToEnd/fleet.h"
#include "EndToEnd/forwarding_fleet.h"
#include "Support/raw_server.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

const std::string LastChunk = "0\r\n\r\n";
const std::string BodyOfUpstream = "data: from the upstream\n\n";
const std::string SealOfUpstream = "seal-of-the-upstream";
const std::string WholeBody =
    "Content-Length: " + std::to_string(BodyOfUpstream.size()) + "\r\n\r\n" +
    BodyOfUpstream;

/// The fields by which a host takes an answer for that to \p Request.
std::string signedFields(const http_request_head &Request) {
  return "X-Parsleyspindle-Request-Id: " +
         std::string(findField(Request.Fields, "X-Parsleyspindle-Request-Id")) +
         "\r\nX-Parsleyspindle-Server-Seal: " + SealOfUpstream + "\r\n";
}

/// An answer that is sent in two parts around the signed fields.
raw_answerer around(const std::string &Before, const std::string &After,
                    connection_end End = connection_end::StaysOpen,
                    bool BeforeBody = false) {
  return [=](const http_request_head &Request) {
    return raw_answer{Before + signedFields(Request) + After, End, BeforeBody};
  };
}

forwarding_fleet_options withServicesAt(const raw_server &First,
                                        const raw_server &Second) {
  forwarding_fleet_options Options;
  Options.ServiceAddresses = {First.address(), Second.address()};
  return Options;
}

/// A fleet whose plain services send \p Answerer's bytes.
struct broken_services {
  explicit broken_services(const raw_answerer &Answerer)
      : First(Answerer), Second(Answerer),
        Fleet(withServicesAt(First, Second)) {}

  std::size_t requests() const { return First.requests() + Second.requests(); }

  raw_server First;
  raw_server Second;
  forwarding_fleet Fleet;
};

/// A caller's request, each with an id of its own.
std::string requestText(const std::string &Method, const std::string &Path,
                        const std::string &Body,
                        const std::string &Connection = "close") {
  static int Number = 0;
  return Method + " " + Path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Parsleyspindle-Request-Id: r" +
         std::to_string(++Number) +
         "\r\nX-Parsleyspindle-Deadline-Ms: 4000\r\n"
         "X-Parsleyspindle-Key: k1\r\nConnection: " +
         Connection + "\r\nContent-Length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

const std::vector<std::string> ServicePaths = {"/order/x", "/check/x",
                                               "/events/x"};

/// Sends a request of each kind of route and requires that each is answered
/// with a gateway's error, and that nothing of the upstream's answer reaches
/// the caller.
void requireBadGateway(broken_services &Broken) {
  for (const std::string &Path : ServicePaths) {
    const std::size_t Before = Broken.requests();
    const std::string Answer = exchangeBytes(Broken.Fleet.callersOf(0),
                                             requestText("POST", Path, "b"));
    CAPTURE(Path, Answer);
    REQUIRE(Answer.starts_with("HTTP/1.1 502 "));
    REQUIRE(Answer.find(SealOfUpstream) == std::string::npos);
    REQUIRE(Answer.find(BodyOfUpstream) == std::string::npos);
    // Only what may run more than once is sent again.
    REQUIRE(Broken.requests() - Before == (Path == "/check/x" ? 2 : 1));
  }
}

/// Requires that the answer to a request to \p Path is a gateway's error, or a
/// stream that was cut after it had begun.
void requireCutOrBadGateway(const std::string &Path,
                            const std::string &Answer) {
  CAPTURE(Path, Answer.substr(0, 500));
  const bool IsCutStream = Path == "/events/x" &&
                           Answer.starts_with("HTTP/1.1 200 ") &&
                           !Answer.ends_with(LastChunk);
  REQUIRE((IsCutStream || Answer.starts_with("HTTP/1.1 502 ")));
}

/// Sends a request twice on one connection and requires that both answers are
/// heads alone, so that the second is found where the first one ends.
void requireNoBodies(const endpoint &Host, const std::string &Method,
                     const std::string &Path, const std::string &StatusLine) {
  const std::string Answers =
      exchangeBytes(Host, requestText(Method, Path, "", "keep-alive") +
                              requestText(Method, Path, ""));
  CAPTURE(Method, Path, Answers);
  static constexpr std::string_view HeadEnd = "\r\n\r\n";
  const std::size_t FirstEnd = Answers.find(HeadEnd);
  REQUIRE(FirstEnd != std::string::npos);
  const std::string First = Answers.substr(0, FirstEnd + HeadEnd.size());
  const std::string Second = Answers.substr(First.size());
  for (const std::string &Answer : {First, Second}) {
    REQUIRE(Answer.starts_with(StatusLine));
    REQUIRE(Answer.find(SealOfUpstream) != std::string::npos);
    REQUIRE(Answer.find("Transfer-Encoding") == std::string::npos);
    REQUIRE(Answer.find("Content-Length: 0") == std::string::npos);
  }
  REQUIRE(Second.find(HeadEnd) == Second.size() - HeadEnd.size());
}

/// Requires that the answer is an error of the host's own, which doesn't state
/// that the request has not run.
void requireOwnError(const std::string &Answer) {
  CAPTURE(Answer);
  REQUIRE(Answer.starts_with("HTTP/1.1 50"));
  REQUIRE(Answer.find("\"state\":\"maybe run\"") != std::string::npos);
  REQUIRE(Answer.find(BodyOfUpstream) == std::string::npos);
}

} // namespace

TEST_CASE("forwarding: an answer whose status is none of the protocol reaches "
          "no caller") {
  const std::string Status = GENERATE("000", "999");
  broken_services Broken(
      around("HTTP/1.1 " + Status + " Trouble\r\n", WholeBody));
  requireBadGateway(Broken);
}

TEST_CASE("forwarding: an answer whose field name holds a blank or a control "
          "byte reaches no caller") {
  const std::string Line = GENERATE("X A: b\r\n", "X\x01: b\r\n");
  broken_services Broken(around("HTTP/1.1 200 OK\r\n", Line + WholeBody));
  requireBadGateway(Broken);
}

TEST_CASE("forwarding: an early answer that is reset beside the upload does "
          "not look complete") {
  broken_services Broken(around("HTTP/1.1 200 OK\r\n", "\r\nbody of",
                                connection_end::Resets, true));
  // The smaller one is written whole before the reset.
  const std::size_t UploadBytes = GENERATE(20'000, 900'000);
  const std::string Upload(UploadBytes, 'u');
  for (const std::string &Path : ServicePaths) {
    const std::string Answer = exchangeBytes(Broken.Fleet.callersOf(0),
                                             requestText("POST", Path, Upload));
    requireCutOrBadGateway(Path, Answer);
  }
}

TEST_CASE("forwarding: an answer that ends in a field that is none does not "
          "look complete") {
  broken_services Broken(around("HTTP/1.1 200 OK\r\n",
                                "Transfer-Encoding: chunked\r\n\r\n"
                                "7\r\nbody of\r\n0\r\nX A: b\r\n\r\n"));
  for (const std::string &Path : ServicePaths)
    requireCutOrBadGateway(Path, exchangeBytes(Broken.Fleet.callersOf(0),
                                               requestText("POST", Path, "b")));
}

TEST_CASE("forwarding: an answer with a folded field reaches no caller") {
  broken_services Broken(
      around("HTTP/1.1 200 OK\r\n", " X-A: b\r\n" + WholeBody));
  requireBadGateway(Broken);
}

TEST_CASE("forwarding: an answer that switches protocols unasked reaches no "
          "caller") {
  broken_services Broken(around("HTTP/1.1 101 Switching Protocols\r\n"
                                "Connection: Upgrade\r\nUpgrade: other\r\n",
                                "\r\n"));
  requireBadGateway(Broken);
}

TEST_CASE("forwarding: an interim answer is taken for the answer") {
  broken_services Broken(around("HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
                                "HTTP/1.1 199 Trouble\r\n\r\n"
                                "HTTP/1.1 200 OK\r\n",
                                WholeBody));
  for (const std::string &Path : ServicePaths) {
    const std::string Answer = exchangeBytes(Broken.Fleet.callersOf(0),
                                             requestText("POST", Path, "b"));
    CAPTURE(Path, Answer);
    REQUIRE(Answer.starts_with("HTTP/1.1 200 "));
    REQUIRE(Answer.find(SealOfUpstream) != std::string::npos);
    REQUIRE(Answer.find(BodyOfUpstream) != std::string::npos);
    REQUIRE(Answer.find("Link") == std::string::npos);
  }
}

TEST_CASE("forwarding: an answer that has no body is sent with one") {
  const std::string Status = GENERATE("204 No Content", "304 Not Modified");
  broken_services Broken(around("HTTP/1.1 " + Status + "\r\n", "\r\n"));
  for (const std::string &Path : ServicePaths)
    requireNoBodies(Broken.Fleet.callersOf(0), "POST", Path,
                    "HTTP/1.1 " + Status);
}

TEST_CASE("forwarding: an answer to HEAD is sent with a body") {
  broken_services Broken(
      around("HTTP/1.1 200 OK\r\n", "Content-Length: 9\r\n\r\n"));
  for (const std::string &Path : ServicePaths)
    requireNoBodies(Broken.Fleet.callersOf(0), "HEAD", Path, "HTTP/1.1 200 OK");
}

TEST_CASE("forwarding: an answer in a transfer coding other than chunked "
          "reaches a caller undecoded") {
  const std::string Coding = GENERATE("gzip", "gzip, chunked", "chunked, gzip");
  broken_services Broken(
      around("HTTP/1.1 200 OK\r\n",
             "Transfer-Encoding: " + Coding + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
             connection_end::EndsSending));
  requireBadGateway(Broken);
}

TEST_CASE("a service's answer that is none of the protocol reaches a caller, "
          "or is replayed for an order") {
  raw_server Server([](const http_request_head &) {
    return raw_answer{"HTTP/1.1 000 Trouble\r\n" + WholeBody};
  });
  fleet Fleet({1, 1, 1});
  Fleet.applyIntent([&](nlohmann::json &Intent) {
    for (nlohmann::json &Upstream : Intent["upstreams"])
      if (Upstream["kind"] == "service")
        Upstream["address"] = toText(Server.address());
  });
  const std::string End = "Host: a\r\nConnection: close\r\nAuthorization: "
                          "Bearer " +
                          std::string(fleet::KeyOfAalst) +
                          "\r\nContent-Length: 0\r\n\r\n";
  const auto Send = [&](const std::string &Line) {
    return exchangeBytes(Fleet.hostAddress(0), Line + End);
  };
  const std::string Check = Send("GET /stock/7 HTTP/1.1\r\n");
  requireOwnError(Check);
  const std::size_t Before = Server.requests();
  const std::string Order =
      "POST /orders/lids HTTP/1.1\r\nIdempotency-Key: k\r\n";
  const std::string First = Send(Order);
  const std::string Repeat = Send(Order);
  requireOwnError(First);
  CAPTURE(Repeat);
  REQUIRE(Repeat.find("OrderOutcomeUnknown") != std::string::npos);
  REQUIRE(Server.requests() == Before + 1);
}

TEST_CASE("an engine's answer that is none of the protocol reaches a caller") {
  const bool IsStream = GENERATE(false, true);
  raw_server Engine([](const http_request_head &Request) {
    const std::string_view Path = pathOf(Request.Target);
    std::string Status = "200 OK";
    std::string Body = "{}";
    if (Path == "/load")
      Body = R"({"incarnation": 1, "loaded": ["pickler@1"], "slots": 8,
                 "batch_size": 16})";
    else if (Path == "/cache_events")
      Body = R"({"events": []})";
    else if (Path.ends_with("/completions"))
      Status = "042 Trouble";
    return raw_answer{"HTTP/1.1 " + Status + "\r\nContent-Length: " +
                      std::to_string(Body.size()) + "\r\n\r\n" + Body};
  });
  fleet Fleet({1, 1, 0});
  Fleet.applyIntent([&](nlohmann::json &Intent) {
    Intent["upstreams"][0]["address"] = toText(Engine.address());
  });
  const nlohmann::json Body = {{"model", "pickler@1"},
                               {"prompt", "p"},
                               {"max_tokens", 5},
                               {"stream", IsStream}};
  const std::string Answer = exchangeBytes(
      Fleet.hostAddress(0),
      "POST /v1/completions HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Content-Type: application/json\r\nAuthorization: Bearer " +
          std::string(fleet::KeyOfAalst) + "\r\nContent-Length: " +
          std::to_string(Body.dump().size()) + "\r\n\r\n" + Body.dump());
  requireOwnError(Answer);
}
