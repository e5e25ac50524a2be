#include "LibEngine/answer_fields.h"

#include <charconv>
#include <cstddef>

namespace spindle {

namespace {

/// A place in JSON text. Reading past a mistake clears Good and moves to the
/// end, so that every loop ends.
struct json_cursor {
  std::string_view Rest;
  bool Good = true;
};

} // namespace

static void fail(json_cursor &Cursor) {
  Cursor.Good = false;
  Cursor.Rest = {};
}

static bool isSpace(char Character) {
  return Character == ' ' || Character == '\t' || Character == '\r' ||
         Character == '\n';
}

static void skipSpace(json_cursor &Cursor) {
  while (!Cursor.Rest.empty() && isSpace(Cursor.Rest.front()))
    Cursor.Rest.remove_prefix(1);
}

/// Moves over \p Character if it comes next.
static bool accept(json_cursor &Cursor, char Character) {
  skipSpace(Cursor);
  if (Cursor.Rest.empty() || Cursor.Rest.front() != Character)
    return false;
  Cursor.Rest.remove_prefix(1);
  return true;
}

/// Reads a string and returns its body, escapes included.
static std::string_view readString(json_cursor &Cursor) {
  if (!accept(Cursor, '"')) {
    fail(Cursor);
    return {};
  }
  for (std::size_t Index = 0; Index < Cursor.Rest.size(); ++Index) {
    if (Cursor.Rest[Index] == '\\') {
      ++Index;
      continue;
    }
    if (Cursor.Rest[Index] != '"')
      continue;
    const std::string_view Body = Cursor.Rest.substr(0, Index);
    Cursor.Rest.remove_prefix(Index + 1);
    return Body;
  }
  fail(Cursor);
  return {};
}

static bool endsScalar(char Character) {
  return Character == ',' || Character == ':' || Character == '}' ||
         Character == ']' || Character == '"' || Character == '[' ||
         Character == '{' || isSpace(Character);
}

/// Moves over a number, true, false or null, which something has to follow.
static void skipScalar(json_cursor &Cursor) {
  std::size_t End = 0;
  while (End < Cursor.Rest.size() && !endsScalar(Cursor.Rest[End]))
    ++End;
  if (End == 0 || End == Cursor.Rest.size())
    return fail(Cursor);
  Cursor.Rest.remove_prefix(End);
}

static bool nextIs(json_cursor &Cursor, char Character) {
  skipSpace(Cursor);
  return !Cursor.Rest.empty() && Cursor.Rest.front() == Character;
}

/// Moves over one value of any kind. Needs no stack: closing brackets are
/// counted, not matched.
static void skipValue(json_cursor &Cursor) {
  std::size_t Depth = 0;
  do {
    skipSpace(Cursor);
    if (Cursor.Rest.empty())
      return fail(Cursor);
    const char Character = Cursor.Rest.front();
    if (Character == '"') {
      readString(Cursor);
    } else if (Character == '{' || Character == '[') {
      ++Depth;
      Cursor.Rest.remove_prefix(1);
    } else if (Depth > 0 && (Character == '}' || Character == ']')) {
      --Depth;
      Cursor.Rest.remove_prefix(1);
    } else if (Depth > 0 && (Character == ',' || Character == ':')) {
      Cursor.Rest.remove_prefix(1);
    } else {
      skipScalar(Cursor);
    }
  } while (Cursor.Good && Depth > 0);
}

/// Calls \p OnMember(Name) for each member of an object; it must move over
/// the member's value.
template <typename on_member>
static void readObject(json_cursor &Cursor, const on_member &OnMember) {
  if (!accept(Cursor, '{'))
    return fail(Cursor);
  if (accept(Cursor, '}'))
    return;
  do {
    const std::string_view Name = readString(Cursor);
    if (!accept(Cursor, ':'))
      return fail(Cursor);
    OnMember(Name);
  } while (Cursor.Good && accept(Cursor, ','));
  if (!accept(Cursor, '}'))
    fail(Cursor);
}

/// Reads a string's body into \p Value, which other kinds leave unchanged.
static void readText(json_cursor &Cursor, std::string_view &Value) {
  if (nextIs(Cursor, '"'))
    Value = readString(Cursor);
  else
    skipValue(Cursor);
}

static void readCount(json_cursor &Cursor,
                      std::optional<std::uint64_t> &Value) {
  skipSpace(Cursor);
  const std::string_view Before = Cursor.Rest;
  skipValue(Cursor);
  const std::string_view Text =
      Before.substr(0, Before.size() - Cursor.Rest.size());
  std::uint64_t Number = 0;
  const std::from_chars_result Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  if (Result.ec == std::errc() && Result.ptr == Text.data() + Text.size())
    Value = Number;
}

static void readUsage(json_cursor &Cursor, answer_fields &Fields) {
  if (!nextIs(Cursor, '{'))
    return skipValue(Cursor);
  readObject(Cursor, [&](std::string_view Name) {
    if (Name == "prompt_tokens")
      return readCount(Cursor, Fields.PromptTokens);
    if (Name == "completion_tokens")
      return readCount(Cursor, Fields.CompletionTokens);
    skipValue(Cursor);
  });
}

/// Sets \p Present if the string is not empty.
static void readPresence(json_cursor &Cursor, bool &Present) {
  std::string_view Text;
  readText(Cursor, Text);
  Present = Present || !Text.empty();
}

static void readDelta(json_cursor &Cursor, answer_fields &Fields) {
  if (!nextIs(Cursor, '{'))
    return skipValue(Cursor);
  readObject(Cursor, [&](std::string_view Name) {
    if (Name == "content")
      return readPresence(Cursor, Fields.HasText);
    skipValue(Cursor);
  });
}

static void readChoice(json_cursor &Cursor, answer_fields &Fields) {
  Fields.HasChoices = true;
  if (!nextIs(Cursor, '{'))
    return skipValue(Cursor);
  readObject(Cursor, [&](std::string_view Name) {
    if (Name == "finish_reason")
      return readText(Cursor, Fields.FinishReason);
    if (Name == "text")
      return readPresence(Cursor, Fields.HasText);
    if (Name == "delta")
      return readDelta(Cursor, Fields);
    skipValue(Cursor);
  });
}

static void readChoices(json_cursor &Cursor, answer_fields &Fields) {
  if (!nextIs(Cursor, '['))
    return skipValue(Cursor);
  accept(Cursor, '[');
  if (accept(Cursor, ']'))
    return;
  do
    readChoice(Cursor, Fields);
  while (Cursor.Good && accept(Cursor, ','));
  if (!accept(Cursor, ']'))
    fail(Cursor);
}

/// "error": null is no error.
static void readError(json_cursor &Cursor, answer_fields &Fields) {
  Fields.HasError = !nextIs(Cursor, 'n');
  skipValue(Cursor);
}

answer_fields readAnswerFields(std::string_view Text) {
  answer_fields Fields;
  json_cursor Cursor{Text};
  readObject(Cursor, [&](std::string_view Name) {
    if (Name == "id")
      return readText(Cursor, Fields.Id);
    if (Name == "model")
      return readText(Cursor, Fields.Model);
    if (Name == "choices")
      return readChoices(Cursor, Fields);
    if (Name == "usage")
      return readUsage(Cursor, Fields);
    if (Name == "error")
      return readError(Cursor, Fields);
    skipValue(Cursor);
  });
  skipSpace(Cursor);
  Fields.Valid = Cursor.Good && Cursor.Rest.empty();
  return Fields;
}

/// Decodes the escape after a backslash at the front of \p Raw and moves over
/// it; '\0' for what is not plain ASCII.
static char decodeEscape(std::string_view &Raw) {
  const char Kind = Raw.empty() ? '\0' : Raw.front();
  if (Kind == '"' || Kind == '\\' || Kind == '/') {
    Raw.remove_prefix(1);
    return Kind;
  }
  if (Kind != 'u' || Raw.size() < 5)
    return '\0';
  unsigned Value = 0;
  const char *const End = Raw.data() + 5;
  const std::from_chars_result Result =
      std::from_chars(Raw.data() + 1, End, Value, 16);
  if (Result.ptr != End || Value > 0x7F)
    return '\0';
  Raw.remove_prefix(5);
  return static_cast<char>(Value);
}

bool sameJsonText(std::string_view Raw, std::string_view Plain) {
  if (Raw.find('\\') == std::string_view::npos)
    return Raw == Plain;
  for (const char Expected : Plain) {
    if (Raw.empty())
      return false;
    char Character = Raw.front();
    Raw.remove_prefix(1);
    if (Character == '\\')
      Character = decodeEscape(Raw);
    if (Character != Expected)
      return false;
  }
  return Raw.empty();
}

} // namespace spindle
