#include "LibCore/result_code.h"
#include "LibLoad/arrival_plan.h"
#include "LibLoad/latency_histogram.h"
#include "LibLoad/load_summary.h"
#include "LibLoad/svg_plot.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <sstream>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

TEST_CASE("a histogram's percentiles are within one part in 32") {
  rc::prop("any durations", [] {
    const std::vector<std::uint32_t> Values =
        *rc::gen::nonEmpty<std::vector<std::uint32_t>>();
    latency_histogram Histogram;
    latency_histogram Other;
    std::vector<double> Sorted;
    for (const std::uint32_t Value : Values) {
      const std::chrono::microseconds Latency(Value % 90'000'000);
      Sorted.push_back(static_cast<double>(Latency.count()) / 1'000);
      (Sorted.size() % 2 == 0 ? Histogram : Other).record(Latency);
    }
    Histogram.merge(Other);
    std::sort(Sorted.begin(), Sorted.end());
    RC_ASSERT(Histogram.count() == Sorted.size());
    RC_ASSERT(Histogram.leastMs() == Sorted.front());
    RC_ASSERT(Histogram.greatestMs() == Sorted.back());
    for (const double Part : {0.5, 0.9, 0.99, 1.0}) {
      const double Place =
          std::ceil(Part * static_cast<double>(Sorted.size())) - 1;
      const double Exact = Sorted[static_cast<std::size_t>(Place)];
      RC_ASSERT(Histogram.percentileMs(Part) >= Exact);
      RC_ASSERT(Histogram.percentileMs(Part) <= Exact * 33 / 32 + 0.001);
    }
  });
}

static load_scenarios smallScenarios() {
  load_scenarios Common;
  Common.Seed = 7;
  Common.Customers = {{"a", "key-a", "a-", 100, "1", 3, 100, 1'000},
                      {"b", "key-b", "b-", 100, "1", 1, 100, 1'000}};
  Common.Classes = {{priority_class::Plain, 1, 100, 50, false}};
  return Common;
}

TEST_CASE("a plan is repeatable, in order, and customers keep their arrivals") {
  const load_scenarios Common = smallScenarios();
  load_scenario Scenario;
  Scenario.Seconds = 100;
  Scenario.RequestsPerSecond = 40;
  const std::vector<planned_request> Plan = planArrivals(Common, Scenario, 7);
  REQUIRE(Plan.size() > 3'600);
  REQUIRE(Plan.size() < 4'400);
  std::map<std::uint32_t, std::vector<nanoseconds>> Arrivals;
  std::map<std::uint32_t, int> Ranks;
  for (const planned_request &Request : Plan) {
    Arrivals[Request.Customer].push_back(Request.At);
    ++Ranks[Request.Adapter];
    CHECK(Request.Host < 7);
  }
  CHECK(Ranks[1] > 4 * Ranks[10]);
  CHECK(Arrivals[0].size() > 2 * Arrivals[1].size());
  CHECK(std::is_sorted(Arrivals[0].begin(), Arrivals[0].end()));

  Scenario.HeavyCustomer = 1;
  Scenario.HeavyTimes = 4;
  std::map<std::uint32_t, std::vector<nanoseconds>> Heavy;
  for (const planned_request &Request : planArrivals(Common, Scenario, 7))
    Heavy[Request.Customer].push_back(Request.At);
  CHECK(Heavy[0] == Arrivals[0]);
  CHECK(Heavy[1].size() > 3 * Arrivals[1].size());
}

static load_record recordAt(double Seconds, load_outcome Outcome, int Code) {
  load_record Record;
  Record.SentAt = nanoseconds(static_cast<std::int64_t>(Seconds * 1e9));
  Record.EndedAt = Record.SentAt + milliseconds(100);
  Record.Outcome = Outcome;
  Record.Code = Code;
  Record.ReservedTokens = 600;
  Record.UsedTokens = 600;
  return Record;
}

TEST_CASE("refusals are judged by a central bucket") {
  const load_scenarios Common = smallScenarios();
  const int RateExceeded = static_cast<int>(result_code::RateExceeded);
  const std::vector<load_record> Records = {
      recordAt(0, load_outcome::Whole, 0),
      // 405 tokens are left of the burst: rightly refused.
      recordAt(0.05, load_outcome::Refused, RateExceeded),
      // 610 are there two seconds later: wrongly refused, twice.
      recordAt(2.1, load_outcome::Refused, RateExceeded),
      recordAt(2.2, load_outcome::Refused,
               static_cast<int>(result_code::QueueFull)),
      recordAt(2.3, load_outcome::Whole, 0),
      // Served beyond what the bucket held.
      recordAt(2.35, load_outcome::Whole, 0)};
  const oracle_verdict Verdict = judgeRefusals(Common.Customers, Records)[0];
  CHECK(Verdict.Refused == 3);
  CHECK(Verdict.Wrongful == 2);
  CHECK(Verdict.WrongfulByRate == 1);
  CHECK(Verdict.GreatestExcess == Approx(565));
}

TEST_CASE("a summary counts outcomes by customer and class") {
  const load_scenarios Common = smallScenarios();
  std::vector<load_record> Records = {recordAt(0, load_outcome::Whole, 0),
                                      recordAt(0, load_outcome::Refused, 1'200),
                                      recordAt(0, load_outcome::Foreign, 0),
                                      recordAt(0, load_outcome::Broken, 0)};
  Records[0].FirstByteAt = milliseconds(1'300);
  Records[1].CodeName = "RateExceeded";
  Records[1].State = "not run";
  const load_summary Summary = summarise(Common, load_scenario{}, Records);
  CHECK(Summary.All.Sent == 4);
  CHECK(Summary.All.Stalled == 1);
  CHECK(Summary.Customers[0].second.Foreign == 1);
  CHECK(Summary.Customers[1].second.Sent == 0);
  CHECK(Summary.All.Refusals.at({"RateExceeded", "not run"}) == 1);
  const std::string Text = writeMarkdown({&Summary, 1});
  CHECK(Text.find("| all completions | 4 | 1 | 1 | 1 | 1 | 1 |") !=
        std::string::npos);
  CHECK(writeJson({&Summary, 1}).find("\"foreign\": 1") != std::string::npos);
}

TEST_CASE("the example scenarios are valid, and mistakes are named") {
  const std::string Path =
      std::string(SPINDLE_SOURCE_DIRECTORY) + "/Examples/scenarios.json";
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  CHECK(parseScenarios(Text.str(), Path).Scenarios.size() >= 7);
  try {
    parseScenarios(R"({"customers": [{"name": "a", "key": "k",
      "adapterPrefix": "a-", "speed": 1}], "classes": [{"class": "fast"}],
      "scenarios": []})",
                   "file");
    FAIL("no error");
  } catch (const spindle_error &Error) {
    const std::string Message = Error.what();
    CHECK(Message.find("customers[0].speed: unknown field") !=
          std::string::npos);
    CHECK(Message.find("classes[0].class: must be one of") !=
          std::string::npos);
  }
}

TEST_CASE("a plot has a line for each series") {
  const std::vector<plot_line> Lines = {{"a<b", {1, 2, 3}}, {"c", {5}}};
  const std::string Image = drawPlot({"title", "x", "y"}, Lines);
  CHECK(Image.find("a&lt;b") != std::string::npos);
  CHECK(std::count(Image.begin(), Image.end(), '\n') > 10);
  CHECK(Image.find("polyline") != Image.rfind("polyline"));
}
