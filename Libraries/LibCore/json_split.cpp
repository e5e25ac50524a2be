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

/// The place of the first bracket outside of strings, from \p Start on, for
/// which \p Matches returns true; npos if there is none.
template <typename predicate>
std::size_t findBracket(std::string_view Text, std::size_t Start,
                        predicate Matches) {
  std::size_t Index = Start;
  while (Index < Text.size()) {
    const char Character = Text[Index];
    if (Character == '"') {
      Index = endOfString(Text, Index);
      continue;
    }
    const bool IsBracket = isOpening(Character) || isClosing(Character);
    if (IsBracket && Matches(Character))
      return Index;
    ++Index;
  }
  return std::string_view::npos;
}

/// The place after the list or object that starts at \p Start; npos if it has
/// no end.
std::size_t endOfStructure(std::string_view Text, std::size_t Start) {
  std::size_t Levels = 0;
  const std::size_t Last = findBracket(Text, Start, [&Levels](char Bracket) {
    Levels = isOpening(Bracket) ? Levels + 1 : Levels - 1;
    return Levels == 0;
  });
  return Last == std::string_view::npos ? Last : Last + 1;
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

  /// Skips blanks and \p Expected; returns whether it was there.
  bool take(char Expected) {
    skipBlanks();
    if (Index >= Text.size() || Text[Index] != Expected)
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

/// Takes an element; nullopt if there is none.
std::optional<std::string_view> takeElement(text_cursor &Cursor) {
  const std::string_view Value = Cursor.takeValue();
  return Value.empty() ? std::nullopt : std::optional(Value);
}

/// Takes a member; nullopt if its name, the colon or its value is missing.
std::optional<json_member> takeMember(text_cursor &Cursor) {
  const std::string_view Quoted = Cursor.takeValue();
  if (Quoted.size() < 2 || Quoted.front() != '"' || !Cursor.take(':'))
    return std::nullopt;
  const std::string_view Value = Cursor.takeValue();
  if (Value.empty())
    return std::nullopt;
  return json_member{Quoted.substr(1, Quoted.size() - 2), Value};
}

/// Splits a list or an object into what \p TakePart takes between its commas.
template <typename part>
std::optional<std::vector<part>>
split(std::string_view Text, char Opening, char Closing,
      std::optional<part> (*TakePart)(text_cursor &)) {
  std::vector<part> Parts;
  text_cursor Cursor(Text);
  if (!Cursor.take(Opening))
    return std::nullopt;
  if (!Cursor.take(Closing)) {
    do {
      const std::optional<part> Part = TakePart(Cursor);
      if (!Part)
        return std::nullopt;
      Parts.push_back(*Part);
    } while (Cursor.take(','));
    if (!Cursor.take(Closing))
      return std::nullopt;
  }
  return Cursor.atEnd() ? std::optional(std::move(Parts)) : std::nullopt;
}

} // namespace

std::optional<std::vector<json_member>> splitJsonObject(std::string_view Text) {
  return split<json_member>(Text, '{', '}', takeMember);
}

std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view Text) {
  return split<std::string_view>(Text, '[', ']', takeElement);
}

std::string_view findMember(const std::vector<json_member> &Members,
                            std::string_view Name) {
  const auto Last = std::find_if(
      Members.rbegin(), Members.rend(),
      [Name](const json_member &Member) { return Member.Name == Name; });
  return Last == Members.rend() ? std::string_view() : Last->Value;
}

std::optional<std::size_t> findBeyondLevels(std::string_view Text,
                                            std::size_t Levels) {
  std::size_t Open = 0;
  const std::size_t Place = findBracket(Text, 0, [&Open, Levels](char Bracket) {
    if (isOpening(Bracket))
      return ++Open > Levels;
    if (Open > 0)
      --Open;
    return false;
  });
  return Place == std::string_view::npos ? std::nullopt : std::optional(Place);
}

} // namespace spindle
