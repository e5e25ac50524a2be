// The estimated cost of requests: what is learned from their ends, how fast a
// shift is followed, and what wrong hints and many adapters can do to it.

#include "LibScheduling/cost_model.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <string>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

namespace {

/// One host of a fleet ends this many requests of a route a second.
constexpr milliseconds BetweenRequests{200};

/// Requests that differ in nothing but what a test sets.
cost_features plainFeatures() {
  cost_features Features;
  Features.Service = "models";
  Features.Route = "notes";
  Features.Customer = "first";
  return Features;
}

/// How far estimates are from the outputs, as a factor that is 1 at best.
struct ratio_errors {
  std::vector<double> Factors;

  void note(std::int64_t Estimate, std::int64_t Output) {
    const double Ratio =
        static_cast<double>(Estimate) / static_cast<double>(Output);
    Factors.push_back(std::max(Ratio, 1 / Ratio));
  }
  double quantile(double Part) {
    std::sort(Factors.begin(), Factors.end());
    return Factors[static_cast<std::size_t>(
        Part * static_cast<double>(Factors.size() - 1))];
  }
};

/// Requests with seeded outputs, one after the other on a virtual clock.
class request_history {
public:
  std::int64_t draw(double Median, double Octaves) {
    std::normal_distribution<double> Spread(0, Octaves);
    return std::max<std::int64_t>(
        1, std::llround(Median * std::exp2(Spread(Random))));
  }
  bool chance(double Part) { return std::bernoulli_distribution(Part)(Random); }
  std::size_t index(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(Random);
  }
  void end(const cost_features &Features, std::int64_t Output) {
    Now += BetweenRequests;
    noteOutput(Model, Features, Output, Now);
  }
  request_cost estimate(const cost_features &Features) const {
    return estimateCost(Model, Features, Now);
  }

  cost_model Model;
  time_point Now{seconds(1)};

private:
  std::mt19937_64 Random{20261204};
};

enum class lie { Constant, Huge, Scaled, Alternating };

std::int64_t hintOf(lie Lie, std::int64_t Output, int Request) {
  switch (Lie) {
  case lie::Constant:
    return 1;
  case lie::Huge:
    return std::int64_t{1} << 60U;
  case lie::Scaled:
    return Output / 20;
  case lie::Alternating:
    break;
  }
  return Request % 2 == 0 ? 1 : std::int64_t{1} << 30U;
}

bool isWithin(std::int64_t Value, std::int64_t Target, double Factor) {
  const double Ratio = static_cast<double>(Value) / static_cast<double>(Target);
  return Ratio <= Factor && Ratio >= 1 / Factor;
}

} // namespace

TEST_CASE("an estimate is sound before anything is learned") {
  const cost_model Model;
  const time_point Now{seconds(1)};
  cost_features Features = plainFeatures();
  Features.PromptTokens = 700;
  CHECK(estimateCost(Model, Features, Now).PromptTokens == 700);
  CHECK(estimateCost(Model, Features, Now).OutputTokens > 0);
  Features.MaxOutputTokens = 400;
  CHECK(estimateCost(Model, Features, Now).OutputTokens == 100);
  Features.OutputHint = 60;
  CHECK(estimateCost(Model, Features, Now).OutputTokens == 60);
  Features.OutputHint = 1'000'000'000'000;
  CHECK(estimateCost(Model, Features, Now).OutputTokens == 400);
  CHECK(estimateCost(Model, Features, Now).HighOutputTokens == 400);
  Features.OutputHint = -5;
  CHECK(estimateCost(Model, Features, Now).OutputTokens == 100);
  CHECK_FALSE(plainMilliseconds(Model, Features, Now));
}

