#include "LibCore/result_code.h"
#include "LibEngine/answer_verifier.h"
#include "LibEngine/http_engine.h"
#include "Support/run_in_fiber.h"
#include "engine_stand_in/answer_text.h"
#include "engine_stand_in/engine_server.h"

#include <array>
#include <atomic>
#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace spindle;
using nlohmann::json;

static engine_server_settings fastSettings() {
  engine_server_settings Settings;
  Settings.Model.StepTime = milliseconds(1);
  Settings.Model.StepTimePerRequest = nanoseconds(0);
  Settings.Model.PrefillTimePerToken = nanoseconds(0);
  Settings.LoadTime = milliseconds(1);
  return Settings;
}

namespace {

/// The engine stand-in and the hosts' port to it over loopback.
struct loopback_engine {
  explicit loopback_engine(
      const engine_server_settings &Settings = fastSettings())
      : Stand(Runtime, Settings),
        Server(
            Runtime, {"127.0.0.1", 0}, http_server_limits{},
            [this](http_exchange &Exchange) { Stand.handle(Exchange); },
            writeErrorResponse),
        Engine(makeHttpEngine(Client)) {}

  /// Runs \p Work in a fiber and returns its result code; 0 for success.
  result_code run(const std::function<void()> &Work) {
    return runInFiber(Runtime, Work);
  }

  result_code load(std::string_view Adapter, std::uint64_t Fence) {
    return run(
        [&] { Engine.Load(Server.address(), Adapter, Fence, seconds(5)); });
  }

  result_code unload(std::string_view Adapter, std::uint64_t Fence) {
    return run(
        [&] { Engine.Unload(Server.address(), Adapter, Fence, seconds(5)); });
  }

  engine_report report() {
    engine_report Report;
    REQUIRE(run([&] {
              Report = Engine.Report(Server.address(), seconds(5));
            }) == result_code{});
    return Report;
  }

  json control(const std::string &Method, const std::string &Target,
               const std::string &Body = "") {
    http_response Response;
    REQUIRE(run([&] {
              Response =
                  Client.call(Server.address(), {Method, Target, {}}, Body, {},
                              connection_use::FreshOnce, 1 << 20);
            }) == result_code{});
    REQUIRE(Response.Head.Status == 200);
    return json::parse(Response.Body);
  }

  void fault(const json &Switches) {
    control("PUT", "/control", Switches.dump());
  }

  /// Requests a stream of \p Tokens tokens, as a host does, and checks it.
  result_code stream(const std::string &Prompt, std::uint32_t Tokens,
                     connection_use Use = connection_use::PooledIdempotent) {
    return run([&] { readStream(Prompt, Tokens, Use); });
  }

  void readStream(const std::string &Prompt, std::uint32_t Tokens,
                  connection_use Use) {
    const json Body{{"model", "a@1"},
                    {"prompt", Prompt},
                    {"max_tokens", Tokens},
                    {"stream", true}};
    http_call_limits Limits;
    Limits.FirstByte = milliseconds(200);
    Limits.BetweenBytes = milliseconds(200);
    const http_request_head Request{
        "POST", "/v1/completions", {{"X-Request-Id", "r-77"}}};
    const std::unique_ptr<http_call> Call =
        Client.start(Server.address(), Request, Body.dump(), Limits, Use);
    if (Call->head().Status == 404)
      throw spindle_error(result_code::AdapterNotLoaded, "not loaded");
    answer_verifier Verifier("a@1", "r-77");
    event_stream_reader Reader;
    stream_event Event;
    Text.clear();
    std::array<char, 512> Part{};
    while (const std::size_t Size = Call->readSome(Part)) {
      Reader.feed({Part.data(), Size});
      while (Reader.next(Event)) {
        Verifier.accept(Event);
        if (!Event.Done)
          Text += json::parse(Event.Data)["choices"][0]["text"];
      }
    }
    Verifier.finish();
  }

  fiber_runtime Runtime{2};
  engine_server Stand;
  http_client Client;
  http_server Server;
  engine_port Engine;
  /// The text of the stream read last.
  std::string Text;
};

} // namespace

