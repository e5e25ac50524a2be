#ifndef PARSLEYSPINDLE_LIBHOST_SNAPSHOT_BUILDER_H
#define PARSLEYSPINDLE_LIBHOST_SNAPSHOT_BUILDER_H

#include "LibConfiguration/configuration_snapshot.h"

#include <cstdint>
#include <map>
#include <string>

namespace spindle {

/// Reads, checks and indexes a configuration from its parts on a thread of
/// its own, since that takes a third of a second at 62,000 adapters and would
/// hold up the requests on the calling one. Blocks the calling fiber.
/// Precondition: \p Parts has every part that the index lists.
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
snapshot_pointer buildAside(std::uint64_t Version, const std::string &Index,
                            const std::map<std::string, std::string> &Parts);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_SNAPSHOT_BUILDER_H
