#include "LibCore/result_code.h"
#include "LibPlatform/http_platform.h"
#include "LibRuntime/completion.h"
#include "Support/run_in_fiber.h"
#include "platform_stand_in/platform_server.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace spindle;

namespace {

/// The platform stand-in and a port to it over loopback.
struct loopback_platform {
  explicit loopback_platform(platform_server_settings Settings = {},
                             std::vector<endpoint> Before = {})
      : Stand(Settings),
        Server(
            Runtime, {"127.0.0.1", 0}, http_server_limits{},
            [this](http_exchange &Exchange) { Stand.handle(Exchange); },
            writeErrorResponse) {
    http_platform_settings Port{std::move(Before)};
    Port.Servers.push_back(Server.address());
    Port.CallTimeout = milliseconds(300);
    Port.WatchSilence = milliseconds(150);
    Port.UserAgent = "spindle/gent-a/host-1";
    Platform = makeHttpPlatform(Client, std::move(Port));
  }

  /// Runs \p Work in a fiber and returns its result code; 0 for success.
  result_code run(const std::function<void()> &Work) {
    return runInFiber(Runtime, Work);
  }

  /// Sends to the stand-in's control endpoints.
  nlohmann::json control(const std::string &Method, const std::string &Target,
                         const nlohmann::json &Body = {}) {
    http_response Response;
    const result_code Code = run([&] {
      Response = Client.call(Server.address(), {Method, Target, {}},
                             Body.is_null() ? "" : Body.dump(), {},
                             connection_use::FreshOnce, 1 << 20);
    });
    REQUIRE(Code == result_code{});
    REQUIRE(Response.Head.Status == 200);
    return nlohmann::json::parse(Response.Body);
  }

  void fault(const nlohmann::json &Switches) {
    control("PUT", "/control", Switches);
  }

  std::string body(std::string_view Name) {
    std::optional<platform_object> Object;
    REQUIRE(run([&] { Object = Platform.Get("orders", Name); }) ==
            result_code{});
    return Object ? Object->Body : "none";
  }