// Size classes double, so an estimate that is off by more than two puts a
// request among others of another size; nine in ten must not be. Hints are
// right at the median, but one in three is far off.
TEST_CASE("learned estimates put most requests into their size class") {
  request_history History;
  cost_features Features = plainFeatures();
  Features.MaxOutputTokens = 4'096;
  const std::vector<std::string> Adapters{"short", "middle", "long"};
  const std::vector<double> Medians{50, 300, 1'500};
  ratio_errors Hints;
  ratio_errors Learned;
  std::size_t BelowHigh = 0;
  constexpr int Requests = 2'000;
  constexpr int Learning = 200;
  for (int Request = 0; Request < Requests; ++Request) {
    const std::size_t Chosen = History.index(Adapters.size());
    const std::int64_t Output =
        std::min<std::int64_t>(History.draw(Medians[Chosen], 0.5), 4'096);
    Features.Adapter = Adapters[Chosen];
    Features.OutputHint = History.draw(static_cast<double>(Output),
                                       History.chance(0.33) ? 3 : 0.3);
    const request_cost Cost = History.estimate(Features);
    if (Request >= Learning) {
      Hints.note(*Features.OutputHint, Output);
      Learned.note(Cost.OutputTokens, Output);
      BelowHigh += Output <= Cost.HighOutputTokens ? 1 : 0;
    }
    History.end(Features, Output);
  }
  std::printf("error as a factor, median and p90: hints %.2f %.2f, "
              "learned %.2f %.2f\n",
              Hints.quantile(0.5), Hints.quantile(0.9), Learned.quantile(0.5),
              Learned.quantile(0.9));
  CHECK(Learned.quantile(0.9) <= 2);
  CHECK(Learned.quantile(0.9) < Hints.quantile(0.9));
  const double Covered = static_cast<double>(BelowHigh) / (Requests - Learning);
  CHECK(Covered > 0.85);
  CHECK(Covered < 0.95);
}

TEST_CASE("the feature that explains the output is found") {
  request_history History;
  cost_features Features = plainFeatures();
  const bool ByAdapter = GENERATE(true, false);
  const auto Name = [&](bool IsLong) {
    (ByAdapter ? Features.Adapter : Features.Customer) =
        IsLong ? "long" : "short";
    (ByAdapter ? Features.Customer : Features.Adapter) =
        History.chance(0.5) ? "one" : "other";
  };
  for (int Request = 0; Request < 200; ++Request) {
    const bool IsLong = History.chance(0.5);
    Name(IsLong);
    History.end(Features, History.draw(IsLong ? 1'000 : 50, 0.3));
  }
  Name(true);
  CHECK(isWithin(History.estimate(Features).OutputTokens, 1'000, 2));
  Name(false);
  CHECK(isWithin(History.estimate(Features).OutputTokens, 50, 2));
  SECTION("an unknown adapter counts as its customer or route") {
    Features.Adapter = "unknown";
    const request_cost Cost = History.estimate(Features);
    CHECK(Cost.OutputTokens >= 25);
    CHECK(Cost.OutputTokens <= 2'000);
  }
}

// Demand moves to other work at once; estimates of the work before would send
// requests to servers that have no room for them.
TEST_CASE("a shift of demand is followed within five seconds") {
  request_history History;
  cost_features Features = plainFeatures();
  for (int Request = 0; Request < 300; ++Request)
    History.end(Features, History.draw(50, 0.5));
  REQUIRE(isWithin(History.estimate(Features).OutputTokens, 50, 2));
  const time_point Shifted = History.Now;
  while (History.Now < Shifted + seconds(5))
    History.end(Features, History.draw(800, 0.5));
  CHECK(isWithin(History.estimate(Features).OutputTokens, 800, 2));
}

TEST_CASE("wrong hints cost only their own customer") {
  request_history History;
  cost_features Honest = plainFeatures();
  cost_features Liar = plainFeatures();
  Liar.Customer = "liar";
  const auto Lie =
      GENERATE(lie::Constant, lie::Huge, lie::Scaled, lie::Alternating);
  std::vector<request_cost> Alone;
  for (const bool WithLiar : {false, true}) {
    History = request_history();
    std::mt19937_64 Outputs(7);
    std::normal_distribution<double> Spread(0, 0.5);
    for (int Request = 0; Request < 300; ++Request) {
      const std::int64_t Output =
          std::llround(200 * std::exp2(Spread(Outputs)));
      Honest.OutputHint = Output;
      if (WithLiar)
        Liar.OutputHint = hintOf(Lie, Output, Request);
      if (Request >= 100 && WithLiar)
        CHECK(isWithin(History.estimate(Liar).OutputTokens, 200, 4));
      History.end(Liar, Output);
      History.end(Honest, Output);
      const request_cost Cost = History.estimate(Honest);
      if (!WithLiar) {
        Alone.push_back(Cost);
        continue;
      }
      REQUIRE(Cost.OutputTokens == Alone[Request].OutputTokens);
      REQUIRE(Cost.HighOutputTokens == Alone[Request].HighOutputTokens);
    }
  }
}

// Most adapters are rare: their cells must neither grow in number nor push out
// those of the adapters that carry the load.
TEST_CASE("62,000 adapters take bounded memory and leave the busy ones") {
  request_history History;
  cost_features Features = plainFeatures();
  const std::size_t Cells = History.Model.Adapters.size();
  const auto Busy = [](std::size_t Index) {
    return "busy" + std::to_string(Index);
  };
  constexpr std::size_t BusyCount = 50;
  for (std::size_t Request = 0; Request < 62'000; ++Request) {
    const std::size_t Index = History.index(BusyCount);
    const std::string Known = Busy(Index);
    Features.Adapter = Known;
    History.Now -= BetweenRequests;
    History.end(Features, History.draw(Index % 2 == 0 ? 50 : 800, 0.3));
    const std::string Rare = "rare" + std::to_string(Request);
    Features.Adapter = Rare;
    History.Now -= BetweenRequests;
    History.end(Features, History.draw(200, 1));
    History.Now += milliseconds(5);
  }
  CHECK(History.Model.Adapters.size() == Cells);
  const std::size_t Histories =
      Cells + History.Model.Services.size() + History.Model.Routes.size() +
      History.Model.Customers.size() + History.Model.Hints.size() +
      History.Model.Errors.size() + History.Model.PlainRoutes.size() +
      History.Model.PlainCustomers.size();
  CHECK(Histories * sizeof(cost_history) < 1U << 20U);
  std::size_t Known = 0;
  for (std::size_t Index = 0; Index < BusyCount; ++Index) {
    const std::string Name = Busy(Index);
    Features.Adapter = Name;
    Known += isWithin(History.estimate(Features).OutputTokens,
                      Index % 2 == 0 ? 50 : 800, 2);
  }
  CHECK(Known >= BusyCount * 9 / 10);
}

TEST_CASE("a running request is expected to end before its limit") {
  const request_cost Cost{100, 50, 200};
  CHECK(remainingOutput(Cost, 0, 0) == 50);
  CHECK(remainingOutput(Cost, 60, 0) == 30);
  CHECK(remainingOutput(Cost, 400, 0) == 100);
  CHECK(remainingOutput(Cost, 400, 420) == 20);
  CHECK(remainingOutput(Cost, 420, 420) == 0);
}

TEST_CASE("the time of requests without a model is learned by customer") {
  request_history History;
  cost_features Quick = plainFeatures();
  cost_features Slow = plainFeatures();
  Slow.Customer = "slow";
  for (int Request = 0; Request < 50; ++Request) {
    History.Now += BetweenRequests;
    notePlain(History.Model, Quick, milliseconds(History.draw(20, 0.3)),
              History.Now);
    notePlain(History.Model, Slow, milliseconds(History.draw(300, 0.3)),
              History.Now);
  }
  const auto Milliseconds = [&](const cost_features &Features) {
    return plainMilliseconds(History.Model, Features, History.Now)->count();
  };
  CHECK(isWithin(Milliseconds(Quick), 20, 2));
  CHECK(isWithin(Milliseconds(Slow), 300, 2));
}

TEST_CASE("estimates stay in order and within the limit") {
  rc::prop("after any notes", [] {
    cost_model Model;
    time_point Now{seconds(1)};
    const auto Names = rc::gen::element<std::string>("", "a", "b", "c");
    const auto Numbers =
        rc::gen::oneOf(rc::gen::inRange<std::int64_t>(-2, 5'000),
                       rc::gen::arbitrary<std::int64_t>());
    for (int Step = 0; Step < 100; ++Step) {
      const std::string Route = *Names;
      const std::string Customer = *Names;
      const std::string Adapter = *Names;
      cost_features Features{"s", Route, Customer, Adapter, *Numbers, {}, 0};
      Features.MaxOutputTokens = *Numbers;
      if (*rc::gen::arbitrary<bool>())
        Features.OutputHint = *Numbers;
      const request_cost Cost = estimateCost(Model, Features, Now);
      RC_ASSERT(Cost.PromptTokens >= 0);
      RC_ASSERT(Cost.OutputTokens >= 0);
      RC_ASSERT(Cost.OutputTokens <= Cost.HighOutputTokens);
      if (Features.MaxOutputTokens > 0)
        RC_ASSERT(Cost.HighOutputTokens <= Features.MaxOutputTokens);
      noteOutput(Model, Features, *Numbers, Now);
      Now += milliseconds(*rc::gen::inRange(0, 40'000));
    }
  });
}
