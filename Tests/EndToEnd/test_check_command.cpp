// A script sends a configuration because the exit code of its check did not
// tell findings from a file that can't be checked, or asked for a platform.

#include "LibForwarding/object_store_stand_in.h"
#include "LibRuntime/fiber_runtime.h"
#include "child_process.h"
#include "temporary_folder.h"

#include <fstream>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

constexpr const char *Good = R"({"version":1,"services":[{"name":"s"}],
  "routes":[{"name":"r","host":"a.example","path-prefix":"/","service":"s"}]})";
constexpr const char *Bad = R"({"version":2,"services":[{"name":"s"}],
  "routes":[{"name":"r","host":"a.example","path-prefix":"/","service":"t"}]})";

std::string write(const temporary_folder &Folder, const std::string &Name,
                  const char *Text) {
  std::string File = Folder.path() / Name;
  std::ofstream(File) << Text;
  return File;
}

} // namespace

TEST_CASE("spindlectl check ends with another exit code than documented") {
  const temporary_folder Folder;
  const std::string GoodFile = write(Folder, "good", Good);
  const std::string BadFile = write(Folder, "bad", Bad);
  const std::string TornFile = write(Folder, "torn", "{\"version\":1,");
  const auto Check = [](std::vector<std::string> Arguments) {
    Arguments.insert(Arguments.begin(), "check");
    return runProgram("spindlectl", Arguments);
  };
  CHECK(Check({GoodFile}).ExitCode == 0);
  CHECK(Check({GoodFile, "--against", GoodFile}).ExitCode == 0);
  CHECK(Check({GoodFile, "--against", BadFile}).ExitCode == 1);
  const program_result Findings = Check({BadFile, "--against", GoodFile});
  CHECK(Findings.ExitCode == 1);
  CHECK_THAT(Findings.Output,
             Catch::Contains("error: routes[0] \"r\" service: ") &&
                 Catch::Contains("changed: configuration version: 1 -> 2"));
  const nlohmann::json Shown = nlohmann::json::parse(
      Check({BadFile, "--against", GoodFile, "--json"}).Output);
  CHECK(Shown.at("findings").size() == 3);
  CHECK(Shown.at("differences").size() == 2);
  CHECK(Check({TornFile}).ExitCode == 1);
  CHECK(Check({GoodFile, "--against", TornFile}).ExitCode == 2);
  CHECK(Check({Folder.path() / "none"}).ExitCode == 2);
  CHECK(Check({}).ExitCode == 2);
}

TEST_CASE("spindlectl check takes a store that it can't read for one that "
          "holds the same") {
  const temporary_folder Folder;
  const std::string File = write(Folder, "good", Good);
  fiber_runtime Runtime{1};
  object_store_stand_in Store{Runtime};
  const auto Check = [&] {
    return runProgram("spindlectl",
                      {"--platform", toText(Store.address()), "check", File});
  };
  CHECK(Check().ExitCode == 2);
  nlohmann::json InForce = nlohmann::json::parse(Good);
  InForce["version"] = 0;
  Store.put("config", "main", InForce);
  const program_result Newer = Check();
  CHECK(Newer.ExitCode == 0);
  CHECK_THAT(Newer.Output,
             Catch::Contains("changed: configuration version: 0 -> 1"));
  InForce["version"] = 2;
  Store.put("config", "main", InForce);
  const program_result Older = Check();
  CHECK(Older.ExitCode == 1);
  CHECK_THAT(Older.Output, Catch::Contains("error: configuration version: "));
  Store.setDown(true);
  CHECK(Check().ExitCode == 2);
}
