#include "LibFleetModel/engine_model.h"

#include <algorithm>
#include <deque>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

request_description prompt(std::string_view Adapter, std::uint64_t Own,
                           std::int64_t Shared = 400, std::int64_t Rest = 100) {
  request_description Request;
  Request.Model.assign(1, 'm');
  Request.Adapter = Adapter;
  Request.Prompt = {{1, Shared}, {Own, Rest}};
  Request.PromptTokens = Shared + Rest;
  return Request;
}

/// An engine with requests whose descriptions live as long as it.
struct loaded_engine {
  std::uint64_t add(const request_description &Request,
                    std::int64_t OutputTokens, int Urgency = 0) {
    Descriptions.push_back(Request);
    engine_run Run;
    Run.Id = Descriptions.size();
    Run.Request = &Descriptions.back();
    Run.OutputTokens = OutputTokens;
    Run.Urgency = Urgency;
    Engine.add(Run);
    return Run.Id;
  }

  /// Steps until the request has ended and returns how long that took.
  nanoseconds runUntil(std::uint64_t Id) {
    nanoseconds Time{0};
    while (Engine.busy()) {
      engine_events Events;
      Time += Engine.step(Events);
      Order.insert(Order.end(), Events.Ended.begin(), Events.Ended.end());
      if (std::find(Order.begin(), Order.end(), Id) != Order.end())
        return Time;
    }
    return Time;
  }

  model_fleet Fleet;
  engine_model Engine{Fleet};
  std::deque<request_description> Descriptions;
  std::vector<std::uint64_t> Order;
};

} // namespace

TEST_CASE("tokens come slower the more requests run") {
  loaded_engine Alone;
  Alone.Fleet.PerRequestMilliseconds = 0.5;
  const nanoseconds One = Alone.runUntil(Alone.add(prompt("a1", 2), 100));
  loaded_engine Busy;
  Busy.Fleet.PerRequestMilliseconds = 0.5;
  for (std::uint64_t Other = 0; Other < 20; ++Other)
    Busy.add(prompt("a1", 10 + Other), 100);
  const nanoseconds Many = Busy.runUntil(Busy.add(prompt("a1", 2), 100));
  REQUIRE(Many > One + milliseconds(500));
}

TEST_CASE("a part that is kept for the same adapter is not read again") {
  loaded_engine Test;
  Test.runUntil(Test.add(prompt("a1", 2), 5));
  REQUIRE(Test.Engine.tokensPrefilled() == 500);
  Test.runUntil(Test.add(prompt("a1", 3), 5));
  REQUIRE(Test.Engine.tokensPrefilled() == 600);
  Test.runUntil(Test.add(prompt("a2", 4), 5));
  REQUIRE(Test.Engine.tokensPrefilled() == 1'100);
}

TEST_CASE("what is kept yields before a request is put back") {
  loaded_engine Test;
  Test.Fleet.MemoryTokens = 1'200;
  Test.runUntil(Test.add(prompt("a1", 2), 5));
  REQUIRE(Test.Engine.cachedTokens(prompt("a1", 2)) == 500);
  const std::uint64_t First = Test.add(prompt("a2", 3), 50);
  const std::uint64_t Second = Test.add(prompt("a3", 4), 50);
  Test.runUntil(First);
  Test.runUntil(Second);
  REQUIRE(Test.Engine.preemptions() == 0);
  REQUIRE(Test.Engine.cachedTokens(prompt("a1", 2)) < 500);
}

TEST_CASE("the newest of the least urgent requests is put back") {
  loaded_engine Test;
  Test.Fleet.MemoryTokens = 1'080;
  const std::uint64_t Urgent = Test.add(prompt("a1", 2), 300, 0);
  const std::uint64_t Patient = Test.add(prompt("a2", 3), 300, 5);
  Test.runUntil(Urgent);
  REQUIRE(Test.Engine.preemptions() >= 1);
  Test.runUntil(Patient);
  REQUIRE(Test.Order == std::vector<std::uint64_t>{Urgent, Patient});
}

TEST_CASE("the urgent start first when the batch is full") {
  loaded_engine Test;
  Test.Fleet.BatchSlots = 1;
  const std::uint64_t First = Test.add(prompt("a1", 2), 50, 5);
  engine_events Events;
  Test.Engine.step(Events);
  const std::uint64_t Patient = Test.add(prompt("a1", 3), 5, 5);
  const std::uint64_t Urgent = Test.add(prompt("a1", 4), 5, 0);
  Test.runUntil(Patient);
  REQUIRE(Test.Order == std::vector<std::uint64_t>{First, Urgent, Patient});
}

TEST_CASE("long prompts are read in pieces between the others' tokens") {
  loaded_engine Test;
  const std::uint64_t Chat = Test.add(prompt("a1", 2, 0, 50), 500);
  engine_events Ignored;
  Test.Engine.step(Ignored);
  Test.add(prompt("a2", 3, 9'000, 1'000), 5);
  std::size_t Tokens = 0;
  for (int Step = 0; Step < 10; ++Step) {
    engine_events Events;
    const nanoseconds Took = Test.Engine.step(Events);
    REQUIRE(Took < milliseconds(25));
    Tokens += static_cast<std::size_t>(
        std::count(Events.Events.begin(), Events.Events.end(), Chat));
  }
  REQUIRE(Tokens == 10);
}
