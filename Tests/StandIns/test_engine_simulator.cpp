#include "engine_stand_in/engine_simulator.h"
#include "engine_stand_in/report_history.h"

#include <map>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static engine_simulator_settings plainSettings() {
  engine_simulator_settings Settings;
  Settings.Slots = 2;
  Settings.BatchSize = 2;
  Settings.StepTime = milliseconds(10);
  Settings.StepTimePerRequest = milliseconds(1);
  Settings.PrefillTimePerToken = milliseconds(1);
  Settings.CachedPrefillPart = 0.5;
  return Settings;
}

static engine_request request(std::uint64_t Id, std::string Adapter,
                              int Priority = 0) {
  engine_request Request;
  Request.Id = Id;
  Request.Adapter = std::move(Adapter);
  Request.PrefixHash = 7;
  Request.PromptTokens = 4;
  Request.AnswerTokens = 2;
  Request.Priority = Priority;
  return Request;
}

static void load(engine_simulator &Model, std::string_view Adapter) {
  REQUIRE(Model.beginLoad(Adapter, 1) == order_reply::Done);
  Model.finishLoad(Adapter, Model.incarnation(), true);
}

/// Ends the running step; returns the requests that got their last token.
static std::vector<std::uint64_t> finishStep(engine_simulator &Model) {
  std::vector<std::uint64_t> Finished;
  for (const generated_token &Token : Model.step(*Model.stepEnd()))
    if (Token.Last)
      Finished.push_back(Token.Request);
  return Finished;
}

TEST_CASE("a step takes its base, its requests' and its prompts' time") {
  engine_simulator Model(plainSettings(), 1);
  load(Model, "a");
  const time_point Start{};
  Model.submit(Start, request(1, "a"));
  REQUIRE(Model.stepEnd() == Start + milliseconds(10 + 1 + 4));
  Model.submit(Start, request(2, "a"));
  finishStep(Model);
  // The second prompt's prefix is cached, so half of its time is saved.
  REQUIRE(Model.stepEnd() == Start + milliseconds(15 + 10 + 2 + 2));
  CHECK(finishStep(Model) == std::vector<std::uint64_t>{1});
  CHECK(finishStep(Model) == std::vector<std::uint64_t>{2});
  CHECK_FALSE(Model.stepEnd());
  CHECK(Model.record().Steps == 3);
  CHECK(Model.record().Tokens == 4);
  CHECK(Model.record().CacheHits == 1);
}

TEST_CASE("waiting requests enter the batch by priority, then by arrival") {
  engine_simulator Model(plainSettings(), 1);
  load(Model, "a");
  const std::vector<std::pair<std::uint64_t, int>> Requests{
      {1, 3}, {2, 2}, {3, 2}, {4, 0}, {5, 2}};
  for (const auto &[Id, Priority] : Requests)
    Model.submit({}, request(Id, "a", Priority));
  std::vector<std::uint64_t> Order;
  while (Model.stepEnd())
    for (const std::uint64_t Id : finishStep(Model))
      Order.push_back(Id);
  CHECK(Order == std::vector<std::uint64_t>{1, 4, 2, 3, 5});
}

TEST_CASE("unloading an adapter in use is obeyed and recorded") {
  engine_simulator Model(plainSettings(), 1);
  load(Model, "a");
  load(Model, "b");
  CHECK(Model.beginLoad("c", 1) == order_reply::NoSlot);
  Model.submit({}, request(1, "a"));
  std::vector<std::uint64_t> Cut;
  CHECK(Model.unload("b", 1, Cut) == order_reply::Done);
  CHECK(Model.record().EvictedInUse.empty());
  CHECK(Model.unload("a", 1, Cut) == order_reply::Done);
  CHECK(Cut == std::vector<std::uint64_t>{1});
  CHECK(Model.record().EvictedInUse == std::vector<std::string>{"a"});
  CHECK_FALSE(Model.serves("a"));
}

TEST_CASE("an old fencing number is refused or, where ignored, recorded") {
  for (const bool Honours : {true, false}) {
    engine_simulator_settings Settings = plainSettings();
    Settings.HonoursFencing = Honours;
    engine_simulator Model(Settings, 1);
    REQUIRE(Model.beginLoad("a", 5) == order_reply::Done);
    CHECK(Model.beginLoad("b", 4) ==
          (Honours ? order_reply::OldFence : order_reply::Done));
    CHECK(Model.record().OldFences == 1);
    CHECK(Model.report().Fence == 5);
  }
}