TEST_CASE("an adapter serves after its load and until its unload") {
  loopback_engine E;
  CHECK(E.stream("p", 3) == result_code::AdapterNotLoaded);
  CHECK(E.load("a@1", 5) == result_code{});
  CHECK(E.report().Loaded == std::vector<std::string>{"a@1"});
  CHECK(E.report().Fence == 5);
  CHECK(E.stream("p", 3) == result_code{});
  CHECK(E.Text == answerText("a@1", "p", 3));
  CHECK(E.unload("a@1", 4) == result_code::AdapterLoadFailed);
  CHECK(E.unload("a@1", 5) == result_code{});
  CHECK(E.stream("p", 3) == result_code::AdapterNotLoaded);
  E.fault({{"fail_loads", 1}});
  CHECK(E.load("a@1", 5) == result_code::AdapterLoadFailed);
  CHECK(E.load("a@1", 5) == result_code{});
  const json Record = E.control("GET", "/control/record");
  CHECK(Record.at("loads") == 2);
  CHECK(Record.at("old_fences") == 1);
  CHECK(Record.at("evicted_in_use").empty());
  CHECK(Record.at("credentials").empty());
}

TEST_CASE("an answer that isn't whole or one's own is never accepted") {
  loopback_engine E;
  REQUIRE(E.load("a@1", 1) == result_code{});
  E.fault({{"truncate", 1}});
  CHECK(E.stream("p", 9) == result_code::AnswerCutShort);
  E.fault({{"truncate", 1}, {"truncate_cleanly", true}});
  CHECK(E.stream("p", 9) == result_code::AnswerCutShort);
  E.fault({{"wrong_adapter", 1}});
  CHECK(E.stream("p", 9) == result_code::WrongAdapterAnswered);
  E.fault({{"duplicate", 1}});
  CHECK(E.stream("p", 9) == result_code::AnswerCutShort);
  E.fault({{"crossed", 1}});
  CHECK(E.stream("p", 9) == result_code::WrongAdapterAnswered);
  CHECK(E.stream("p", 9) == result_code{});
}

TEST_CASE("a crash on the mark empties the engine and refuses for a while") {
  loopback_engine E;
  REQUIRE(E.load("a@1", 1) == result_code{});
  const std::uint64_t Before = E.report().Incarnation;
  E.fault({{"crash_ms", 50}});
  CHECK(E.stream("crash-the-engine", 9) == result_code::UpstreamLost);
  CHECK(E.stream("p", 9) == result_code::UpstreamLost);
  sleepFor(milliseconds(60));
  CHECK(E.report().Incarnation == Before + 1);
  CHECK(E.report().Loaded.empty());
}

TEST_CASE("connections open before the silence hang and new ones work") {
  loopback_engine E;
  REQUIRE(E.load("a@1", 1) == result_code{});
  // One pooled connection for each of the runtime's threads.
  CHECK(E.stream("p", 3) == result_code{});
  CHECK(E.stream("p", 3) == result_code{});
  E.fault({{"silent", true}});
  CHECK(E.stream("p", 3) == result_code::UpstreamTimeout);
  E.Client.discardIdle(E.Server.address());
  CHECK(E.stream("p", 3, connection_use::FreshOnce) == result_code{});
  E.fault({{"silent_new", true}});
  CHECK(E.stream("p", 3, connection_use::FreshOnce) ==
        result_code::UpstreamTimeout);
  E.fault({{"silent", false}});
  CHECK(E.stream("p", 3) == result_code{});
}

TEST_CASE("requests of one engine share its batch steps") {
  engine_server_settings Settings = fastSettings();
  Settings.Model.StepTime = milliseconds(5);
  loopback_engine E(Settings);
  REQUIRE(E.load("a@1", 1) == result_code{});
  std::atomic<int> Whole{0};
  static constexpr int CallerCount = 8;
  std::vector<std::thread> Callers;
  Callers.reserve(CallerCount);
  for (int Caller = 0; Caller < CallerCount; ++Caller)
    Callers.emplace_back([&E, &Whole] {
      E.Runtime.runBlocking([&E, &Whole] {
        const json Body{{"model", "a@1"}, {"prompt", "p"}, {"max_tokens", 20}};
        const http_response Response = E.Client.call(
            E.Server.address(), {"POST", "/v1/completions", {}}, Body.dump(),
            {}, connection_use::PooledIdempotent, 1 << 20);
        answer_verifier Verifier("a@1");
        Verifier.acceptWhole(Response.Body);
        ++Whole;
      });
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Whole == CallerCount);
  const json Record = E.control("GET", "/control/record");
  CHECK(Record.at("tokens") == 160);
  CHECK(Record.at("tokens_per_step").get<double>() > 2);
}
