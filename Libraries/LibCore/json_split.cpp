#include "LibCore/json_split.h"

#include <algorithm>

namespace spindle {

namespace {

constexpr std::string_view Blanks = " \t\r\n";

bool isBlank(char Character) {
  return Blanks.find(Character) != std::string_view::npos;
}

bool isOpening(char Character) { return Character == '{' || Character == '['; }

bool isClosing(char Character) { return Character == '}' || Character == ']'; }

/// The place after the string that starts at \p Start; npos if it has no end.
std::size_t endOfString(std::string_view Text, std::size_t Start) {
  for (std::size_t Index = Start + 1; Index < Text.size(); ++Index) {
    if (Text[Index] == '"')
      return Index + 1;
    if (Text[Index] == '\\')
      ++Index;
  }
  return std::string_view::npos;
}

/// The place after the list or object that starts at \p Start; npos if it has
/// no end.
std::size_t endOfStructure(std::string_view Text, std::size_t Start) {
  std::size_t Levels = 0;
  std::size_t Index = Start;
  while (Index < Text.size()) {
    if (Text[Index] == '"') {
      Index = endOfString(Text, Index);
      continue;
    }
    if (isOpening(Text[Index]))
      ++Levels;
    else if (isClosing(Text[Index]))
      --Levels;
    ++Index;
    if (Levels == 0)
      return Index;
  }
  return std::string_view::npos;
}

/// The place after the number or word that starts at \p Start.
std::size_t endOfWord(std::string_view Text, std::size_t Start) {
  std::size_t Index = Start;
  while (Index < Text.size() && Text[Index] != ',' && Text[Index] != ':' &&
         !isClosing(Text[Index]) && !isBlank(Text[Index]))
    ++Index;
  return Index;
}

/// Takes the parts of a list or an object from its text.
class text_cursor {
public:
  explicit text_cursor(std::string_view Text) : Text(Text) {}

  /// Skips blanks and \p Wanted; returns whether it was there.
  bool take(char Wanted) {
    skipBlanks();
    if (Index >= Text.size() || Text[Index] != Wanted)
      return false;
    ++Index;
    return true;
  }

  /// Takes a value; empty if there is none or it has no end.
  std::string_view takeValue() {
    skipBlanks();
    const std::size_t Start = Index;
    const std::size_t End = endOfValue();
    if (End == std::string_view::npos)
      return {};
    Index = End;
    return Text.substr(Start, End - Start);
  }

  /// Whether nothing but blanks is left.
  bool atEnd() {
    skipBlanks();
    return Index >= Text.size();
  }

private:
  void skipBlanks() {
    while (Index < Text.size() && isBlank(Text[Index]))
      ++Index;
  }

  std::size_t endOfValue() const {
    if (Index >= Text.size())
      return std::string_view::npos;
    if (Text[Index] == '"')
      return endOfString(Text, Index);
    return isOpening(Text[Index]) ? endOfStructure(Text, Index)
                                  : endOfWord(Text, Index);
  }

  std::string_view Text;
  std::size_t Index = 0;
};

/// Takes a member's name and the colon after it; nullopt if it has none.
std::optional<std::string_view> takeName(text_cursor &Cursor) {
  const std::string_view Quoted = Cursor.takeValue();
  if (Quoted.size() < 2 || Quoted.front() != '"' || !Cursor.take(':'))
    return std::nullopt;
  return Quoted.substr(1, Quoted.size() - 2);
}

} // namespace

std::optional<std::vector<json_member>> splitJsonObject(std::string_view Text) {
  std::vector<json_member> Members;
  text_cursor Cursor(Text);
  if (!Cursor.take('{'))
    return std::nullopt;
  if (Cursor.take('}'))
    return Cursor.atEnd() ? std::optional(Members) : std::nullopt;
  do {
    const std::optional<std::string_view> Name = takeName(Cursor);
    const std::string_view Value = Cursor.takeValue();
    if (!Name || Value.empty())
      return std::nullopt;
    Members.push_back({*Name, Value});
  } while (Cursor.take(','));
  if (!Cursor.take('}') || !Cursor.atEnd())
    return std::nullopt;
  return Members;
}

std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view Text) {
  std::vector<std::string_view> Elements;
  text_cursor Cursor(Text);
  if (!Cursor.take('['))
    return std::nullopt;
  if (Cursor.take(']'))
    return Cursor.atEnd() ? std::optional(Elements) : std::nullopt;
  do {
    const std::string_view Value = Cursor.takeValue();
    if (Value.empty())
      return std::nullopt;
    Elements.push_back(Value);
  } while (Cursor.take(','));
  if (!Cursor.take(']') || !Cursor.atEnd())
    return std::nullopt;
  return Elements;
}

std::string_view findMember(const std::vector<json_member> &Members,
                            std::string_view Name) {
  const auto Last = std::find_if(
      Members.rbegin(), Members.rend(),
      [Name](const json_member &Member) { return Member.Name == Name; });
  return Last == Members.rend() ? std::string_view() : Last->Value;
}

bool isJsonDeeperThan(std::string_view Text, std::size_t Levels) {
  std::size_t Open = 0;
  std::size_t Index = 0;
  while (Index < Text.size()) {
    if (Text[Index] == '"') {
      Index = endOfString(Text, Index);
      continue;
    }
    if (isOpening(Text[Index]) && ++Open > Levels)
      return true;
    if (isClosing(Text[Index]) && Open > 0)
      --Open;
    ++Index;
  }
  return false;
}

} // namespace spindle
