#ifndef PARSLEYSPINDLE_LIBCORE_JSON_SPLIT_H
#define PARSLEYSPINDLE_LIBCORE_JSON_SPLIT_H

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace spindle {

/// A member of a JSON object: its name as written, without quotes, and the text
/// of its value.
struct json_member {
  std::string_view Name;
  std::string_view Value;
};

/// Splits the text of a JSON object into its members, and a list into its
/// elements, without parsing their values: one that can't be parsed affects no
/// other. The results are views into \p Text; nullopt if it is no object or no
/// list, or if a string or a bracket in it is not closed. Thread-safe.
std::optional<std::vector<json_member>> splitJsonObject(std::string_view Text);
std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view Text);

/// The text of the member \p Name; the last one if there are several, empty if
/// there is none. Thread-safe.
std::string_view findMember(const std::vector<json_member> &Members,
                            std::string_view Name);

/// The place of the bracket that opens the first list or object beyond
/// \p Levels levels; nullopt if there is none. Does not recurse. Thread-safe.
std::optional<std::size_t> findBeyondLevels(std::string_view Text,
                                            std::size_t Levels);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_JSON_SPLIT_H
