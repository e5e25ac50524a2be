#include "LibCore/result_code.h"
#include "LibHost/order_executor.h"
#include "Support/fake_platform.h"

#include <catch2/catch.hpp>

#include <map>
#include <stdexcept>

using namespace spindle;

namespace {

constexpr int Answered = 0;

/// Two hosts' desks, a platform and a service that keeps its own record.
struct order_bench {
  order_bench() { Clock.pause(); }

  order_executor makeDesk(std::uint64_t Incarnation) {
    order_desk_settings Settings;
    Settings.Sleep = [this](nanoseconds Pause) { Clock.advance(Pause); };
    Settings.AnswerLimitBytes = 64;
    return {Clock, Platform.port(), Incarnation, "host", Settings};
  }

  /// Sends an order; returns 0 if it was answered, else the refusal's code.
  int send(order_executor &Desk, const std::string &Key = "key",
           const std::string &Digest = "digest") {
    order_request Order{customer_id{1}, "route", Key, Digest};
    Order.ServiceDeduplicates = ServiceDeduplicates;
    try {
      Last = Desk.run(Order, [&] {
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

TEST_CASE("A repeat gets the stored answer, at another host too") {
  order_bench Bench;
  order_executor First = Bench.makeDesk(1);
  order_executor Second = Bench.makeDesk(2);
  REQUIRE(Bench.send(First) == Answered);
  Bench.Clock.advance(std::chrono::hours(1));
  REQUIRE(Bench.send(Second) == Answered);
  CHECK(Bench.Runs["key"] == 1);
  CHECK(Bench.Last.Head.Status == 201);
  CHECK(Bench.Last.Body == Bench.Answer.Body);
  CHECK(findField(Bench.Last.Head.Fields, "X-Order") == "7");
  CHECK(findField(Bench.Last.Head.Fields, "Connection").empty());
  CHECK(findField(Bench.Last.Head.Fields, "Idempotency-Replayed") == "true");
  CHECK(Bench.send(Second, "key", "other") ==
        number(result_code::OrderKeyMismatch));
}

TEST_CASE("A repeat of an order whose answer was too large says so") {
  order_bench Bench;
  order_executor Desk = Bench.makeDesk(1);
  Bench.Answer.Body = std::string(65, 'a');
  REQUIRE(Bench.send(Desk) == Answered);
  CHECK(Bench.send(Desk) == number(result_code::OrderAnswerNotKept));
}

TEST_CASE("A claim whose answer is lost is found by reading back") {
  order_bench Bench;
  order_executor Desk = Bench.makeDesk(1);
  Bench.Platform.setFaults({.LoseAnswers = 1});
  CHECK(Bench.send(Desk) == Answered);
  Bench.Platform.setFaults({.FailWrites = 1});
  CHECK(Bench.send(Desk, "second") == Answered);
  CHECK(Bench.Runs["key"] == 1);
  CHECK(Bench.Runs["second"] == 1);
}

TEST_CASE("With the platform down an order is not sent, unless the service "
          "deduplicates") {
  order_bench Bench;
  order_executor Desk = Bench.makeDesk(1);
  Bench.Platform.setFaults({.Down = true});
  CHECK(Bench.send(Desk) == number(result_code::OrderStoreUnavailable));
  CHECK(Bench.Runs["key"] == 0);
  Bench.ServiceDeduplicates = true;
  CHECK(Bench.send(Desk) == Answered);
  CHECK(Bench.Runs["key"] == 1);
}

TEST_CASE("A claim given up is released, so that a repeat runs") {
  order_bench Bench;
  order_executor First = Bench.makeDesk(1);
  order_executor Second = Bench.makeDesk(2);
  // The claim takes effect, but no answer and no read comes through.
  platform_port Deaf = Bench.Platform.port();
  order_desk_settings Settings;
  Settings.Sleep = [&](nanoseconds Pause) { Bench.Clock.advance(Pause); };
  bool Deafness = true;
  const platform_port Whole = Bench.Platform.port();
  Deaf.Get = [&](std::string_view Kind, std::string_view Name) {
    if (Deafness)
      throw spindle_error(result_code::PlatformUnavailable, "no answer");
    return Whole.Get(Kind, Name);
  };
  order_executor Third(Bench.Clock, Deaf, 3, "host", Settings);
  Bench.Platform.setFaults({.LoseAnswers = 1});
  CHECK(Bench.send(Third) == number(result_code::OrderStoreUnavailable));
  CHECK(Bench.send(First) == number(result_code::OrderInProgress));
  Deafness = false;
  Third.sweep();
  CHECK(Bench.send(Second) == Answered);
  CHECK(Bench.Runs["key"] == 1);
}

TEST_CASE("A claimant that is paused after its claim does not dispatch") {
  order_bench Bench;
  platform_port Slow = Bench.Platform.port();
  const platform_port Whole = Bench.Platform.port();
  Slow.Create = [&](std::string_view Kind, std::string_view Name,
                    std::string_view Body) {
    const std::uint64_t Version = Whole.Create(Kind, Name, Body);
    Bench.Clock.advance(seconds(6));
    return Version;
  };
  order_desk_settings Settings;
  Settings.Sleep = [&](nanoseconds Pause) { Bench.Clock.advance(Pause); };
  order_executor Paused(Bench.Clock, Slow, 1, "host", Settings);
  CHECK(Bench.send(Paused) == number(result_code::DeadlineUnreachable));
  CHECK(Bench.Runs["key"] == 0);
  order_executor Other = Bench.makeDesk(2);
  CHECK(Bench.send(Other) == Answered);
}

TEST_CASE("What became of a dispatch decides what a repeat is told") {
  order_bench Bench;
  order_executor First = Bench.makeDesk(1);
  order_executor Second = Bench.makeDesk(2);
  SECTION("no byte left: a repeat runs") {
    Bench.BeforeSend = [] {
      throw spindle_error(result_code::UpstreamUnreachable, "refused");
    };
    CHECK(Bench.send(First) == number(result_code::UpstreamUnreachable));
    Bench.BeforeSend = nullptr;
    CHECK(Bench.send(Second) == Answered);
  }
  SECTION("the answer was lost: a repeat doesn't run") {
    Bench.AfterSend = [] {
      throw spindle_error(result_code::UpstreamLost, "lost");
    };
    CHECK(Bench.send(First) == number(result_code::UpstreamLost));
    CHECK(Bench.send(Second) == number(result_code::OrderOutcomeUnknown));
  }
  SECTION("the outcome is written later: a repeat gets the answer") {
    Bench.AfterSend = [&] { Bench.Platform.setFaults({.Down = true}); };
    CHECK(Bench.send(First) == Answered);
    Bench.Platform.setFaults({});
    CHECK(Bench.send(Second) == number(result_code::OrderInProgress));
    CHECK(First.unwrittenOutcomes() == 1);
    First.sweep();
    CHECK(First.unwrittenOutcomes() == 0);
    CHECK(Bench.send(Second) == Answered);
  }
  CHECK(Bench.Runs["key"] == 1);
}

TEST_CASE("After a crash at any step a repeat never runs the order twice") {
  // The steps at which the first host dies: 0 before the claim, 1 after it,
  // 2 before the dispatch, 3 after it, 4 before the outcome, 5 after it.
  const int DeathAt = GENERATE(range(0, 6));
  order_bench Bench;
  const platform_port Whole = Bench.Platform.port();
  platform_port Mortal = Whole;
  const auto DieAt = [DeathAt](int Step) {
    if (Step == DeathAt)
      throw std::runtime_error("the process died");
  };
  Mortal.Create = [&](std::string_view Kind, std::string_view Name,
                      std::string_view Body) {
    DieAt(0);
    const std::uint64_t Version = Whole.Create(Kind, Name, Body);
    DieAt(1);
    return Version;
  };
  Mortal.Update = [&](std::string_view Kind, std::string_view Name,
                      std::uint64_t Old, std::string_view Body) {
    if (DeathAt < 5)
      throw std::runtime_error("the process died");
    const std::uint64_t Version = Whole.Update(Kind, Name, Old, Body);
    DieAt(5);
    return Version;
  };
  Bench.BeforeSend = [&] { DieAt(2); };
  Bench.AfterSend = [&] { DieAt(3); };
  order_executor First(Bench.Clock, Mortal, 1, "host", {});
  CHECK_THROWS_AS(Bench.send(First), std::runtime_error);
  Bench.BeforeSend = Bench.AfterSend = nullptr;
  order_executor Second = Bench.makeDesk(2);
  const int AtOnce = Bench.send(Second);
  Bench.Clock.advance(std::chrono::hours(1));
  const int Later = Bench.send(Second);
  if (DeathAt == 0 || DeathAt == 5) {
    CHECK(AtOnce == Answered);
    CHECK(Later == Answered);
  } else {
    CHECK(AtOnce == number(result_code::OrderInProgress));
    CHECK(Later == number(result_code::OrderOutcomeUnknown));
  }
  CHECK(Bench.Runs["key"] <= 1);
}

TEST_CASE("Records are deleted after their retention, by no wrong clock") {
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
  // The sweeper's clock is ahead.
  CHECK(Expired({Old, {"new", 2, {1'099'000}}}, 9'000).empty());
  // The claimant's clock was behind: an older version has a later stamp.
  CHECK(Expired({Old, New, {"behind", 3, {10'000}}}, 1'150) == names{"old"});
}

TEST_CASE("A sweep deletes old records a few at a time") {
  order_bench Bench;
  order_executor Desk = Bench.makeDesk(1);
  for (int Index = 0; Index < 30; ++Index)
    REQUIRE(Bench.send(Desk, "key" + std::to_string(Index)) == Answered);
  Desk.sweep();
  Bench.Clock.advance(std::chrono::hours(24));
  REQUIRE(Bench.send(Desk, "newest") == Answered);
  const platform_port Port = Bench.Platform.port();
  Desk.sweep();
  CHECK(Port.List(platform_kind::Orders).Objects.size() == 11);
  Desk.sweep();
  CHECK(Port.List(platform_kind::Orders).Objects.size() == 1);
}
