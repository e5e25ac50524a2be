#include "LibCore/bounded_json.h"

#include "LibCore/json_split.h"

#include <string>

namespace spindle {

using nlohmann::json;

// Beside the numbers that the library gives to its own exceptions.
static constexpr int TooDeepId = 599;

static const std::string &tooDeepMessage() {
  static const std::string Message =
      "the value has more than " + std::to_string(MaxJsonLevels) + " levels";
  return Message;
}

json_too_deep::json_too_deep()
    : json::exception(TooDeepId, tooDeepMessage().c_str()) {}

json parseBoundedJson(std::string_view Text) {
  if (isJsonDeeperThan(Text, MaxJsonLevels))
    throw json_too_deep();
  return json::parse(Text);
}

json tryParseBoundedJson(std::string_view Text) {
  if (isJsonDeeperThan(Text, MaxJsonLevels))
    return json(json::value_t::discarded);
  return json::parse(Text, nullptr, false);
}

} // namespace spindle
