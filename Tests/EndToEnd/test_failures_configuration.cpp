#include "EndToEnd/caller.h"

#include <thread>

#include <catch2/catch.hpp>

using namespace spindle;
using json = nlohmann::json;

namespace {

constexpr int ExitPlanOutdated = 3;
constexpr int ExitNotInForceYet = 5;
constexpr seconds MostUntilInForce{5};
constexpr seconds MostUntilWithdrawn{3};
constexpr seconds MostUntilNoNewWork{3};

std::function<void(json &)> withAdapter(const std::string &Name) {
  return [Name](json &Intent) {
    Intent["adapters"].push_back(
        {{"name", Name}, {"versions", {"1"}}, {"model", "deksel-llm"}});
  };
}

/// Whether host \p Index lists the adapter to its callers.
bool lists(fleet &Fleet, std::size_t Index, const std::string &Adapter) {
  const http_response Response =
      Fleet.call(Index, {"GET", "/v1/models", callerFields()});
  return Response.Body.find('"' + Adapter) != std::string::npos;
}

/// Writes a plan for an intent to a file and returns its path.
std::string plan(fleet &Fleet, const std::string &Name,
                 const std::function<void(json &)> &Change) {
  const std::string Intent = Fleet.writeIntent(Name + "-intent.json", Change);
  std::string Plan = Fleet.filePath(Name + "-plan.json");
  const program_result Result = Fleet.spindlectl({"plan", Intent, "-o", Plan});
  INFO(Result.Output);
  REQUIRE(Result.ExitCode == 0);
  return Plan;
}

/// How many requests and calls an upstream has received.
std::uint64_t workOf(fleet &Fleet, const endpoint &Engine) {
  std::uint64_t Sum = 0;
  for (const json &Count :
       Fleet.control(Engine, "/control/record").at("requests_by_adapter"))
    Sum += Count.get<std::uint64_t>();
  return Sum;
}

} // namespace

TEST_CASE("a zone cut off from the platform serves on and catches up") {
  // Longer than the hosts' leases.
  constexpr seconds CutTime{12};
  fleet Fleet({3, 3, 3});
  Fleet.applyIntent();
  for (std::size_t Host = 0; Host < 3; ++Host)
    REQUIRE(requestCompletion(Fleet, Host, {"pickler@1", "warm"}).Whole);
  const std::string Plan = plan(Fleet, "meanwhile", withAdapter("meanwhile"));
  Fleet.setControl(Fleet.Platform, {{"cut_zones", {"b"}}});
  const time_point Start = boot_clock::now();
  const program_result Applied =
      Fleet.spindlectl({"--yes", "--wait", "6", "apply", Plan});
  INFO(Applied.Output);
  CHECK(Applied.ExitCode == ExitNotInForceYet);
  for (const std::size_t Host : {0U, 2U})
    CHECK(lists(Fleet, Host, "meanwhile"));
  bool Named = false;
  std::size_t Place = 0;
  while (Place < Applied.Output.size()) {
    const std::size_t End = Applied.Output.find('\n', Place);
    const std::string Line = Applied.Output.substr(Place, End - Place);
    Named = Named || (Line.starts_with("host-1 ") &&
                      Line.find("confirmed") == std::string::npos);
    CHECK_FALSE((Line.starts_with("host-0 ") &&
                 Line.find("confirmed") == std::string::npos));
    if (End == std::string::npos)
      break;
    Place = End + 1;
  }
  CHECK(Named);
  std::size_t Round = 0;
  while (boot_clock::now() - Start < CutTime) {
    const completion_question Question{"pickler@1",
                                       "cut " + std::to_string(Round++)};
    const caller_answer Answer = requestCompletion(Fleet, 1, Question);
    INFO("completion " << Round << ": " << describe(Answer));
    CHECK(Answer.Whole);
    CHECK(isOwnOrError(Answer, Question));
    const caller_answer Stock = checkStock(Fleet, 1);
    INFO("stock check " << Round << ": " << describe(Stock));
    CHECK(Stock.Whole);
    sleepFor(milliseconds(250));
  }
  Fleet.setControl(Fleet.Platform, {{"cut_zones", json::array()}});
  CHECK(holdsWithin(MostUntilInForce,
                    [&] { return lists(Fleet, 1, "meanwhile"); }));
  CHECK(holdsWithin(MostUntilInForce, [&] {
    return Fleet.spindlectl({"status"}).ExitCode == 0;
  }));
  CHECK(requestCompletion(Fleet, 1, {"meanwhile@1", "healed"}).Whole);
}

TEST_CASE("the second of two plans made from one version is outdated") {
  fleet Fleet({1, 1, 0});
  Fleet.applyIntent();
  const std::string First = plan(Fleet, "first", withAdapter("first"));
  const std::string Second = plan(Fleet, "second", withAdapter("second"));
  CHECK(Fleet.spindlectl({"--yes", "apply", First}).ExitCode == 0);
  const program_result Late = Fleet.spindlectl({"--yes", "apply", Second});
  CHECK(Late.ExitCode == ExitPlanOutdated);
  CHECK(lists(Fleet, 0, "first"));
  CHECK_FALSE(lists(Fleet, 0, "second"));
}

