#ifndef PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_JSON_H
#define PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_JSON_H

#include "engine_stand_in/engine_simulator.h"

#include <span>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace spindle {

/// The documents that the engine answers with. All are thread-safe.

/// The answer to GET /load.
nlohmann::json toJson(const engine_report &Report, bool Leaving);
/// The answer to GET /cache_events.
nlohmann::json toJson(std::span<const engine_cache_event> Events);
/// The answer to GET /control/record. \p Credentials are the places in which
/// callers' credentials were found.
nlohmann::json toJson(const engine_record &Record,
                      const std::vector<std::string> &Credentials);

} // namespace spindle

#endif // PARSLEYSPINDLE_STANDINS_ENGINE_STAND_IN_ENGINE_JSON_H
