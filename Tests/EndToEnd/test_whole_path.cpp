#include "EndToEnd/fleet.h"

#include "LibCore/result_code.h"

#include <csignal>

#include <catch2/catch.hpp>

using namespace spindle;
using json = nlohmann::json;

namespace {

constexpr int MostWithdrawalMilliseconds = 3'000;

http_fields keyed(const char *Key) {
  return {{"Authorization", std::string("Bearer ") + Key},
          {"Content-Type", "application/json"}};
}

int codeOf(const http_response &Response) {
  return json::parse(Response.Body).at("error").at("code").get<int>();
}

/// What all engines and services have recorded of credentials.
json credentialsSeen(fleet &Fleet) {
  json Seen = json::array();
  for (const std::vector<endpoint> &Group : {Fleet.Engines, Fleet.Services})
    for (const endpoint &Upstream : Group)
      for (const json &Place :
           Fleet.control(Upstream, "/control/record").at("credentials"))
        Seen.push_back(Place);
  return Seen;
}

} // namespace

TEST_CASE("a completion runs on the adapter and version it asked for") {
  fleet Fleet({2, 2, 1});
  Fleet.applyIntent();
  const http_response Exact = Fleet.complete(0, "pickler@1", "a lid of 20 cm");
  REQUIRE(Exact.Head.Status == 200);
  CHECK(json::parse(Exact.Body).at("model") == "pickler@1");
  const http_response Default = Fleet.complete(1, "pickler", "a lid of 20 cm");
  REQUIRE(Default.Head.Status == 200);
  CHECK(json::parse(Default.Body).at("model") == "pickler@2");
  const http_response Stream =
      Fleet.complete(1, "pickler@1", "a lid of 20 cm", true);
  REQUIRE(Stream.Head.Status == 200);
  CHECK(Stream.Body.ends_with("data: [DONE]\n\n"));
  CHECK(codeOf(Fleet.complete(0, "pickler@3", "a")) ==
        static_cast<int>(result_code::UnknownModel));
  CHECK(codeOf(Fleet.complete(0, "private@1", "a")) ==
        static_cast<int>(result_code::UnknownModel));
  for (const endpoint &Engine : Fleet.Engines)
    CHECK(
        Fleet.control(Engine, "/control/record").at("evicted_in_use").empty());
}

TEST_CASE("no upstream sees a caller's key, wherever the caller puts it") {
  fleet Fleet({1, 1, 1});
  Fleet.applyIntent();
  const std::string Key = fleet::KeyOfAalst;
  for (const endpoint &Upstream : {Fleet.Engines[0], Fleet.Services[0]})
    Fleet.setControl(Upstream, {{"secrets", {Key, fleet::KeyOfGhent}}});
  http_fields Fields = keyed(fleet::KeyOfAalst);
  for (const char *Name : {"Cookie", "X-Api-Key", "Api-Key", "X-Custom",
                           "Proxy-Authorization", "X-Auth-Token", "Referer"})
    Fields.push_back({Name, "a=" + Key});
  const std::string Encoded = "%74" + Key.substr(1);
  for (const std::string &Target :
       {std::string("/stock/7"), "/stock/7?api_key=" + Key,
        "/stock/7?a=1&access_token=" + Key, "/stock/7?note=" + Key,
        "/stock/" + Key, "/stock/" + Encoded, "/stock/7?note=" + Encoded,
        "/hours?key=" + Key})
    Fleet.call(0, {"GET", Target, Fields});
  Fleet.call(0, {"POST", "/stock/7", Fields}, "{\"key\": \"" + Key + "\"}");
  Fleet.call(0, {"GET", "/hours", Fields});
  Fleet.complete(0, "pickler@1", "my key is " + Key);
  CHECK(Fleet.complete(0, "pickler@1", "hello").Head.Status == 200);
  CHECK(credentialsSeen(Fleet).dump() == "[]");
  CHECK(Fleet.control(Fleet.Services[0], "/control/record").at("arrived") > 0);
}

TEST_CASE("an order that is sent to two hosts runs once") {
  fleet Fleet({2, 1, 1});
  Fleet.applyIntent();
  http_fields Fields = keyed(fleet::KeyOfAalst);
  Fields.push_back({"Idempotency-Key", "order-1"});
  const http_request_head Order{"POST", "/orders/lids", Fields};
  const http_response First = Fleet.call(0, Order, "{\"lids\": 2}");
  const http_response Second = Fleet.call(1, Order, "{\"lids\": 2}");
  CHECK(First.Head.Status == 200);
  CHECK(Second.Body == First.Body);
  CHECK(findField(Second.Head.Fields, "Idempotency-Replayed") == "true");
  CHECK(codeOf(Fleet.call(1, Order, "{\"lids\": 3}")) ==
        static_cast<int>(result_code::OrderKeyMismatch));
  CHECK(Fleet.control(Fleet.Services[0], "/control/record").at("effects") == 1);
  CHECK(codeOf(Fleet.call(0, {"POST", "/orders/lids", keyed(fleet::KeyOfAalst)},
                          "{}")) ==
        static_cast<int>(result_code::OrderKeyMissing));
}