TEST_CASE("of two operators who apply at the same time one is refused") {
  constexpr int Rounds = 4;
  fleet Fleet({1, 1, 0});
  Fleet.applyIntent();
  for (int Round = 0; Round < Rounds; ++Round) {
    const std::string Names[] = {"left" + std::to_string(Round),
                                 "right" + std::to_string(Round)};
    std::string Plans[2];
    for (int Index = 0; Index < 2; ++Index)
      Plans[Index] = plan(Fleet, Names[Index], withAdapter(Names[Index]));
    int Codes[2] = {-1, -1};
    {
      std::vector<std::jthread> Operators;
      Operators.reserve(2);
      for (int Index = 0; Index < 2; ++Index)
        Operators.emplace_back([&, Index] {
          Codes[Index] =
              Fleet.spindlectl({"--yes", "apply", Plans[Index]}).ExitCode;
        });
    }
    INFO("exit codes " << Codes[0] << " and " << Codes[1]);
    CHECK(std::min(Codes[0], Codes[1]) == 0);
    CHECK(std::max(Codes[0], Codes[1]) == ExitPlanOutdated);
    for (int Index = 0; Index < 2; ++Index)
      CHECK(lists(Fleet, 0, Names[Index]) == (Codes[Index] == 0));
  }
}

TEST_CASE("a leaving upstream gets no new work") {
  fleet Fleet({2, 2, 2});
  Fleet.applyIntent();
  for (int Index = 0; Index < 8; ++Index) {
    REQUIRE(requestCompletion(Fleet, Index % 2,
                              {"pickler@1", "w" + std::to_string(Index)})
                .Whole);
    REQUIRE(checkStock(Fleet, Index % 2).Whole);
  }
  // The upstream with more work, as hosts prefer it.
  const std::size_t Leaving =
      workOf(Fleet, Fleet.Engines[0]) >= workOf(Fleet, Fleet.Engines[1]) ? 0
                                                                         : 1;
  const std::string Number = std::to_string(Leaving);
  Fleet.setMachineState("engine-" + Number, "leaving");
  Fleet.setMachineState("service-" + Number, "leaving");
  sleepFor(MostUntilNoNewWork);
  const std::uint64_t Engine = workOf(Fleet, Fleet.Engines[Leaving]);
  const std::uint64_t Service =
      sumOfRecords(Fleet, {Fleet.Services[Leaving]}, "arrived");
  for (int Index = 0; Index < 20; ++Index) {
    const caller_answer Answer =
        requestCompletion(Fleet, Index % 2,
                          {"pickler@" + std::to_string(1 + Index / 2 % 2),
                           "new work " + std::to_string(Index)});
    INFO(describe(Answer));
    CHECK(Answer.Whole);
    CHECK(checkStock(Fleet, Index % 2).Whole);
  }
  CHECK(workOf(Fleet, Fleet.Engines[Leaving]) == Engine);
  CHECK(sumOfRecords(Fleet, {Fleet.Services[Leaving]}, "arrived") == Service);
}

TEST_CASE("a configuration comes into force although the watch is stalled") {
  fleet Fleet({3, 1, 0});
  Fleet.applyIntent();
  Fleet.setControl(Fleet.Platform, {{"stale_watch", true}});
  for (int Round = 0; Round < 2; ++Round) {
    const std::string Name = "stalled" + std::to_string(Round);
    const std::string Plan = plan(Fleet, Name, withAdapter(Name));
    const time_point Start = boot_clock::now();
    const program_result Applied = Fleet.spindlectl({"--yes", "apply", Plan});
    INFO(Applied.Output);
    CHECK(Applied.ExitCode == 0);
    CHECK(boot_clock::now() - Start < MostUntilInForce);
    for (std::size_t Host = 0; Host < 3; ++Host)
      CHECK(lists(Fleet, Host, Name));
  }
}

TEST_CASE("a withdrawn key stops working at every host") {
  fleet Fleet({3, 1, 1});
  Fleet.applyIntent();
  for (std::size_t Host = 0; Host < 3; ++Host)
    REQUIRE(checkStock(Fleet, Host).Whole);
  const time_point Start = boot_clock::now();
  const program_result Result =
      Fleet.spindlectl({"--yes", "keys", "withdraw", "k1"});
  INFO(Result.Output);
  CHECK(Result.ExitCode == 0);
  CHECK(boot_clock::now() - Start < MostUntilWithdrawn);
  for (std::size_t Host = 0; Host < 3; ++Host) {
    const caller_answer Answer = checkStock(Fleet, Host);
    CHECK(Answer.is(result_code::KeyUnknown));
    CHECK(Answer.State == "not run");
  }
}
