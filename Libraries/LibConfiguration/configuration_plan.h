#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_PLAN_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_PLAN_H

#include "LibConfiguration/configuration_head.h"
#include "LibConfiguration/intent.h"
#include "LibConfiguration/intent_change.h"
#include "LibPlatform/platform_port.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// What an operator wants to put in force, to be confirmed as it stands.
struct configuration_plan {
  /// The version in force when the plan was made, 0 for none.
  std::uint64_t BaseVersion = 0;
  /// Chosen at random; a plan that is confirmed twice takes effect once.
  std::string Nonce;
  std::vector<intent_change> Changes;
  intent Intent;
};

/// Writes a plan as JSON with a digest of its content. Thread-safe.
std::string writePlan(const configuration_plan &Plan);
/// \throws spindle_error InvalidIntent if the text is not a whole plan, or was
/// changed after it was written. Thread-safe.
configuration_plan readPlan(std::string_view Text, std::string_view FileName);

/// The configuration in force as the platform has it.
struct stored_configuration {
  configuration_head Head;
  /// The head's version as an object.
  std::uint64_t ObjectVersion = 0;
  intent Intent;
};

/// Reads the configuration in force; nullopt before the first.
/// \throws spindle_error PlatformUnavailable, ConfigurationCorrupt.
/// Thread-safe.
std::optional<stored_configuration>
readConfiguration(const platform_port &Platform);
/// Reads the head alone, with its version as an object.
std::optional<std::pair<configuration_head, std::uint64_t>>
readConfigurationHead(const platform_port &Platform);
/// Plans to put \p Intent in force in place of \p Stored. Thread-safe.
configuration_plan makePlan(const std::optional<stored_configuration> &Stored,
                            intent Intent, std::string Nonce);

/// Who confirms a plan, and how to wait between tries.
struct plan_confirmation {
  std::string Operator;
  wall_time At;
  std::function<void(milliseconds)> Sleep;
};

/// Puts a plan in force and returns the new head. The parts are written
/// first; the head, with the audit entry in it, by one conditional write. A
/// write whose answer was lost is looked for by its nonce. Confirming a plan
/// that is in force already returns the head that it made.
/// \throws spindle_error PlanOutdated, with what has changed since the plan
/// was made; PlatformUnavailable if it is not known whether the plan took
/// effect, in which case the same plan may be confirmed again. Thread-safe.
configuration_head confirmPlan(const platform_port &Platform,
                               const configuration_plan &Plan,
                               const plan_confirmation &Confirmation);

/// Reads the newest audit entries, at most \p Limit, newest first.
/// \throws spindle_error PlatformUnavailable, ConfigurationCorrupt.
std::vector<audit_entry> readAudit(const platform_port &Platform,
                                   std::size_t Limit);
/// Reads the text of a part.
/// \throws spindle_error PlatformUnavailable, ConfigurationCorrupt.
std::string readPart(const platform_port &Platform, const std::string &Digest);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_PLAN_H
