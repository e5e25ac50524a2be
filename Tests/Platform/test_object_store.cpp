#include "LibCore/result_code.h"
#include "LibHTTP/http_server.h"
#include "LibPlatform/platform_version.h"
#include "Support/raw_server.h"
#include "platform/object_store.h"

#include <functional>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr milliseconds CallTimeout{2'000};

/// A store that answers every call with the same text.
struct fixed_store {
  explicit fixed_store(std::string Answer, std::string Era = {})
      : Answer(std::move(Answer)), Era(std::move(Era)) {}

  /// The code of the failure of \p Call; none if it succeeds.
  std::optional<result_code>
  codeOf(const std::function<void(const platform_port &)> &Call) {
    std::optional<result_code> Code;
    Runtime.runBlocking([&] {
      try {
        Call(Port);
      } catch (const spindle_error &Error) {
        Code = Error.code();
      }
    });
    return Code;
  }

  platform_list list() {
    platform_list List;
    Runtime.runBlocking([&] { List = Port.List("servers"); });
    return List;
  }
  platform_changes changes() {
    platform_changes Changes;
    Runtime.runBlocking(
        [&] { Changes = Port.Changes("servers", 1, milliseconds(0)); });
    return Changes;
  }

  const std::string Answer;
  /// Stated if it is not empty. Set it between calls.
  std::string Era;
  std::size_t Calls = 0;
  fiber_runtime Runtime{1};
  http_client Client;
  http_server Server{Runtime,
                     {"127.0.0.1", 0},
                     {},
                     [this](http_exchange &Exchange) {
                       ++Calls;
                       http_response_head Head{200, {}};
                       if (!Era.empty())
                         Head.Fields.push_back({"Store-Era", Era});
                       Exchange.respond(Head, Answer);
                     },
                     writeErrorResponse};
  platform_port Port = makeObjectStore(Client, Server.address(), CallTimeout);
};

std::string stored(const std::string &Name, const std::string &Body) {
  return R"({"metadata":{"name":")" + Name + R"(","revision":7},"spec":)" +
         Body + "}";
}

std::string nested(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

std::string listOf(const std::string &Items) {
  return R"({"items":[)" + Items + R"(],"has-more":false,"current-rev":9})";
}

std::string eventsOf(const std::string &Object) {
  return R"({"events":[{"object":)" + Object +
         R"(,"deleted":false}],"current-rev":9})";
}

} // namespace