TEST_CASE("a platform that is down refuses orders and serves the rest") {
  fleet Fleet({1, 1, 1});
  Fleet.applyIntent();
  REQUIRE(Fleet.complete(0, "pickler@1", "before").Head.Status == 200);
  Fleet.setControl(Fleet.Platform, {{"down", true}});
  http_fields Fields = keyed(fleet::KeyOfAalst);
  Fields.push_back({"Idempotency-Key", "order-2"});
  const http_response Refused =
      Fleet.call(0, {"POST", "/orders/lids", Fields}, "{}");
  CHECK(codeOf(Refused) ==
        static_cast<int>(result_code::OrderStoreUnavailable));
  CHECK(Refused.Body.find("\"not run\"") != std::string::npos);
  CHECK(Fleet.control(Fleet.Services[0], "/control/record").at("effects") == 0);
  CHECK(Fleet.complete(0, "pickler@1", "during").Head.Status == 200);
  // The leases lapse after 10 s. Loaded adapters are served on.
  sleepFor(seconds(13));
  CHECK(Fleet.complete(0, "pickler@1", "for long").Head.Status == 200);
  CHECK(Fleet.call(0, {"GET", "/stock/7", keyed(fleet::KeyOfAalst)})
            .Head.Status == 200);
}

TEST_CASE("the withdrawal of a key ends its streams, and no others") {
  fleet Fleet({2, 1, 1});
  Fleet.applyIntent();
  REQUIRE(Fleet.complete(1, "pickler@1", "warm").Head.Status == 200);
  const auto LongStream = [&Fleet](const char *Key) {
    const json Body = {{"model", "pickler@1"},
                       {"prompt", "a long dossier"},
                       {"max_tokens", 100'000},
                       {"stream", true}};
    return Fleet.client().start(Fleet.hostAddress(1),
                                {"POST", "/v1/completions", keyed(Key)},
                                Body.dump(), {}, connection_use::FreshOnce);
  };
  std::unique_ptr<http_call> Withdrawn;
  std::unique_ptr<http_call> Other;
  Fleet.run([&] {
    Withdrawn = LongStream(fleet::KeyOfAalst);
    Other = LongStream(fleet::KeyOfGhent);
  });
  const time_point Start = boot_clock::now();
  const program_result Result =
      Fleet.spindlectl({"--yes", "keys", "withdraw", "k1"});
  INFO(Result.Output);
  CHECK(Result.ExitCode == 0);
  Fleet.run([&] {
    std::string Text;
    char Space[16384];
    CHECK_THROWS_AS(
        [&] {
          while (const std::size_t Count = Withdrawn->readSome(Space))
            Text.append(Space, Count);
        }(),
        spindle_error);
    CHECK(Text.find("KeyWithdrawn") != std::string::npos);
    CHECK(Text.find("[DONE]") == std::string::npos);
    CHECK(boot_clock::now() - Start < milliseconds(MostWithdrawalMilliseconds));
    CHECK(Other->readSome(Space) > 0);
    Withdrawn.reset();
    Other.reset();
  });
  CHECK(codeOf(Fleet.complete(0, "pickler@1", "after")) ==
        static_cast<int>(result_code::KeyUnknown));
}

TEST_CASE("bad input gets a clear refusal and harms nobody") {
  fleet Fleet({1, 1, 1});
  Fleet.applyIntent();
  const http_fields Fields = keyed(fleet::KeyOfAalst);
  const http_response Json =
      Fleet.call(0, {"POST", "/v1/completions", Fields}, "{\"model\": 7}");
  CHECK(Json.Head.Status == 400);
  CHECK(Json.Body.find("model") != std::string::npos);
  CHECK(Fleet.call(0, {"POST", "/v1/completions", Fields}, "{").Head.Status ==
        400);
  CHECK(codeOf(Fleet.call(0, {"GET", "/nowhere", Fields})) ==
        static_cast<int>(result_code::NoRoute));
  CHECK(codeOf(Fleet.call(0, {"GET", "/orders/1", Fields})) ==
        static_cast<int>(result_code::MethodNotAllowed));
  CHECK(codeOf(Fleet.call(0, {"GET", "/stock/1", {}})) ==
        static_cast<int>(result_code::KeyMissing));
  CHECK(codeOf(Fleet.call(0, {"GET", "/stock/1", keyed("wrong-key")})) ==
        static_cast<int>(result_code::KeyUnknown));
  CHECK(codeOf(Fleet.call(0, {"POST", "/stock/1", Fields},
                          std::string(2U << 20U, 'x'))) ==
        static_cast<int>(result_code::BodyTooLarge));
  CHECK(Fleet.call(0, {"GET", "/hours", {}}).Head.Status == 200);
}

TEST_CASE("each host is stopped and started in turn and no request is cut") {
  fleet Fleet({3, 2, 1});
  Fleet.applyIntent();
  for (std::size_t Index = 0; Index < 3; ++Index) {
    REQUIRE(Fleet.complete(Index, "pickler@1", "warm").Head.Status == 200);
    std::vector<std::unique_ptr<http_call>> Streams(4);
    Fleet.run([&] {
      const json Body = {{"model", "pickler@1"},
                         {"prompt", "a dossier"},
                         {"max_tokens", 300},
                         {"stream", true}};
      for (std::unique_ptr<http_call> &Stream : Streams)
        Stream = Fleet.client().start(
            Fleet.hostAddress(Index),
            {"POST", "/v1/completions", keyed(fleet::KeyOfAalst)}, Body.dump(),
            {}, connection_use::FreshOnce);
    });
    Fleet.host(Index).signal(SIGTERM);
    Fleet.run([&] {
      for (std::unique_ptr<http_call> &Stream : Streams)
        CHECK(Stream->readAll(1U << 20U).ends_with("data: [DONE]\n\n"));
      Streams.clear();
    });
    CHECK(Fleet.host(Index).wait() == 0);
    CHECK(Fleet.complete((Index + 1) % 3, "pickler@1", "other").Head.Status ==
          200);
    Fleet.startHost(Index);
    Fleet.waitUntilReady(Index);
  }
}
