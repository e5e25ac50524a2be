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

/// A configuration to put in force, confirmed without further changes.
struct configuration_plan {
  /// The version in force when the plan was made; 0 if there was none.
  std::uint64_t BaseVersion = 0;
  /// A random value; a plan that is confirmed twice takes effect only once.
  std::string Nonce;
  std::vector<intent_change> Changes;
  intent Intent;
};

/// Serializes a plan as JSON with a digest of its content. Thread-safe.
std::string writePlan(const configuration_plan &Plan);
/// \throws spindle_error InvalidIntent if the text is not a complete plan, or
/// was changed after it was written. Thread-safe.
configuration_plan readPlan(std::string_view Text, std::string_view FileName);

/// The configuration in force as stored on the platform.
struct stored_configuration {
  configuration_head Head;
  /// The platform's version of the head object.
  std::uint64_t ObjectVersion = 0;
  intent Intent;
};

/// Reads the configuration in force; nullopt if there is none yet.
/// \throws spindle_error PlatformUnavailable, ConfigurationCorrupt.
/// Thread-safe.
std::optional<stored_configuration>
readConfiguration(const platform_port &Platform);
/// Reads only the head, together with the platform's version of its object.
std::optional<std::pair<configuration_head, std::uint64_t>>
readConfigurationHead(const platform_port &Platform);
/// Makes a plan that replaces \p Stored by \p Intent. Thread-safe.
configuration_plan makePlan(const std::optional<stored_configuration> &Stored,
                            intent Intent, std::string Nonce);

/// Who confirms a plan and when, and how to wait between attempts.
struct plan_confirmation {
  std::string Operator;
  wall_time At;
  std::function<void(milliseconds)> Sleep;
};

/// Puts a plan in force and returns the new head. The parts are written first;
/// then one conditional write stores the head with the audit entry. If the
/// response to that write is lost, the nonce shows whether it took effect.
/// Confirming a plan that has already taken effect returns the current head.
/// \throws spindle_error PlanOutdated, listing the changes since the plan
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
