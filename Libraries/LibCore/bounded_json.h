#ifndef PARSLEYSPINDLE_LIBCORE_BOUNDED_JSON_H
#define PARSLEYSPINDLE_LIBCORE_BOUNDED_JSON_H

#include <cstddef>
#include <string_view>

#include <nlohmann/json.hpp>

namespace spindle {

/// The most levels of lists and objects in a value of another process. Writing,
/// copying and comparing a value recurse once a level, on a fiber's stack.
inline constexpr std::size_t MaxJsonLevels = 64;

/// Thrown for a value of more than MaxJsonLevels levels.
class json_too_deep : public nlohmann::json::exception {
public:
  /// \p Place is that of the bracket that opens the level too many.
  explicit json_too_deep(std::size_t Place);

  std::size_t place() const { return Place; }

private:
  std::size_t Place;
};

/// Parses JSON text that another process or a person wrote.
/// \throws nlohmann::json::exception if it can't be parsed or is too deep.
/// Thread-safe.
nlohmann::json parseBoundedJson(std::string_view Text);

/// As parseBoundedJson(), but returns a discarded value in place of an error.
/// Thread-safe.
nlohmann::json tryParseBoundedJson(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_BOUNDED_JSON_H