  fiber_runtime Runtime{2};
  platform_server Stand;
  http_client Client;
  http_server Server;
  platform_port Platform;
};

constexpr milliseconds LongWatch{5'000};

} // namespace

TEST_CASE("a write is made once and only on the version that was read") {
  loopback_platform P;
  std::uint64_t First = 0;
  REQUIRE(P.run([&] {
    First = P.Platform.Create("orders", "a/b c%", R"({"z":1,"a":[2]})");
  }) == result_code{});
  CHECK(P.body("a/b c%") == R"({"a":[2],"z":1})");
  CHECK(P.body("a") == "none");
  CHECK(P.run([&] { P.Platform.Create("orders", "a/b c%", "{}"); }) ==
        result_code::PlatformConflict);
  std::uint64_t Second = 0;
  REQUIRE(P.run([&] {
    Second = P.Platform.Update("orders", "a/b c%", First, "{}");
  }) == result_code{});
  CHECK(Second > First);
  CHECK(P.run([&] { P.Platform.Update("orders", "a/b c%", First, "{}"); }) ==
        result_code::PlatformConflict);
  CHECK(P.run([&] { P.Platform.Update("orders", "other", First, "{}"); }) ==
        result_code::PlatformNotFound);
  CHECK(P.run([&] { P.Platform.Remove("orders", "a/b c%", First); }) ==
        result_code::PlatformConflict);
  CHECK(P.run([&] { P.Platform.Remove("orders", "a/b c%", Second); }) ==
        result_code{});
  CHECK(P.body("a/b c%") == "none");
}

TEST_CASE("a value over the limit is refused before it is sent") {
  loopback_platform P;
  const std::string Large(PlatformValueLimitBytes + 1, ' ');
  CHECK(P.run([&] { P.Platform.Create("orders", "a", Large); }) ==
        result_code::PlatformTooLarge);
  CHECK(P.control("GET", "/control/counts").at("writes") == 0);
}

TEST_CASE("a lost answer is unavailable although the write took effect") {
  loopback_platform P;
  P.fault({{"lose_answers", 1}});
  // Every thread has a pooled connection now, on which a call that may be
  // repeated would be sent a second time.
  for (int Read = 0; Read < 4; ++Read)
    REQUIRE(P.body("a") == "none");
  CHECK(P.run([&] { P.Platform.Create("orders", "a", R"({"n":7})"); }) ==
        result_code::PlatformUnavailable);
  CHECK(P.body("a") == R"({"n":7})");
  CHECK(P.control("GET", "/control/counts").at("writes") == 1);
}

TEST_CASE("each fault of the platform is told apart") {
  loopback_platform P;
  const auto Read = [&] { P.Platform.Get("orders", "a"); };
  P.fault({{"down", true}});
  CHECK(P.run(Read) == result_code::PlatformUnavailable);
  P.fault({{"down", false}, {"cut_zones", {"gent-a"}}});
  CHECK(P.run(Read) == result_code::PlatformUnavailable);
  P.fault({{"cut_zones", {"leuven-b"}}, {"slow_ms", 400}});
  CHECK(P.run(Read) == result_code::PlatformUnavailable);
  P.fault({{"slow_ms", 0}, {"reads_per_second", 0.5}});
  CHECK(P.run(Read) == result_code::PlatformRateLimited);
  P.fault({{"reads_per_second", 0.0}});
  CHECK(P.run(Read) == result_code{});
}

TEST_CASE("calls go to the next server after one has failed") {
  endpoint Dead;
  {
    fiber_runtime Runtime(1);
    const http_server Gone(
        Runtime, {"127.0.0.1", 0}, {}, [](http_exchange &) {},
        writeErrorResponse);
    Dead = Gone.address();
  }
  loopback_platform P({}, {Dead});
  CHECK(P.run([&] { P.Platform.Create("orders", "a", "{}"); }) ==
        result_code::PlatformUnavailable);
  CHECK(P.run([&] { P.Platform.Create("orders", "a", "{}"); }) ==
        result_code{});
}

TEST_CASE("a watch delivers each change after its version in order") {
  loopback_platform P;
  platform_list List;
  std::vector<std::string> Seen;
  completion<int> Written;
  const result_code Code = P.run([&] {
    P.Platform.Create("orders", "before", "{}");
    List = P.Platform.List("orders");
    P.Runtime.spawn([&P, Deliver = Written.deliverer()] {
      const std::uint64_t Version = P.Platform.Create("orders", "a", "{}");
      P.Platform.Create("suspects", "other", "{}");
      P.Platform.Update("orders", "a", Version, R"({"n":2})");
      P.Platform.Remove("orders", "a", Version + 2);
      Deliver(0);
    });
    P.Platform.Watch("orders", List.Version, LongWatch,
                     [&Seen](const platform_event &Event) {
                       Seen.push_back(
                           std::to_string(static_cast<int>(Event.Change)) +
                           Event.Object.Name + Event.Object.Body);
                       return Seen.size() < 3;
                     });
  });
  // The watch may end before the last write's answer has come.
  CHECK(Written.waitFor(seconds(10)));
  REQUIRE(Code == result_code{});
  CHECK(List.Objects.size() == 1);
  CHECK(Seen ==
        std::vector<std::string>{"0a{}", R"(1a{"n":2})", R"(2a{"n":2})"});
}

TEST_CASE("a watch from a version no longer kept is too old") {
  platform_server_settings Settings;
  Settings.HistoryEvents = 2;
  loopback_platform P(Settings);
  const auto Watch = [&](std::uint64_t From) {
    return P.run([&] {
      P.Platform.Watch("orders", From, LongWatch,
                       [](const platform_event &) { return false; });
    });
  };
  for (const char *const Name : {"a", "b", "c", "d"})
    P.run([&] { P.Platform.Create("orders", Name, "{}"); });
  CHECK(Watch(1) == result_code::PlatformTooOld);
  CHECK(Watch(2) == result_code{});
}

TEST_CASE("a silent watch is given up and one with bookmarks is kept") {
  platform_server_settings Settings;
  Settings.BookmarkInterval = milliseconds(20);
  loopback_platform P(Settings);
  const auto Watch = [&](milliseconds Limit) {
    return P.run([&] {
      P.Platform.Watch("orders", 0, Limit,
                       [](const platform_event &) { return true; });
    });
  };
  CHECK(Watch(milliseconds(400)) == result_code{});
  P.fault({{"stale_watch", true}});
  CHECK(Watch(LongWatch) == result_code::PlatformUnavailable);
}
