#include "platform_stand_in/platform_faults.h"

#include "LibStandIn/counted_fault.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

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
  const bool Applies = Faults.LoseKind.empty() || Faults.LoseKind == Kind;
  return Applies && takeOne(Count);
}

json toSwitches(const platform_faults &Faults) {
  return {{"down", Faults.Down},
          {"hang", Faults.Hang},
          {"stale_watch", Faults.StaleWatch},
          {"slow_ms", Faults.Slow.count()},
          {"lose_writes", Faults.LoseWrites},
          {"lose_answers", Faults.LoseAnswers},
          {"lose_kind", Faults.LoseKind},
          {"close_watches", Faults.CloseWatches},
          {"drop_history", Faults.DropHistory},
          {"cut_zones", Faults.CutZones},
          {"cut_hosts", Faults.CutHosts},
          {"reads_per_second", Faults.Rates.ReadsPerSecond},
          {"writes_per_second", Faults.Rates.WritesPerSecond}};
}

platform_faults readPlatformFaults(const json &Switches) {
  platform_faults Faults;
  Switches.at("down").get_to(Faults.Down);
  Switches.at("hang").get_to(Faults.Hang);
  Switches.at("stale_watch").get_to(Faults.StaleWatch);
  Faults.Slow = milliseconds(Switches.at("slow_ms").get<std::int64_t>());
  Switches.at("lose_writes").get_to(Faults.LoseWrites);
  Switches.at("lose_answers").get_to(Faults.LoseAnswers);
  Switches.at("lose_kind").get_to(Faults.LoseKind);
  Switches.at("close_watches").get_to(Faults.CloseWatches);
  Switches.at("drop_history").get_to(Faults.DropHistory);
  Switches.at("cut_zones").get_to(Faults.CutZones);
  Switches.at("cut_hosts").get_to(Faults.CutHosts);
  Switches.at("reads_per_second").get_to(Faults.Rates.ReadsPerSecond);
  Switches.at("writes_per_second").get_to(Faults.Rates.WritesPerSecond);
  return Faults;
}

} // namespace spindle