TEST_CASE("a restart empties the engine and drops loads begun before") {
  engine_simulator Model(plainSettings(), 1);
  load(Model, "a");
  REQUIRE(Model.beginLoad("b", 1) == order_reply::Done);
  Model.submit({}, request(1, "a"));
  CHECK(Model.restart() == std::vector<std::uint64_t>{1});
  REQUIRE(Model.beginLoad("b", 1) == order_reply::Done);
  Model.finishLoad("b", 1, true);
  CHECK(Model.report().Incarnation == 2);
  CHECK(Model.report().Loaded.empty());
  CHECK_FALSE(Model.serves("b"));
  CHECK_FALSE(Model.stepEnd());
}

TEST_CASE("reports come as old as the lag says") {
  report_history History;
  engine_report Report;
  const time_point Start{};
  for (std::uint32_t Running = 0; Running < 10; ++Running) {
    Report.Running = Running;
    History.add(Start + milliseconds(100 * Running), Report);
  }
  const time_point Now = Start + milliseconds(950);
  CHECK(History.reportOf(Now, milliseconds(0), Report).Running == 9);
  const engine_report Old = History.reportOf(Now, milliseconds(400), Report);
  CHECK(Old.Running == 5);
  CHECK(Old.Age == milliseconds(400));
}

TEST_CASE("cache events come late, with gaps, and in order") {
  prefix_cache Cache(2);
  const time_point Start{};
  CHECK_FALSE(Cache.use(Start, "a", 1));
  CHECK(Cache.use(Start, "a", 1));
  CHECK_FALSE(Cache.use(Start, "b", 1));
  CHECK_FALSE(Cache.use(Start + milliseconds(50), "a", 2));
  const auto Events = [&](std::uint64_t Since, int Lag, std::uint64_t Gap) {
    std::vector<std::uint64_t> Sequences;
    for (const engine_cache_event &Event : Cache.eventsSince(
             Start + milliseconds(60), Since, milliseconds(Lag), Gap))
      Sequences.push_back(Event.Sequence);
    return Sequences;
  };
  CHECK(Events(0, 0, 0) == std::vector<std::uint64_t>{1, 2, 3, 4});
  CHECK(Events(0, 20, 0) == std::vector<std::uint64_t>{1, 2});
  CHECK(Events(1, 0, 3) == std::vector<std::uint64_t>{2, 4});
  CHECK_FALSE(Cache.use(Start, "a", 1));
}

namespace {

/// A model under a random history, with the tokens that requests still expect.
struct model_history {
  engine_simulator Model{plainSettings(), 1};
  std::map<std::uint64_t, std::uint32_t> Left;
  std::uint64_t LastId = 0;
  time_point Now{};

  void submit(const std::string &Adapter) {
    engine_request Request =
        request(++LastId, Adapter, *rc::gen::inRange(0, 4));
    Request.AnswerTokens = *rc::gen::inRange<std::uint32_t>(1, 4);
    Left[LastId] = Request.AnswerTokens;
    Model.submit(Now, Request);
  }

  void cancel() {
    const auto Id = *rc::gen::inRange<std::uint64_t>(0, LastId + 1);
    Model.cancel(Id);
    Left.erase(Id);
  }

  void unload(const std::string &Adapter) {
    std::vector<std::uint64_t> Cut;
    Model.unload(Adapter, 1, Cut);
    for (const std::uint64_t Id : Cut)
      RC_ASSERT(Left.erase(Id) == 1U);
  }

  void step() {
    Now = *Model.stepEnd();
    const std::vector<generated_token> Tokens = Model.step(Now);
    RC_ASSERT(Tokens.size() <= plainSettings().BatchSize);
    for (const generated_token &Token : Tokens) {
      RC_ASSERT(Left.at(Token.Request) > 0U);
      RC_ASSERT(Token.Last == (--Left.at(Token.Request) == 0));
      if (Token.Last)
        Left.erase(Token.Request);
    }
  }
};

} // namespace

TEST_CASE("every request gets all of its tokens unless it is ended") {
  rc::prop("any history of submits, steps, cancels and unloads", [] {
    model_history History;
    const int Events = *rc::gen::inRange(1, 80);
    for (int Event = 0; Event < Events; ++Event) {
      const std::string Adapter = *rc::gen::element<std::string>("a", "b");
      const int Kind = *rc::gen::inRange(0, 20);
      if (!History.Model.serves(Adapter)) {
        History.Model.beginLoad(Adapter, 1);
        History.Model.finishLoad(Adapter, 1, true);
      } else if (Kind < 10) {
        History.submit(Adapter);
      } else if (Kind < 12) {
        History.cancel();
      } else if (Kind == 12) {
        History.unload(Adapter);
      } else if (History.Model.stepEnd()) {
        History.step();
      }
    }
    while (History.Model.stepEnd())
      History.step();
    RC_ASSERT(History.Left.empty());
  });
}
