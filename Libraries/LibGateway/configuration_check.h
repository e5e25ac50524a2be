#ifndef PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_CHECK_H
#define PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_CHECK_H

#include "LibGateway/configuration_place.h"
#include "LibGateway/gateway_configuration.h"

#include <string>
#include <vector>

namespace spindle {

enum class finding_severity {
  /// Requests fail, or an entry never has an effect.
  Error,
  /// A value has less effect than its entry suggests.
  Warning,
};

/// A fault of a configuration that can be read.
struct configuration_finding {
  finding_severity Severity = finding_severity::Error;
  configuration_place Place;
  configuration_field Field = configuration_field::None;
  std::string Message;
};

/// Finds entries that never match and limits that contradict, in the order of
/// the lists and their entries. Keys are not part of a message. Thread-safe.
std::vector<configuration_finding>
checkConfiguration(const gateway_configuration &Configuration);

/// Finds why hosts would not take \p Next while \p InForce is in force: they
/// ignore a version that is not above it. Thread-safe.
std::vector<configuration_finding>
checkSuccession(const gateway_configuration &InForce,
                const gateway_configuration &Next);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_CHECK_H
