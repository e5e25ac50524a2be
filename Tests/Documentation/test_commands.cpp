// Keeps the hand-written pages equal to the code: metrics, numbers of events
// and result codes, and links between pages.

#include "LibCore/result_code.h"
#include "LibLog/log.h"

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include <catch2/catch.hpp>

using namespace spindle;
namespace files = std::filesystem;

namespace {

const files::path Root = SPINDLE_SOURCE_DIRECTORY;

std::string readFile(const files::path &File) {
  std::ifstream Stream(File);
  REQUIRE(Stream);
  std::ostringstream Text;
  Text << Stream.rdbuf();
  return Text.str();
}

std::set<std::string> matchesIn(const std::string &Text,
                                const std::string &Pattern) {
  const std::regex Expression(Pattern);
  std::set<std::string> Found;
  for (std::sregex_iterator Match(Text.begin(), Text.end(), Expression), End;
       Match != End; ++Match)
    Found.insert(Match->str(1));
  return Found;
}

std::vector<files::path> filesIn(const files::path &Folder,
                                 const std::string &Extension) {
  std::vector<files::path> Found;
  for (const files::directory_entry &Entry :
       files::recursive_directory_iterator(Folder))
    if (Entry.path().extension() == Extension)
      Found.push_back(Entry.path());
  return Found;
}

} // namespace

TEST_CASE("the page of operation lists exactly the metrics that exist") {
  std::set<std::string> Emitted;
  for (const files::path &File : filesIn(Root / "Libraries", ".cpp"))
    Emitted.merge(matchesIn(readFile(File), "\"(spindle_[a-z_]+)\""));
  const std::string Page = readFile(Root / "docs/OPERATIONS.md");
  CHECK(Emitted.size() > 10);
  CHECK(matchesIn(Page, "\\| `(spindle_[a-z_]+)` \\|") == Emitted);
}

TEST_CASE("pages on failures name only numbers that exist") {
  std::set<std::string> Known;
  for (const result_code_info &Info : resultCodes())
    Known.insert(std::to_string(static_cast<int>(Info.Code)));
  for (const log_event_info &Info : logEvents())
    Known.insert(std::to_string(static_cast<int>(Info.Event)));
  const std::vector<files::path> Pages = filesIn(Root / "docs/failures", ".md");
  CHECK(Pages.size() > 10);
  for (const files::path &Page : Pages)
    for (const std::string &Number :
         matchesIn(readFile(Page), "\\b([12][0-9]{3})\\b")) {
      INFO(Page << " names " << Number);
      CHECK(Known.count(Number) == 1);
    }
}

TEST_CASE("pages on operation and failures link to pages that exist") {
  std::vector<files::path> Pages = filesIn(Root / "docs/failures", ".md");
  Pages.push_back(Root / "docs/OPERATIONS.md");
  Pages.push_back(Root / "docs/ARCHITECTURE.md");
  for (const files::path &Page : Pages)
    for (const std::string &Link :
         matchesIn(readFile(Page), "\\]\\(([^)#:]+)[^):]*\\)")) {
      INFO(Page << " links to " << Link);
      CHECK(files::exists(Page.parent_path() / Link));
    }
}
