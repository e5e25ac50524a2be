#include "LibCore/result_code.h"
#include "LibHost/order_executor.h"
#include "Support/fake_platform.h"

#include <catch2/catch.hpp>

#include <map>
#include <stdexcept>

using namespace spindle;

namespace {

constexpr int Answered = 0;

/// A platform in memory and a service that counts the runs of each order key.
struct order_desk_fixture {
  order_desk_fixture() { Clock.pause(); }

  order_executor makeExecutor(std::uint64_t Incarnation) {
    order_executor_settings Settings;
    Settings.Sleep = [this](nanoseconds Pause) { Clock.advance(Pause); };
    Settings.ResponseLimitBytes = 64;
    return {Clock, Platform.port(), Incarnation, "host", Settings};
  }

  /// Sends an order; returns Answered, or the result code of the refusal.
  int send(order_executor &Executor, const std::string &Key = "key",
           const std::string &Digest = "digest") {
    order_request Order{customer_id{1}, "route", Key, Digest};
    Order.ServiceDeduplicates = ServiceDeduplicates;
    try {
      Last = Executor.run(Order, [&] {
        if (BeforeSend)
          BeforeSend();
        ++Runs[Key];
        if (AfterSend)
          AfterSend();
        return Answer;
      });
    } catch (const spindle_error &Error) {
      return static_cast<int>(Error.code());
    }
    return Answered;
  }

  runtime_clock Clock;
  fake_platform Platform;
  std::map<std::string, int> Runs;
  bool ServiceDeduplicates = false;
  std::function<void()> BeforeSend;
  std::function<void()> AfterSend;
  http_response Answer{{201, {{"X-Order", "7"}, {"Connection", "close"}}},
                       std::string("\xff booked")};
  http_response Last;
};

int number(result_code Code) { return static_cast<int>(Code); }

} // namespace

TEST_CASE("A repeat gets the stored response, also on another host") {
  order_desk_fixture Fixture;
  order_executor First = Fixture.makeExecutor(1);
  order_executor Second = Fixture.makeExecutor(2);
  REQUIRE(Fixture.send(First) == Answered);
  Fixture.Clock.advance(std::chrono::hours(1));
  REQUIRE(Fixture.send(Second) == Answered);
  CHECK(Fixture.Runs["key"] == 1);
  CHECK(Fixture.Last.Head.Status == 201);
  CHECK(Fixture.Last.Body == Fixture.Answer.Body);
  CHECK(findField(Fixture.Last.Head.Fields, "X-Order") == "7");
  CHECK(findField(Fixture.Last.Head.Fields, "Connection").empty());
  CHECK(findField(Fixture.Last.Head.Fields, "Idempotency-Replayed") == "true");
  CHECK(Fixture.send(Second, "key", "other") ==
        number(result_code::OrderKeyMismatch));
}

TEST_CASE("A repeat is refused if the response was too large to store") {
  order_desk_fixture Fixture;
  order_executor Executor = Fixture.makeExecutor(1);
  Fixture.Answer.Body = std::string(65, 'a');
  REQUIRE(Fixture.send(Executor) == Answered);
  CHECK(Fixture.send(Executor) == number(result_code::OrderAnswerNotKept));
}

