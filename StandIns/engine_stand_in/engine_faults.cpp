#include "engine_stand_in/engine_faults.h"

#include "LibStandIn/counted_fault.h"

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

request_faults drawFaults(engine_faults &Faults, std::string_view Prompt) {
  request_faults Drawn;
  Drawn.Late = Faults.Late;
  Drawn.Crash = !Faults.CrashMark.empty() &&
                Prompt.find(Faults.CrashMark) != std::string_view::npos;
  if (Drawn.Crash)
    return Drawn;
  Drawn.Truncate = takeOne(Faults.Truncate);
  Drawn.TruncateAfter = Faults.TruncateAfter;
  Drawn.TruncateCleanly = Faults.TruncateCleanly;
  Drawn.WrongAdapter = takeOne(Faults.WrongAdapter);
  Drawn.Crossed = !Drawn.WrongAdapter && takeOne(Faults.Crossed);
  Drawn.Duplicate = takeOne(Faults.Duplicate);
  return Drawn;
}

load_faults drawLoadFaults(engine_faults &Faults) {
  load_faults Drawn;
  Drawn.Fails = Faults.FailLoads != 0;
  Faults.FailLoads -= Faults.FailLoads > 0 ? 1 : 0;
  Drawn.Slow = Faults.SlowLoad;
  return Drawn;
}

json toSwitches(const engine_faults &Faults) {
  return {{"down", Faults.Down},
          {"silent", Faults.Silent},
          {"silent_new", Faults.SilentNew},
          {"leaving", Faults.Leaving},
          {"restarts", Faults.Restarts},
          {"fail_loads", Faults.FailLoads},
          {"slow_load_ms", Faults.SlowLoad.count()},
          {"report_lag_ms", Faults.ReportLag.count()},
          {"cache_lag_ms", Faults.CacheLag.count()},
          {"cache_gap_every", Faults.CacheGapEvery},
          {"crash_mark", Faults.CrashMark},
          {"crash_ms", Faults.CrashTime.count()},
          {"late_ms", Faults.Late.count()},
          {"truncate", Faults.Truncate},
          {"truncate_after", Faults.TruncateAfter},
          {"truncate_cleanly", Faults.TruncateCleanly},
          {"wrong_adapter", Faults.WrongAdapter},
          {"crossed", Faults.Crossed},
          {"duplicate", Faults.Duplicate},
          {"secrets", Faults.Secrets}};
}

static milliseconds duration(const json &Switches, const char *Name) {
  return milliseconds(Switches.at(Name).get<std::int64_t>());
}

engine_faults readEngineFaults(const json &Switches) {
  engine_faults Faults;
  Switches.at("down").get_to(Faults.Down);
  Switches.at("silent").get_to(Faults.Silent);
  Switches.at("silent_new").get_to(Faults.SilentNew);
  Switches.at("leaving").get_to(Faults.Leaving);
  Switches.at("restarts").get_to(Faults.Restarts);
  Switches.at("fail_loads").get_to(Faults.FailLoads);
  Faults.SlowLoad = duration(Switches, "slow_load_ms");
  Faults.ReportLag = duration(Switches, "report_lag_ms");
  Faults.CacheLag = duration(Switches, "cache_lag_ms");
  Switches.at("cache_gap_every").get_to(Faults.CacheGapEvery);
  Switches.at("crash_mark").get_to(Faults.CrashMark);
  Faults.CrashTime = duration(Switches, "crash_ms");
  Faults.Late = duration(Switches, "late_ms");
  Switches.at("truncate").get_to(Faults.Truncate);
  Switches.at("truncate_after").get_to(Faults.TruncateAfter);
  Switches.at("truncate_cleanly").get_to(Faults.TruncateCleanly);
  Switches.at("wrong_adapter").get_to(Faults.WrongAdapter);
  Switches.at("crossed").get_to(Faults.Crossed);
  Switches.at("duplicate").get_to(Faults.Duplicate);
  Switches.at("secrets").get_to(Faults.Secrets);
  return Faults;
}

} // namespace spindle
