#ifndef PARSLEYSPINDLE_LIBHOST_SNAPSHOT_BUILDER_H
#define PARSLEYSPINDLE_LIBHOST_SNAPSHOT_BUILDER_H

#include "LibConfiguration/configuration_snapshot.h"

#include <cstdint>
#include <map>
#include <string>

namespace spindle {

/// Parses, checks and indexes a configuration from its parts on a separate
/// thread, because that takes a third of a second for 62,000 adapters and would
/// delay the requests on the calling thread. Blocks the calling fiber.
/// Precondition: \p Parts contains every part that the index lists.
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
snapshot_pointer buildOnThread(std::uint64_t Version, const std::string &Index,
                               const std::map<std::string, std::string> &Parts);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_SNAPSHOT_BUILDER_H
