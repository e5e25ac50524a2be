#include "engine_stand_in/engine_json.h"

#include <nlohmann/json.hpp>

namespace spindle {

using nlohmann::json;

json toJson(const engine_report &Report, bool Leaving) {
  return {{"incarnation", Report.Incarnation}, {"loaded", Report.Loaded},
          {"loading", Report.Loading},         {"slots", Report.Slots},
          {"batch_size", Report.BatchSize},    {"running", Report.Running},
          {"waiting", Report.Waiting},         {"fence", Report.Fence},
          {"age_ms", Report.Age.count()},      {"leaving", Leaving}};
}

json toJson(std::span<const engine_cache_event> Events) {
  json List = json::array();
  for (const engine_cache_event &Event : Events)
    List.push_back({{"sequence", Event.Sequence},
                    {"prefix_hash", Event.PrefixHash},
                    {"stored", Event.Stored}});
  return {{"events", std::move(List)}};
}

json toJson(const engine_record &Record,
            const std::vector<std::string> &Credentials) {
  return {{"steps", Record.Steps},
          {"tokens", Record.Tokens},
          {"tokens_per_step", Record.Steps == 0
                                  ? 0.0
                                  : static_cast<double>(Record.Tokens) /
                                        static_cast<double>(Record.Steps)},
          {"peak_running", Record.PeakRunning},
          {"loads", Record.Loads},
          {"loads_failed", Record.LoadsFailed},
          {"unloads", Record.Unloads},
          {"old_fences", Record.OldFences},
          {"cache_hits", Record.CacheHits},
          {"cache_misses", Record.CacheMisses},
          {"restarts", Record.Restarts},
          {"evicted_in_use", Record.EvictedInUse},
          {"requests_by_adapter", Record.RequestsByAdapter},
          {"credentials", Credentials}};
}

} // namespace spindle