// Writing a parsed value back to text recursed once a level on a fiber's stack.
TEST_CASE("a stored object nested 20,000 deep ends the process") {
  const std::string Deep =
      stored("deep", R"({"address":)" + nested(20'000) + "}");
  fixed_store Store(listOf(stored("a", R"({"slots":1})") + "," + Deep + "," +
                           stored("z", R"({"slots":2})")));
  const platform_list List = Store.list();
  REQUIRE(List.Version == 9);
  REQUIRE(List.Objects.size() == 3);
  REQUIRE(List.Objects[0].Body == R"({"slots":1})");
  REQUIRE(List.Objects[1].Name == "deep");
  REQUIRE(List.Objects[1].Body.empty());
  REQUIRE(List.Objects[2].Body == R"({"slots":2})");

  fixed_store Watched(eventsOf(Deep));
  const platform_changes Changes = Watched.changes();
  REQUIRE(Changes.Version == 9);
  REQUIRE(Changes.Events.size() == 1);
  REQUIRE(Changes.Events[0].Object.Body.empty());
}

// The whole response was parsed at once, and one text that the parser refuses
// made the store count as unavailable.
TEST_CASE("an object that can't be read hides the list or watch it comes in") {
  struct bad_object {
    std::string Text;
    /// Whether its name and revision can be read all the same.
    bool IsNamed;
  };
  const std::vector<bad_object> Table{
      {stored("bad", "{\"zone\":\"\xff\xfe\"}"), true},
      {stored("bad", R"({"zone":"\udcff\udcfe"})"), true},
      {stored("bad", R"({"slots":1e400})"), true},
      {stored("bad", "{\"zone\":nul}"), true},
      {stored("bad", R"({"zone":"a","zone":[]})"), true},
      {stored("bad", "[]"), true},
      {stored("bad", nested(1'000)), true},
      {stored("bad", "\"" + std::string(1'000'000, 'x') + "\""), true},
      {R"({"metadata":{"name":"bad","revision":7}})", true},
      {R"({"metadata":{"name":"bad","revision":7,"finalizers":1e400}})", true},
      {R"({"metadata":{"name":7,"revision":7},"spec":{}})", false},
      {R"({"metadata":{"name":"bad","revision":"x"},"spec":{}})", false},
      {R"({"metadata":{"name":"bad"},"spec":{}})", false},
      {"{\"metadata\":{\"name\":\"\xff\",\"revision\":7},\"spec\":{}}", false},
      {R"({"metadata":[],"spec":{}})", false},
      {R"({"spec":{}})", false},
      {"[]", false},
      {"1e400", false},
      {"null", false}};
  for (const bad_object &Bad : Table) {
    CAPTURE(Bad.Text.substr(0, 80));
    const std::size_t Count = Bad.IsNamed ? 1 : 0;
    fixed_store Store(listOf(stored("a", R"({"slots":1})") + "," + Bad.Text +
                             "," + stored("z", R"({"slots":2})")));
    const platform_list List = Store.list();
    REQUIRE(List.Version == 9);
    REQUIRE(List.Objects.size() == 2 + Count);
    CHECK(List.Objects.front().Body == R"({"slots":1})");
    CHECK(List.Objects.back().Body == R"({"slots":2})");
    fixed_store Watched(eventsOf(Bad.Text));
    const platform_changes Changes = Watched.changes();
    CHECK(Changes.Version == 9);
    CHECK(Changes.Events.size() == Count);
  }
}

TEST_CASE(
    "a response that the store can't have meant is taken for a good one") {
  const auto CodeOf = [](fixed_store &Store, const auto &Call) {
    std::optional<result_code> Code;
    Store.Runtime.runBlocking([&] {
      try {
        Call(Store.Port);
      } catch (const spindle_error &Error) {
        Code = Error.code();
        CHECK(std::string(Error.what()).find("/objects/servers") !=
              std::string::npos);
      }
    });
    return Code;
  };
  const auto List = [](const platform_port &Port) { Port.List("servers"); };
  const auto Watch = [](const platform_port &Port) {
    Port.Changes("servers", 1, milliseconds(0));
  };
  const auto Remove = [](const platform_port &Port) {
    Port.Remove("servers", "a", 7);
  };
  fixed_store NoObject("deleted");
  CHECK(CodeOf(NoObject, Remove) == result_code::PlatformUnavailable);
  CHECK(CodeOf(NoObject, List) == result_code::PlatformUnavailable);
  CHECK(CodeOf(NoObject, Watch) == result_code::PlatformUnavailable);
  fixed_store NoFlag(R"({"items":[],"has-more":"true","current-rev":9})");
  CHECK(CodeOf(NoFlag, List) == result_code::PlatformUnavailable);
  fixed_store NoDeletion(R"({"events":[{"object":)" + stored("a", "{}") +
                         R"(,"deleted":1}],"current-rev":9})");
  CHECK(CodeOf(NoDeletion, Watch) == result_code::PlatformUnavailable);
  fixed_store NoRevision(R"({"items":[],"events":[],"has-more":false})");
  CHECK(CodeOf(NoRevision, List) == result_code::PlatformUnavailable);
  CHECK(CodeOf(NoRevision, Watch) == result_code::PlatformUnavailable);
  fixed_store Sound(R"({"items":[],"events":[],"current-rev":9})");
  CHECK_FALSE(CodeOf(Sound, List));
  CHECK_FALSE(CodeOf(Sound, Watch));
  CHECK_FALSE(CodeOf(Sound, Remove));
}

// A revision alone stands for different states before and after a restore.
TEST_CASE("the store's adapter takes a revision for the same in each era") {
  fixed_store Store(listOf(stored("a", "{}")), "2");
  const platform_list List = Store.list();
  CHECK(List.Version == makeVersion(2, 9));
  CHECK(List.Objects.at(0).Version == makeVersion(2, 7));
  const std::uint64_t Version = List.Objects.at(0).Version;
  const std::size_t Calls = Store.Calls;

  Store.Era = "3";
  const auto Watch = [&](const platform_port &Port) {
    Port.Changes("servers", List.Version, milliseconds(0));
  };
  CHECK(Store.codeOf(Watch) == result_code::PlatformTooOld);
  CHECK(Store.Calls == Calls + 1);
  CHECK(Store.codeOf(Watch) == result_code::PlatformTooOld);
  CHECK(Store.codeOf([&](const platform_port &Port) {
    Port.Update("servers", "a", Version, "{}");
  }) == result_code::PlatformConflict);
  CHECK(Store.codeOf([&](const platform_port &Port) {
    Port.Remove("servers", "a", Version);
  }) == result_code::PlatformConflict);
  CHECK(Store.Calls == Calls + 1);
}

TEST_CASE("the store's adapter uses a response from before a restore, or of an "
          "era that can't be read") {
  fixed_store Store(listOf(""), "3");
  CHECK(Store.list().Version == makeVersion(3, 9));
  const auto List = [](const platform_port &Port) { Port.List("servers"); };
  for (const std::string Era :
       {"2", "", "x", "3x", "-1", "4.0", "8192", "99999999999999999999"}) {
    CAPTURE(Era);
    Store.Era = Era;
    CHECK(Store.codeOf(List) == result_code::PlatformUnavailable);
  }
  Store.Era = "3";
  CHECK(Store.list().Version == makeVersion(3, 9));
}

// An era that no answer states would end all that is of the real one.
TEST_CASE("the era of an answer whose status is none of the protocol counts") {
  bool IsBroken = true;
  raw_server Server([&IsBroken](const http_request_head &) {
    const std::string Body =
        R"({"items": [], "has-more": false, "current-rev": 5})";
    const std::string Status = IsBroken ? "000 Trouble" : "200 OK";
    const std::string Era = IsBroken ? "9" : "1";
    return raw_answer{"HTTP/1.1 " + Status + "\r\nStore-Era: " + Era +
                      "\r\nContent-Length: " + std::to_string(Body.size()) +
                      "\r\n\r\n" + Body};
  });
  fiber_runtime Runtime{1};
  http_client Client;
  const platform_port Port =
      makeObjectStore(Client, Server.address(), CallTimeout);
  std::optional<result_code> Broken;
  platform_list List;
  Runtime.runBlocking([&] {
    try {
      Port.List("servers");
    } catch (const spindle_error &Error) {
      Broken = Error.code();
    }
    IsBroken = false;
    List = Port.List("servers");
  });
  REQUIRE(Broken == result_code::PlatformUnavailable);
  REQUIRE(eraOf(List.Version) == 1);
}
