#ifndef PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_PLACE_H
#define PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_PLACE_H

#include <cstddef>
#include <string>

namespace spindle {

/// The lists of a configuration, in the order in which checks show them.
enum class configuration_list {
  /// The configuration itself.
  Whole,
  Routes,
  Services,
  Customers,
};

/// The fields that checks and comparisons name.
enum class configuration_field {
  None,
  Version,
  Name,
  Host,
  PathPrefix,
  Kind,
  Timeout,
  Objective,
  GapObjective,
  Priority,
  Attempts,
  Public,
  Resumable,
  Service,
  Weight,
  HealthPath,
  MaxConnections,
  WarmUpRate,
  Engine,
  AdapterSlots,
  BatchSlots,
  CacheTokens,
  TokensPerEvent,
  Megabytes,
  Models,
  ModelLoadRate,
  Keys,
  Rate,
  Burst,
  Unit,
  DefaultTokens,
  HeaderBytes,
  BodyBytes,
  HeaderTimeout,
  IdleTimeout,
};

/// An entry of a configuration.
struct configuration_place {
  configuration_list List = configuration_list::Whole;
  /// The position in the list, from 0. Services are in the order of their
  /// names.
  std::size_t Index = 0;
  /// The entry's name; empty if it has none.
  std::string Name;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_CONFIGURATION_PLACE_H
