#include "LibCore/utf8.h"

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

bool isValidUtf8(std::string_view Text) {
  try {
    json(Text).dump();
    return true;
  } catch (const json::exception &) {
    return false;
  }
}

} // namespace spindle
