#include "EndToEnd/caller.h"

#include <csignal>

#include <catch2/catch.hpp>

using namespace spindle;
using json = nlohmann::json;

namespace {

constexpr int FirstByteMilliseconds = 2'000;
constexpr int BetweenBytesMilliseconds = 2'000;
// How late the programs may be on a machine with other work.
constexpr milliseconds Lateness{1'000};

void shortenDeadlines(json &Intent) {
  for (json &Route : Intent.at("routes")) {
    Route["firstByteTimeoutMs"] = FirstByteMilliseconds;
    Route["betweenBytesTimeoutMs"] = BetweenBytesMilliseconds;
  }
}

/// Whether the state that a caller received agrees with the services' record.
void checkState(fleet &Fleet, const caller_answer &Answer,
                const std::string &OrderKey) {
  INFO(OrderKey << ": " << describe(Answer));
  const std::uint64_t Effects = effectsOf(Fleet, OrderKey);
  CHECK(Effects <= 1);
  CHECK((Answer.Whole || Answer.Code != 0));
  if (Answer.Whole)
    CHECK(Effects == 1);
  if (Answer.State == "not run")
    CHECK(Effects == 0);
}

/// Starts an order whose answer is not awaited.
void sendOrderUnattended(fleet &Fleet, std::size_t Host,
                         const std::string &OrderKey) {
  http_fields Fields = callerFields();
  Fields.push_back({"Idempotency-Key", OrderKey});
  Fleet.runtime().spawn([&Fleet, Host, Fields] {
    try {
      Fleet.client().call(Fleet.hostAddress(Host),
                          {"POST", "/orders/lids", Fields}, "{\"lids\": 2}", {},
                          connection_use::FreshOnce, 1U << 20U);
    } catch (const spindle_error &) {
      // The host is ended meanwhile.
    }
  });
}

} // namespace

TEST_CASE("streams on silent connections end by their deadline") {
  constexpr seconds MostRecovery{5};
  fleet Fleet({1, 1, 0});
  Fleet.applyIntent(shortenDeadlines);
  for (int Index = 0; Index < 6; ++Index)
    REQUIRE(requestCompletion(Fleet, 0,
                              {"pickler@1", "warm" + std::to_string(Index)})
                .Whole);
  const completion_question Question{"pickler@1", "a long dossier", 100'000};
  std::unique_ptr<http_call> Stream;
  Fleet.run([&] { Stream = startStream(Fleet, 0, Question); });
  Fleet.setControl(Fleet.Engines[0], {{"silent", true}});
  const time_point Silent = boot_clock::now();
  caller_answer Cut;
  Fleet.run([&] { Cut = readStream(*Stream); });
  INFO(describe(Cut));
  CHECK(boot_clock::now() - Silent <
        milliseconds(BetweenBytesMilliseconds) + Lateness);
  CHECK_FALSE(Cut.Whole);
  CHECK(isOwnOrError(Cut, Question));
  Fleet.run([&] { Stream.reset(); });
  const time_point Start = boot_clock::now();
  CHECK(holdsWithin(MostRecovery, [&] {
    const time_point SentAt = boot_clock::now();
    const completion_question After{"pickler@1", "after", 20, true};
    const caller_answer Answer = requestCompletion(Fleet, 0, After);
    INFO(describe(Answer));
    CHECK(isOwnOrError(Answer, After));
    CHECK(boot_clock::now() - SentAt <
          milliseconds(2 * FirstByteMilliseconds) + Lateness);
    return Answer.Whole;
  }));
  CHECK(boot_clock::now() - Start < MostRecovery);
}

TEST_CASE("a silent service delays a check and gets no order twice") {
  constexpr int Rounds = 3;
  // Enough for each host to measure each service's latency.
  constexpr int WarmChecks = 400;
  // The shortest deadline that follows from measured latency.
  constexpr milliseconds MostSilence{5'000};
  fleet Fleet({2, 1, 2});
  Fleet.applyIntent([](json &Intent) {
    for (json &Route : Intent.at("routes"))
      if (Route.at("name") == "orders")
        Route["firstByteTimeoutMs"] = FirstByteMilliseconds;
  });
  for (std::size_t Host = 0; Host < 2; ++Host)
    for (int Index = 0; Index < WarmChecks; ++Index)
      REQUIRE(checkStock(Fleet, Host).Whole);
  Fleet.setControl(Fleet.Services[0], {{"silent", true}});
  for (int Index = 0; Index < 8; ++Index) {
    const time_point Start = boot_clock::now();
    const caller_answer Answer = checkStock(Fleet, Index % 2);
    INFO(describe(Answer));
    CHECK(Answer.Whole);
    CHECK(boot_clock::now() - Start < MostSilence + Lateness);
  }
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::string Key = "silent-" + std::to_string(Round);
    const std::uint64_t Before = sumOfRecords(Fleet, Fleet.Services, "arrived");
    for (const std::size_t Host : {0U, 1U, 0U})
      checkState(Fleet, sendOrder(Fleet, Host, Key), Key);
    CHECK(sumOfRecords(Fleet, Fleet.Services, "arrived") - Before <= 1);
  }
}

TEST_CASE("an order runs once although the platform's answers are lost") {
  fleet Fleet({2, 1, 1});
  Fleet.applyIntent();
  for (const char *Loss : {"lose_answers", "lose_writes"})
    for (int Count = 1; Count <= 3; ++Count) {
      const std::string Key = Loss + std::to_string(Count);
      Fleet.setControl(Fleet.Platform,
                       {{"lose_kind", "orders"}, {Loss, Count}});
      for (const std::size_t Host : {0U, 1U, 1U, 0U})
        checkState(Fleet, sendOrder(Fleet, Host, Key), Key);
      Fleet.setControl(Fleet.Platform, {{Loss, 0}});
    }
  CHECK(Fleet.control(Fleet.Services[0], "/control/record").at("repeated") ==
        json::object());
  // A short loss leads to no refusals.
  CHECK(Fleet.control(Fleet.Services[0], "/control/record").at("effects") == 6);
}

TEST_CASE("an order whose service crashed is not run again") {
  fleet Fleet({2, 1, 1});
  Fleet.applyIntent();
  for (const char *Crash : {"crash_after", "crash_before", "truncate"}) {
    const std::string Key = Crash;
    Fleet.setControl(Fleet.Services[0], {{Crash, 1}});
    const caller_answer First = sendOrder(Fleet, 0, Key);
    checkState(Fleet, First, Key);
    CHECK_FALSE(First.Whole);
    CHECK(First.State != "not run");
    for (const std::size_t Host : {1U, 0U}) {
      const caller_answer Repeat = sendOrder(Fleet, Host, Key);
      checkState(Fleet, Repeat, Key);
      INFO(Key << ": " << describe(Repeat));
      CHECK(Repeat.is(result_code::OrderOutcomeUnknown));
      CHECK(Repeat.State == "maybe run");
    }
  }
  CHECK(effectsOf(Fleet, "crash_after") == 1);
  CHECK(effectsOf(Fleet, "crash_before") == 0);
  CHECK(effectsOf(Fleet, "truncate") == 1);
}

TEST_CASE("an order whose host was killed is not run again by another") {
  constexpr int ServiceMilliseconds = 1'500;
  // A host's lease and its margin.
  constexpr seconds MostShareWait{12};
  fleet Fleet({2, 1, 1});
  Fleet.applyIntent();
  Fleet.setControl(Fleet.Services[0], {{"latency_ms", ServiceMilliseconds}});
  const std::string Key = "killed";
  sendOrderUnattended(Fleet, 0, Key);
  REQUIRE(holdsWithin(seconds(1), [&] {
    return Fleet.control(Fleet.Services[0], "/load").at("running") == 1;
  }));
  Fleet.host(0).signal(SIGKILL);
  Fleet.host(0).wait();
  Fleet.setControl(Fleet.Services[0], {{"latency_ms", 0}});
  const time_point Until =
      boot_clock::now() + milliseconds(2 * ServiceMilliseconds);
  while (boot_clock::now() < Until) {
    const caller_answer Repeat = sendOrder(Fleet, 1, Key);
    INFO(describe(Repeat));
    CHECK((Repeat.is(result_code::OrderInProgress) ||
           Repeat.is(result_code::OrderOutcomeUnknown)));
    CHECK(Repeat.State == "maybe run");
    sleepFor(milliseconds(100));
  }
  CHECK(effectsOf(Fleet, Key) == 1);
  Fleet.startHost(0);
  Fleet.waitUntilReady(0);
  CHECK_FALSE(sendOrder(Fleet, 0, Key).Whole);
  CHECK(effectsOf(Fleet, Key) == 1);
  // Its share of the rate may be leased to its former process.
  int Number = 0;
  CHECK(holdsWithin(MostShareWait, [&] {
    return sendOrder(Fleet, 0, "another-" + std::to_string(Number++)).Whole;
  }));
}
