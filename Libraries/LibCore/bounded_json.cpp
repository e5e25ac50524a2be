#include "LibCore/bounded_json.h"

#include "LibCore/json_split.h"

#include <optional>
#include <string>

namespace spindle {

using nlohmann::json;

// Beside the numbers that the library gives to its own exceptions.
static constexpr int TooDeepId = 599;

json_too_deep::json_too_deep(std::size_t Place)
    : json::exception(TooDeepId,
                      ("more than " + std::to_string(MaxJsonLevels) +
                       " levels at byte " + std::to_string(Place + 1))
                          .c_str()),
      Place(Place) {}

json parseBoundedJson(std::string_view Text) {
  if (const std::optional<std::size_t> Place =
          findBeyondLevels(Text, MaxJsonLevels))
    throw json_too_deep(*Place);
  return json::parse(Text);
}

json tryParseBoundedJson(std::string_view Text) {
  if (findBeyondLevels(Text, MaxJsonLevels))
    return json(json::value_t::discarded);
  return json::parse(Text, nullptr, false);
}

} // namespace spindle
