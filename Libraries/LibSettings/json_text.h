#ifndef PARSLEYSPINDLE_LIBSETTINGS_JSON_TEXT_H
#define PARSLEYSPINDLE_LIBSETTINGS_JSON_TEXT_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// A problem in a text that an operator wrote.
struct input_problem {
  /// Such as "customers[2].burst"; empty for the text as a whole.
  std::string Field;
  std::string Message;

  bool operator==(const input_problem &) const = default;
};

/// Where each value of a JSON text with comments stands.
struct json_places {
  /// From a field's path, such as "customers[2].burst", to its offset; of
  /// a field that stands twice, the last.
  std::map<std::string, std::size_t, std::less<>> Offsets;
  /// Fields that stand twice in one object.
  std::vector<input_problem> Duplicates;
};

/// Finds the place of every value.
/// Precondition: \p Text is valid JSON with comments. Thread-safe.
json_places findPlaces(std::string_view Text);
/// Returns "FILE:LINE:COLUMN" of an offset in \p Text. Thread-safe.
std::string describePlace(std::string_view FileName, std::string_view Text,
                          std::size_t Offset);
/// Writes a line for each problem: place, field and message. A field that is
/// missing is placed at the object that lacks it. Thread-safe.
std::string describeProblems(const std::vector<input_problem> &Problems,
                             std::string_view FileName, std::string_view Text,
                             const json_places &Places);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBSETTINGS_JSON_TEXT_H
