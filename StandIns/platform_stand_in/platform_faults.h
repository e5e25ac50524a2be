#ifndef PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_FAULTS_H
#define PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_FAULTS_H

#include "LibCore/runtime_clock.h"
#include "platform_stand_in/rate_meter.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace spindle {

/// The faults that are switched on; platform_server.h describes them.
struct platform_faults {
  bool Down = false;
  bool Hang = false;
  bool StaleWatch = false;
  milliseconds Slow{0};
  std::int64_t LoseWrites = 0;
  std::int64_t LoseAnswers = 0;
  std::string LoseKind;
  std::int64_t CloseWatches = 0;
  std::int64_t DropHistory = 0;
  std::vector<std::string> CutZones;
  std::vector<std::string> CutHosts;
  call_rates Rates;
};

/// Returns whether a client whose User-Agent is \p UserAgent is cut off.
/// Thread-safe.
bool isCut(const platform_faults &Faults, std::string_view UserAgent);
/// Uses up one of a count of lost writes or answers if it applies to \p Kind.
bool takeLoss(const platform_faults &Faults, std::int64_t &Count,
              std::string_view Kind);

/// Writes all faults as the switches of /control. Thread-safe.
nlohmann::json toSwitches(const platform_faults &Faults);
/// Reads what toSwitches() writes. Thread-safe.
/// \throws nlohmann::json::exception if a switch is missing.
platform_faults readPlatformFaults(const nlohmann::json &Switches);

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_PLATFORM_STAND_IN_PLATFORM_FAULTS_H
