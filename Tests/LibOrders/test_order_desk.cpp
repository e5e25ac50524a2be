#include "LibCore/result_code.h"
#include "LibHost/order_desk.h"
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

  order_desk makeDesk(std::uint64_t Incarnation) {
    order_desk_settings Settings;
    Settings.Sleep = [this](nanoseconds Pause) { Clock.advance(Pause); };
    Settings.AnswerLimitBytes = 64;
    return {Clock, Platform.port(), Incarnation, "host", Settings};
  }

  /// Sends an order; returns 0 if it was answered, else the refusal's code.
  int send(order_desk &Desk, const std::string &Key = "key",
           const std::string &Digest = "digest") {
    order_request Order{tenant_id{1}, "route", Key, Digest};
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
  order_desk First = Bench.makeDesk(1);
  order_desk Second = Bench.makeDesk(2);
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
  order_desk Desk = Bench.makeDesk(1);
  Bench.Answer.Body = std::string(65, 'a');
  REQUIRE(Bench.send(Desk) == Answered);
  CHECK(Bench.send(Desk) == number(result_code::OrderAnswerNotKept));
}
