#include "LibSettings/field_table.h"

#include <algorithm>
#include <cmath>

namespace spindle {

std::string describeRange(std::int64_t Least, std::int64_t Most) {
  return std::to_string(Least) + ".." + std::to_string(Most);
}

std::string readText(const nlohmann::json &Value, std::size_t Limit) {
  if (!Value.is_string())
    throw field_error("must be a text");
  std::string Text = Value.get<std::string>();
  if (Text.empty() || Text.size() > Limit)
    throw field_error("must have 1.." + std::to_string(Limit) + " characters");
  return Text;
}

static bool isLetterOrDigit(char Letter) {
  return (Letter >= 'a' && Letter <= 'z') || (Letter >= 'A' && Letter <= 'Z') ||
         (Letter >= '0' && Letter <= '9');
}

std::string readName(const nlohmann::json &Value) {
  static constexpr std::size_t NameLimit = 128;
  std::string Name = readText(Value, NameLimit);
  for (const char Letter : Name)
    if (!isLetterOrDigit(Letter) && Letter != '-' && Letter != '_' &&
        Letter != '.')
      throw field_error("may have letters, digits, '-', '_' and '.' only");
  if (!isLetterOrDigit(Name.front()))
    throw field_error("must start with a letter or digit");
  return Name;
}

std::int64_t readInteger(const nlohmann::json &Value, std::int64_t Least,
                         std::int64_t Most) {
  if (!Value.is_number_integer())
    throw field_error("must be a whole number");
  const bool TooLarge =
      Value.is_number_unsigned() &&
      Value.get<std::uint64_t>() >
          static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  const std::int64_t Number = TooLarge ? 0 : Value.get<std::int64_t>();
  if (TooLarge || Number < Least || Number > Most)
    throw field_error("must be within " + describeRange(Least, Most));
  return Number;
}

double readNumber(const nlohmann::json &Value, double Least, double Most) {
  if (!Value.is_number())
    throw field_error("must be a number");
  const double Number = Value.get<double>();
  if (!(Number >= Least && Number <= Most))
    throw field_error("must be within " + nlohmann::json(Least).dump() + ".." +
                      nlohmann::json(Most).dump());
  return Number;
}

std::int64_t readWholeUnits(const nlohmann::json &Value, std::int64_t Least,
                            std::int64_t Most) {
  const double Number = readNumber(Value, 0, static_cast<double>(Most));
  const std::int64_t Whole = static_cast<std::int64_t>(Number);
  const std::int64_t Units = Number > 0 ? std::max<std::int64_t>(1, Whole) : 0;
  if (Units < Least)
    throw field_error("must be within " + describeRange(Least, Most));
  return Units;
}

bool readFlag(const nlohmann::json &Value) {
  if (!Value.is_boolean())
    throw field_error("must be true or false");
  return Value.get<bool>();
}

endpoint readEndpoint(const nlohmann::json &Value) {
  const std::string Text = readText(Value);
  try {
    return parseEndpoint(Text);
  } catch (const spindle_error &Error) {
    throw field_error(Error.what());
  }
}

std::string writeReference(
    const std::vector<std::pair<field_description, std::string>> &Lines) {
  std::string Text = "| field | type | unit | range | default | meaning |\n"
                     "| --- | --- | --- | --- | --- | --- |\n";
  for (const auto &[Field, Default] : Lines) {
    const std::string Shown = Field.Required    ? "required"
                              : Default.empty() ? ""
                                                : "`" + Default + "`";
    Text += "| `" + Field.Name + "` | " + Field.Type + " | " + Field.Unit +
            " | " + Field.Range + " | " + Shown + " | " + Field.Meaning +
            " |\n";
  }
  return Text;
}

nlohmann::json parseJsonText(std::string_view Text, std::string_view FileName,
                             result_code Code) {
  try {
    return nlohmann::json::parse(Text, nullptr, true, true);
  } catch (const nlohmann::json::parse_error &Error) {
    const std::size_t Offset = Error.byte == 0 ? 0 : Error.byte - 1;
    const std::string Detail = Error.what();
    const std::size_t Start = Detail.rfind(": syntax error");
    throw spindle_error(Code, describePlace(FileName, Text, Offset) +
                                  (Start == std::string::npos
                                       ? ": not valid JSON"
                                       : Detail.substr(Start)));
  }
}

} // namespace spindle
