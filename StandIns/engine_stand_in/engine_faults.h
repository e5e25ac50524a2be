#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_FAULTS_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_FAULTS_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace spindle {

/// The faults that are switched on; engine_server.h describes them.
struct engine_faults {
  bool Down = false;
  bool Silent = false;
  bool SilentNew = false;
  bool Leaving = false;
  std::int64_t Restarts = 0;
  std::int64_t FailLoads = 0;
  milliseconds SlowLoad{0};
  milliseconds ReportLag{0};
  milliseconds CacheLag{0};
  std::uint64_t CacheGapEvery = 0;
  std::string CrashMark = "crash-the-engine";
  milliseconds CrashTime{2'000};
  milliseconds Late{0};
  std::int64_t Truncate = 0;
  std::uint32_t TruncateAfter = 3;
  bool TruncateCleanly = false;
  std::int64_t WrongAdapter = 0;
  std::int64_t Crossed = 0;
  std::int64_t Duplicate = 0;
  std::vector<std::string> Secrets;
};

/// The faults that apply to one request.
struct request_faults {
  milliseconds Late{0};
  bool Crash = false;
  bool Truncate = false;
  std::uint32_t TruncateAfter = 0;
  bool TruncateCleanly = false;
  bool WrongAdapter = false;
  bool Crossed = false;
  bool Duplicate = false;
};

/// The faults that apply to one load.
struct load_faults {
  bool Fails = false;
  milliseconds Slow{0};
};

/// Uses up counted faults for a request with this prompt.
request_faults drawFaults(engine_faults &Faults, std::string_view Prompt);
/// Uses up counted faults for a load.
load_faults drawLoadFaults(engine_faults &Faults);
/// Writes all faults as the switches of /control. Thread-safe.
nlohmann::json toSwitches(const engine_faults &Faults);
/// Reads what toSwitches() writes. Thread-safe.
/// \throws nlohmann::json::exception if a switch is missing.
engine_faults readEngineFaults(const nlohmann::json &Switches);

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_FAULTS_H
