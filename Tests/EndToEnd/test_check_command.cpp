// A script sends a configuration because the exit code of its check did not
// tell findings from a file that can't be checked, or asked for a platform.

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
  CHECK(Check({GoodFile, "--against", BadFile}).ExitCode == 0);
  const program_result Findings = Check({BadFile, "--against", GoodFile});
  CHECK(Findings.ExitCode == 1);
  CHECK_THAT(Findings.Output,
             Catch::Contains("error: routes[0] \"r\" service: ") &&
                 Catch::Contains("changed: configuration version: 1 -> 2"));
  CHECK(Check({TornFile}).ExitCode == 1);
  CHECK(Check({GoodFile, "--against", TornFile}).ExitCode == 2);
  CHECK(Check({Folder.path() / "none"}).ExitCode == 2);
  CHECK(Check({}).ExitCode == 2);
}
