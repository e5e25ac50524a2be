#include "platform_stand_in/platform_faults.h"

#include <algorithm>

namespace spindle {

static bool contains(const std::vector<std::string> &Names,
                     std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

bool isCut(const platform_faults &Faults, std::string_view UserAgent) {
  static constexpr std::string_view Prefix = "spindle/";
  if (!UserAgent.starts_with(Prefix))
    return false;
  UserAgent.remove_prefix(Prefix.size());
  const std::size_t Slash = UserAgent.find('/');
  if (contains(Faults.CutZones, UserAgent.substr(0, Slash)))
    return true;
  return Slash != std::string_view::npos &&
         contains(Faults.CutHosts, UserAgent.substr(Slash + 1));
}

bool takeLoss(const platform_faults &Faults, std::int64_t &Count,
              std::string_view Kind) {
  if (Count <= 0 || (!Faults.LoseKind.empty() && Faults.LoseKind != Kind))
    return false;
  --Count;
  return true;
}

} // namespace spindle
