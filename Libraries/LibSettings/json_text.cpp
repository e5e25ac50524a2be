#include "LibSettings/json_text.h"

#include <algorithm>

namespace spindle {

namespace {

/// Walks through a valid text and notes where values start.
class place_scanner {
public:
  explicit place_scanner(std::string_view Text) : Text(Text) {}

  json_places scan() {
    scanValue("");
    return std::move(Places);
  }

private:
  void scanValue(const std::string &Path) {
    skipBlanks();
    Places.Offsets[Path] = Position;
    if (current() == '{')
      scanObject(Path);
    else if (current() == '[')
      scanArray(Path);
    else if (current() == '"')
      scanText();
    else
      scanScalar();
  }

  void scanObject(const std::string &Path) {
    ++Position;
    for (skipBlanks(); current() != '}' && !atEnd(); skipBlanks()) {
      const std::string Name = scanText();
      std::string Field = Path;
      if (!Field.empty())
        Field += ".";
      Field += Name;
      if (Places.Offsets.count(Field) != 0)
        Places.Duplicates.push_back({Field, "the field stands twice"});
      skipBlanks();
      ++Position; // the colon
      scanValue(Field);
      skipComma();
    }
    ++Position;
  }

  void scanArray(const std::string &Path) {
    ++Position;
    std::size_t Index = 0;
    for (skipBlanks(); current() != ']' && !atEnd(); skipBlanks()) {
      scanValue(Path + "[" + std::to_string(Index) + "]");
      ++Index;
      skipComma();
    }
    ++Position;
  }

  std::string scanText() {
    const std::size_t Start = ++Position;
    while (!atEnd() && current() != '"')
      Position += current() == '\\' ? 2 : 1;
    const std::size_t End = std::min(Position, Text.size());
    ++Position;
    return std::string(Text.substr(Start, End - Start));
  }

  void scanScalar() {
    while (!atEnd() && std::string_view(",]}/ \t\r\n").find(current()) ==
                           std::string_view::npos)
      ++Position;
  }

  void skipComma() {
    skipBlanks();
    if (current() == ',')
      ++Position;
  }

  void skipBlanks() {
    while (!atEnd()) {
      if (startsWith("//"))
        skipPast("\n");
      else if (startsWith("/*"))
        skipPast("*/");
      else if (std::string_view(" \t\r\n").find(current()) !=
               std::string_view::npos)
        ++Position;
      else
        return;
    }
  }

  void skipPast(std::string_view Mark) {
    const std::size_t Found = Text.find(Mark, Position);
    Position =
        Found == std::string_view::npos ? Text.size() : Found + Mark.size();
  }

  bool startsWith(std::string_view Mark) const {
    return Text.substr(Position, Mark.size()) == Mark;
  }
  bool atEnd() const { return Position >= Text.size(); }
  char current() const { return atEnd() ? '\0' : Text[Position]; }

  std::string_view Text;
  std::size_t Position = 0;
  json_places Places;
};

} // namespace

json_places findPlaces(std::string_view Text) {
  return place_scanner(Text).scan();
}

std::string describePlace(std::string_view FileName, std::string_view Text,
                          std::size_t Offset) {
  const std::string_view Before = Text.substr(0, std::min(Offset, Text.size()));
  const auto Line = std::count(Before.begin(), Before.end(), '\n') + 1;
  const std::size_t LastBreak = Before.rfind('\n');
  const std::size_t Column = LastBreak == std::string_view::npos
                                 ? Before.size() + 1
                                 : Before.size() - LastBreak;
  return std::string(FileName) + ":" + std::to_string(Line) + ":" +
         std::to_string(Column);
}

/// Returns the offset of \p Field, or else of what encloses it.
static std::size_t findOffset(const json_places &Places, std::string Field) {
  while (true) {
    const auto Found = Places.Offsets.find(Field);
    if (Found != Places.Offsets.end())
      return Found->second;
    const std::size_t Cut = Field.find_last_of(".[");
    if (Cut == std::string::npos && Field.empty())
      return 0;
    Field.resize(Cut == std::string::npos ? 0 : Cut);
  }
}

std::string describeProblems(const std::vector<input_problem> &Problems,
                             std::string_view FileName, std::string_view Text,
                             const json_places &Places) {
  std::string Lines;
  for (const input_problem &Problem : Problems) {
    const std::size_t Offset = findOffset(Places, Problem.Field);
    if (!Lines.empty())
      Lines += "\n";
    Lines += describePlace(FileName, Text, Offset) + ": ";
    if (!Problem.Field.empty())
      Lines += Problem.Field + ": ";
    Lines += Problem.Message;
  }
  return Lines;
}

} // namespace spindle
