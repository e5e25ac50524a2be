#ifndef PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_DIFFERENCE_H
#define PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_DIFFERENCE_H

#include "LibGateway/configuration_place.h"
#include "LibGateway/gateway_configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace spindle {

/// A value, or a whole entry, in which two configurations differ.
struct configuration_difference {
  configuration_list List = configuration_list::Whole;
  /// The entry's name; entries after the first of a name end with its count,
  /// such as "x#2".
  std::string Name;
  /// None if the entry is new or no longer there.
  configuration_field Field = configuration_field::None;
  /// The values as text; none on the side that lacks the entry. Keys are shown
  /// by their counts alone.
  std::optional<std::string> Before;
  std::optional<std::string> After;
};

/// What \p Next changes, sorted by list, name and field. The order of entries
/// is not compared. Thread-safe.
std::vector<configuration_difference>
compareConfigurations(const gateway_configuration &InForce,
                      const gateway_configuration &Next);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_DIFFERENCE_H