// Records of earlier versions may hold what was no answer.
TEST_CASE("A stored response whose status is none of HTTP is sent to a "
          "repeat") {
  const int Status = GENERATE(0, 99, 101, 600, 1'000, -200);
  order_desk_fixture Fixture;
  order_executor Executor = Fixture.makeExecutor(1);
  Fixture.Answer.Head.Status = Status;
  REQUIRE(Fixture.send(Executor) == Answered);
  CHECK(Fixture.send(Executor) == number(result_code::OrderOutcomeUnknown));
  CHECK(Fixture.Runs["key"] == 1);
}

TEST_CASE("A claim whose response is lost is confirmed by reading it back") {
  order_desk_fixture Fixture;
  order_executor Executor = Fixture.makeExecutor(1);
  Fixture.Platform.setFaults({.LoseAnswers = 1});
  CHECK(Fixture.send(Executor) == Answered);
  Fixture.Platform.setFaults({.FailWrites = 1});
  CHECK(Fixture.send(Executor, "second") == Answered);
  CHECK(Fixture.Runs["key"] == 1);
  CHECK(Fixture.Runs["second"] == 1);
}

TEST_CASE("While the platform is down an order is only sent if the service "
          "deduplicates") {
  order_desk_fixture Fixture;
  order_executor Executor = Fixture.makeExecutor(1);
  Fixture.Platform.setFaults({.Down = true});
  CHECK(Fixture.send(Executor) == number(result_code::OrderStoreUnavailable));
  CHECK(Fixture.Runs["key"] == 0);
  Fixture.ServiceDeduplicates = true;
  CHECK(Fixture.send(Executor) == Answered);
  CHECK(Fixture.Runs["key"] == 1);
}

TEST_CASE("An abandoned claim is released, so that a repeat runs") {
  order_desk_fixture Fixture;
  order_executor First = Fixture.makeExecutor(1);
  order_executor Second = Fixture.makeExecutor(2);
  // The claim is written, but its response is lost and all reads fail.
  platform_port Unreadable = Fixture.Platform.port();
  order_executor_settings Settings;
  Settings.Sleep = [&](nanoseconds Pause) { Fixture.Clock.advance(Pause); };
  bool ReadsFail = true;
  const platform_port Working = Fixture.Platform.port();
  Unreadable.Get = [&](std::string_view Kind, std::string_view Name) {
    if (ReadsFail)
      throw spindle_error(result_code::PlatformUnavailable, "no answer");
    return Working.Get(Kind, Name);
  };
  order_executor Third(Fixture.Clock, Unreadable, 3, "host", Settings);
  Fixture.Platform.setFaults({.LoseAnswers = 1});
  CHECK(Fixture.send(Third) == number(result_code::OrderStoreUnavailable));
  CHECK(Fixture.send(First) == number(result_code::OrderInProgress));
  ReadsFail = false;
  Third.sweep();
  CHECK(Fixture.send(Second) == Answered);
  CHECK(Fixture.Runs["key"] == 1);
}

TEST_CASE("A host that is paused after its claim does not dispatch") {
  order_desk_fixture Fixture;
  platform_port Slow = Fixture.Platform.port();
  const platform_port Working = Fixture.Platform.port();
  Slow.Create = [&](std::string_view Kind, std::string_view Name,
                    std::string_view Body) {
    const std::uint64_t Version = Working.Create(Kind, Name, Body);
    Fixture.Clock.advance(seconds(6));
    return Version;
  };
  order_executor_settings Settings;
  Settings.Sleep = [&](nanoseconds Pause) { Fixture.Clock.advance(Pause); };
  order_executor Paused(Fixture.Clock, Slow, 1, "host", Settings);
  CHECK(Fixture.send(Paused) == number(result_code::DeadlineUnreachable));
  CHECK(Fixture.Runs["key"] == 0);
  order_executor Other = Fixture.makeExecutor(2);
  CHECK(Fixture.send(Other) == Answered);
}

TEST_CASE("The outcome of a dispatch determines the result of a repeat") {
  order_desk_fixture Fixture;
  order_executor First = Fixture.makeExecutor(1);
  order_executor Second = Fixture.makeExecutor(2);
  SECTION("no byte was sent: a repeat runs") {
    Fixture.BeforeSend = [] {
      throw spindle_error(result_code::UpstreamUnreachable, "refused");
    };
    CHECK(Fixture.send(First) == number(result_code::UpstreamUnreachable));
    Fixture.BeforeSend = nullptr;
    CHECK(Fixture.send(Second) == Answered);
  }
  SECTION("the response was lost: a repeat does not run") {
    Fixture.AfterSend = [] {
      throw spindle_error(result_code::UpstreamLost, "lost");
    };
    CHECK(Fixture.send(First) == number(result_code::UpstreamLost));
    CHECK(Fixture.send(Second) == number(result_code::OrderOutcomeUnknown));
  }
  SECTION("the outcome is written later: a repeat gets the response") {
    Fixture.AfterSend = [&] { Fixture.Platform.setFaults({.Down = true}); };
    CHECK(Fixture.send(First) == Answered);
    Fixture.Platform.setFaults({});
    CHECK(Fixture.send(Second) == number(result_code::OrderInProgress));
    CHECK(First.unwrittenOutcomes() == 1);
    First.sweep();
    CHECK(First.unwrittenOutcomes() == 0);
    CHECK(Fixture.send(Second) == Answered);
  }
  CHECK(Fixture.Runs["key"] == 1);
}

TEST_CASE("After a crash at any step a repeat never runs the order twice") {
  // The step at which the first host crashes: 0 before and 1 after writing the
  // claim, 2 before and 3 after the dispatch, 4 before and 5 after writing the
  // outcome.
  const int CrashStep = GENERATE(range(0, 6));
  order_desk_fixture Fixture;
  const platform_port Working = Fixture.Platform.port();
  platform_port Crashing = Working;
  const auto CrashAt = [CrashStep](int Step) {
    if (Step == CrashStep)
      throw std::runtime_error("process crashed");
  };
  Crashing.Create = [&](std::string_view Kind, std::string_view Name,
                        std::string_view Body) {
    CrashAt(0);
    const std::uint64_t Version = Working.Create(Kind, Name, Body);
    CrashAt(1);
    return Version;
  };
  Crashing.Update = [&](std::string_view Kind, std::string_view Name,
                        std::uint64_t Old, std::string_view Body) {
    if (CrashStep < 5)
      throw std::runtime_error("process crashed");
    const std::uint64_t Version = Working.Update(Kind, Name, Old, Body);
    CrashAt(5);
    return Version;
  };
  Fixture.BeforeSend = [&] { CrashAt(2); };
  Fixture.AfterSend = [&] { CrashAt(3); };
  order_executor First(Fixture.Clock, Crashing, 1, "host", {});
  CHECK_THROWS_AS(Fixture.send(First), std::runtime_error);
  Fixture.BeforeSend = Fixture.AfterSend = nullptr;
  order_executor Second = Fixture.makeExecutor(2);
  const int Immediate = Fixture.send(Second);
  Fixture.Clock.advance(std::chrono::hours(1));
  const int Later = Fixture.send(Second);
  if (CrashStep == 0 || CrashStep == 5) {
    CHECK(Immediate == Answered);
    CHECK(Later == Answered);
  } else {
    CHECK(Immediate == number(result_code::OrderInProgress));
    CHECK(Later == number(result_code::OrderOutcomeUnknown));
  }
  CHECK(Fixture.Runs["key"] <= 1);
}

TEST_CASE("Records expire after their retention, also with wrong clocks") {
  const seconds Retention(100);
  const auto Expired = [&](std::vector<record_age> Records, std::int64_t Now) {
    std::vector<std::string> Names;
    for (const record_age &Record :
         expiredRecords(Records, Retention, wall_time{Now * 1'000}))
      Names.push_back(Record.Name);
    return Names;
  };
  const record_age Old{"old", 1, {1'000'000}};
  const record_age New{"new", 2, {1'100'000}};
  using names = std::vector<std::string>;
  CHECK(Expired({Old, New}, 1'100) == names{"old"});
  // The clock of the host that sweeps is ahead.
  CHECK(Expired({Old, {"new", 2, {1'099'000}}}, 9'000).empty());
  // The clock of the claiming host was behind: an older version has a later
  // timestamp.
  CHECK(Expired({Old, New, {"behind", 3, {10'000}}}, 1'150) == names{"old"});
}

TEST_CASE("A sweep deletes a limited number of old records") {
  order_desk_fixture Fixture;
  order_executor Executor = Fixture.makeExecutor(1);
  for (int Index = 0; Index < 30; ++Index)
    REQUIRE(Fixture.send(Executor, "key" + std::to_string(Index)) == Answered);
  Executor.sweep();
  Fixture.Clock.advance(std::chrono::hours(24));
  REQUIRE(Fixture.send(Executor, "newest") == Answered);
  const platform_port Port = Fixture.Platform.port();
  Executor.sweep();
  CHECK(Port.List(platform_kind::Orders).Objects.size() == 11);
  Executor.sweep();
  CHECK(Port.List(platform_kind::Orders).Objects.size() == 1);
}
