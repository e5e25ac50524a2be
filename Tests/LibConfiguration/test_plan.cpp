#include "LibConfiguration/configuration_plan.h"
#include "LibConfiguration/intent_text.h"
#include "LibCore/result_code.h"
#include "Support/fake_platform.h"
#include "sample_intent.h"

#include <set>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

static const plan_confirmation ByAnna{"anna", {1'000}, [](milliseconds) {}};

static configuration_plan planRate(const platform_port &Platform, double Rate,
                                   const std::string &Nonce) {
  intent Intent = sampleIntent();
  Intent.Customers[0].Rate = {Rate};
  return makePlan(readConfiguration(Platform), Intent, Nonce);
}

static result_code codeOf(const std::function<void()> &Work) {
  try {
    Work();
  } catch (const spindle_error &Error) {
    return Error.code();
  }
  return result_code::Internal;
}

TEST_CASE("a plan lists its changes and survives serialization") {
  fake_platform Fake;
  const platform_port Platform = Fake.port();
  confirmPlan(Platform, planRate(Platform, 100, "first"), ByAnna);
  intent Intent = sampleIntent();
  Intent.Customers[0].Rate = {250};
  Intent.Keys.pop_back();
  Intent.Adapters.pop_back();
  const configuration_plan Plan =
      makePlan(readConfiguration(Platform), Intent, "second");
  std::vector<std::string> Lines;
  for (const intent_change &Change : Plan.Changes)
    Lines.push_back(describeChange(Change));
  CHECK(Lines == std::vector<std::string>{
                     "customer aalst changed (ratePerSecond: 100.0 -> 250.0)",
                     "key mechelen-1 withdrawn",
                     "adapter pickler-3@2 removed"});
  const std::string Text = writePlan(Plan);
  CHECK(writeIntent(readPlan(Text, "plan").Intent) == writeIntent(Intent));
  std::string Changed = Text;
  Changed.replace(Changed.find("250"), 3, "999");
  CHECK(codeOf([&] { readPlan(Changed, "plan"); }) ==
        result_code::InvalidIntent);
}

TEST_CASE(
    "a plan based on an older version is refused with the changes since") {
  fake_platform Fake;
  const platform_port Platform = Fake.port();
  const configuration_plan Mine = planRate(Platform, 1, "mine");
  confirmPlan(Platform, planRate(Platform, 2, "other"), ByAnna);
  CHECK(codeOf([&] { confirmPlan(Platform, Mine, ByAnna); }) ==
        result_code::PlanOutdated);
  CHECK_THROWS_WITH(confirmPlan(Platform, Mine, ByAnna),
                    Catch::Contains("version 1 by anna"));
}

TEST_CASE(
    "the audit trail keeps every change, also those moved out of the head") {
  fake_platform Fake;
  const platform_port Platform = Fake.port();
  for (int Change = 1; Change <= 30; ++Change)
    confirmPlan(Platform,
                planRate(Platform, Change, "n" + std::to_string(Change)),
                ByAnna);
  const std::vector<audit_entry> Entries = readAudit(Platform, 100);
  REQUIRE(Entries.size() == 30);
  for (std::size_t Index = 0; Index < Entries.size(); ++Index)
    CHECK(Entries[Index].Version == 30 - Index);
  CHECK(writeHead(readConfiguration(Platform)->Head).size() < 8'000);
}

TEST_CASE("each version has one writer among racing operators, also if "
          "responses are lost, and the audit trail has every change") {
  rc::prop("any order of plans, confirmations, lost responses, failures", [] {
    fake_platform Fake;
    const platform_port Platform = Fake.port();
    std::vector<configuration_plan> Plans;
    std::vector<std::string> Succeeded;
    for (int Step = 0; Step < 12; ++Step) {
      const int Event = *rc::gen::inRange(0, 3);
      if (Event == 0 || Plans.empty())
        Plans.push_back(planRate(Platform, Step + 1, std::to_string(Step)));
      if (Event == 1)
        Fake.setFaults(
            {false, *rc::gen::inRange(0, 9), *rc::gen::inRange(0, 5)});
      const configuration_plan &Plan =
          Plans[*rc::gen::inRange<std::size_t>(0, Plans.size())];
      const auto Before = readConfigurationHead(Platform);
      try {
        const configuration_head Head = confirmPlan(Platform, Plan, ByAnna);
        RC_ASSERT(Head.Version > Plan.BaseVersion);
        Succeeded.push_back(Plan.Nonce);
      } catch (const spindle_error &Error) {
        // If refused as outdated, this confirmation changed nothing.
        const auto After = readConfigurationHead(Platform);
        if (Error.code() == result_code::PlanOutdated)
          RC_ASSERT(After == Before);
      }
    }
    Fake.setFaults({});
    std::set<std::string> Audited;
    const std::vector<audit_entry> Entries = readAudit(Platform, 100);
    for (const audit_entry &Entry : Entries)
      RC_ASSERT(Audited.insert(Entry.Nonce).second);
    for (const std::string &Nonce : Succeeded)
      RC_ASSERT(Audited.count(Nonce) == 1U);
    const auto Head = readConfigurationHead(Platform);
    RC_ASSERT(Entries.size() == (Head ? Head->first.Version : 0));
  });
}
