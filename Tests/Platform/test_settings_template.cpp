#include "LibCore/result_code.h"
#include "LibSettings/host_settings.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

using template_values = std::map<std::string, std::string>;

std::string readTemplate() {
  const std::filesystem::path Path =
      std::filesystem::path(SPINDLE_SOURCE_DIRECTORY) /
      "deploy/settings.template.json";
  std::ifstream File(Path);
  REQUIRE(File);
  return {std::istreambuf_iterator<char>(File), {}};
}

/// Removes the sections "{{#name}}..{{/name}}" of names without a value, and
/// the marks of the others.
std::string renderSections(std::string Text, const template_values &Values) {
  while (true) {
    const std::size_t Start = Text.find("{{#");
    if (Start == std::string::npos)
      return Text;
    const std::size_t NameEnd = Text.find("}}", Start);
    const std::string Name = Text.substr(Start + 3, NameEnd - Start - 3);
    const std::string EndMark = "{{/" + Name + "}}";
    const std::size_t End = Text.find(EndMark, NameEnd);
    REQUIRE(End != std::string::npos);
    const std::string Inner = Values.contains(Name)
                                  ? Text.substr(NameEnd + 2, End - NameEnd - 2)
                                  : std::string();
    Text.replace(Start, End + EndMark.size() - Start, Inner);
  }
}

/// Fills a template as the platform does, as far as ours uses its forms.
std::string render(const template_values &Values) {
  std::string Text = renderSections(readTemplate(), Values);
  while (true) {
    const std::size_t Start = Text.find("{{");
    if (Start == std::string::npos)
      return Text;
    const std::size_t End = Text.find("}}", Start);
    std::string Name = Text.substr(Start + 2, End - Start - 2);
    if (Name.ends_with("|json"))
      Name.resize(Name.size() - 5);
    INFO(Name);
    REQUIRE(Values.contains(Name));
    Text.replace(Start, End + 2 - Start, Values.at(Name));
  }
}

template_values machine() {
  return {{"node-name", "front-a-1"},
          {"zone", "a"},
          {"ip", "10.1.0.25"},
          {"port-range.0", "7600"},
          {"seeds", R"(["10.1.0.25:8229","10.2.0.17:8229"])"},
          {"listen.front", "10.1.0.25:8221"},
          {"listen.ready", "10.1.0.25:8224"},
          {"listen.control", "10.1.0.25:8229"},
          {"platform.address", "10.200.1.7:8225"}};
}

/// The bounds of the known deployments that the template uses. A bound that a
/// deployment does not have is empty.
struct deployment_bounds {
  std::string RetrySlack;
  std::string RetryWindow;
  std::string Configuration;
  std::string Drain;
  std::string Evacuation;
};

const std::vector<deployment_bounds> Deployments = {
    {"52", "10", "2000", "2000", ""},  {"54", "10", "2000", "2000", ""},
    {"56", "10", "2000", "2000", ""},  {"174", "10", "3000", "3000", ""},
    {"188", "10", "3000", "3000", ""}, {"176", "10", "3000", "3000", "5000"},
    {"430", "10", "4000", "4000", ""}};

template_values valuesOf(const deployment_bounds &Bounds) {
  template_values Values = machine();
  Values["bounds.retry-budget-slack"] = Bounds.RetrySlack;
  Values["bounds.budget-window-s"] = Bounds.RetryWindow;
  Values["bounds.config-apply-ms"] = Bounds.Configuration;
  Values["bounds.drain-ms"] = Bounds.Drain;
  if (!Bounds.Evacuation.empty())
    Values["bounds.evacuate-ms"] = Bounds.Evacuation;
  return Values;
}

std::vector<std::string> boundNames(const template_values &Values) {
  std::vector<std::string> Names;
  for (const auto &[Name, Value] : Values)
    if (Name.starts_with("bounds."))
      Names.push_back(Name);
  return Names;
}

host_settings parse(const template_values &Values) {
  const std::string Text = render(Values);
  INFO(Text);
  return parseHostSettings(Text, "host.json");
}

} // namespace

TEST_CASE("the settings template gives valid settings for every deployment, "
          "with fractions, least and largest figures") {
  for (const deployment_bounds &Bounds : Deployments) {
    const template_values Values = valuesOf(Bounds);
    REQUIRE_NOTHROW(parse(Values));
    for (const std::string &Name : boundNames(Values)) {
      const std::string &Figure = Values.at(Name);
      const bool MayBeZero =
          Name == "bounds.retry-budget-slack" || Name == "bounds.evacuate-ms";
      const std::vector<std::string> Others = {Figure + ".5", Figure + ".0",
                                               "0.25", Figure + "0",
                                               MayBeZero ? "0" : "1"};
      for (const std::string &Other : Others) {
        template_values Changed = Values;
        Changed[Name] = Other;
        INFO(Name << " = " << Other);
        REQUIRE_NOTHROW(parse(Changed));
      }
    }
  }
}

TEST_CASE("a fraction of a bound is kept or rounded down") {
  template_values Values = valuesOf(Deployments.front());
  Values["bounds.retry-budget-slack"] = "17.25";
  Values["bounds.budget-window-s"] = "2.5";
  Values["bounds.config-apply-ms"] = "1999.9";
  Values["bounds.evacuate-ms"] = "0.25";
  const host_settings Settings = parse(Values);
  CHECK(Settings.Repeats.Extra == Approx(17.25));
  CHECK(Settings.Repeats.WindowSeconds == Approx(2.5));
  CHECK(Settings.Reaction.Configuration == milliseconds(1'999));
  CHECK(Settings.Reaction.Evacuation == milliseconds(1));
}

TEST_CASE("a figure that is no valid bound is refused with field and place") {
  for (const char *const Wrong : {"-1", "\"2\"", "1e12", "true"}) {
    template_values Values = valuesOf(Deployments.front());
    Values["bounds.retry-budget-slack"] = Wrong;
    try {
      parse(Values);
      FAIL("accepted " << Wrong);
    } catch (const spindle_error &Error) {
      CHECK(Error.code() == result_code::InvalidSettings);
      CHECK_THAT(Error.what(), Catch::Contains("repeats.extra: must be") &&
                                   Catch::Contains("host.json:"));
    }
  }
}
