// Keeps the pages that list codes, events and fields equal to the code.
// Meta/update-pages.sh writes what these tests expect.

#include "LibConfiguration/intent_text.h"
#include "LibCore/result_code.h"
#include "LibLog/log.h"
#include "LibSettings/host_settings.h"

#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

using namespace spindle;

namespace {

const std::string Folder = SPINDLE_SOURCE_DIRECTORY "/docs/";

std::string readPage(const std::string &Name) {
  std::ifstream Stream(Folder + Name);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

/// Replaces what stands between the page's generated-text marks.
std::string withGenerated(const std::string &Page, const std::string &Mark,
                          const std::string &Text) {
  const std::string Begin = "<!-- begin " + Mark + " -->\n";
  const std::string End = "<!-- end " + Mark + " -->";
  const std::size_t From = Page.find(Begin);
  const std::size_t To = Page.find(End);
  INFO("the page has no mark " << Mark);
  REQUIRE(From != std::string::npos);
  REQUIRE(To != std::string::npos);
  return Page.substr(0, From + Begin.size()) + Text + Page.substr(To);
}

void checkPage(const std::string &Name, const std::string &Mark,
               const std::string &Text) {
  const std::string Page = readPage(Name);
  const std::string Expected = withGenerated(Page, Mark, Text);
  if (std::getenv("SPINDLE_UPDATE_PAGES"))
    std::ofstream(Folder + Name) << Expected;
  else
    CHECK(Page == Expected);
}

std::string resultCodeTable() {
  std::ostringstream Text;
  Text << "| code | name | HTTP | the request is | meaning |\n"
          "| --- | --- | --- | --- | --- |\n";
  for (const result_code_info &Info : resultCodes())
    Text << "| " << static_cast<int>(Info.Code) << " | " << Info.Name << " | "
         << Info.HttpStatus << " | " << toText(Info.State) << " | "
         << Info.Meaning << " |\n";
  return Text.str();
}

std::string_view severityName(log_severity Severity) {
  static constexpr std::string_view Names[] = {"debug", "info", "warning",
                                               "error"};
  return Names[static_cast<std::size_t>(Severity)];
}

std::string logEventTable() {
  std::ostringstream Text;
  Text << "| event | name | severity | meaning |\n| --- | --- | --- | --- |\n";
  for (const log_event_info &Info : logEvents())
    Text << "| " << static_cast<int>(Info.Event) << " | " << Info.Name << " | "
         << severityName(Info.Severity) << " | " << Info.Meaning << " |\n";
  return Text.str();
}

} // namespace

TEST_CASE("the page of result codes lists what the code has") {
  checkPage("RESULT-CODES.md", "result codes", resultCodeTable());
}

TEST_CASE("the page of log events lists what the code has") {
  checkPage("LOG-EVENTS.md", "log events", logEventTable());
}

TEST_CASE("the page of operation lists every setting and intent field") {
  checkPage("OPERATIONS.md", "settings", printSettingsReference());
  checkPage("OPERATIONS.md", "intent", printIntentReference());
}

TEST_CASE("codes and events are in ascending order and used once") {
  int Last = 0;
  for (const result_code_info &Info : resultCodes()) {
    CHECK(static_cast<int>(Info.Code) > Last);
    Last = static_cast<int>(Info.Code);
  }
  Last = 0;
  std::set<std::string_view> Names;
  for (const log_event_info &Info : logEvents()) {
    CHECK(static_cast<int>(Info.Event) > Last);
    CHECK(Names.insert(Info.Name).second);
    Last = static_cast<int>(Info.Event);
  }
}
