#ifndef PARSLEYSPINDLE_LIBRESILIENCE_SUSPECT_DOCUMENT_H
#define PARSLEYSPINDLE_LIBRESILIENCE_SUSPECT_DOCUMENT_H

#include "LibResilience/crash_suspects.h"

#include <map>
#include <vector>

namespace spindle {

/// A suspect as the fleet's document holds it.
struct documented_suspect {
  std::vector<upstream_id> Lost;
  /// Suspicions lapse by the wall clock: skew between hosts only lengthens or
  /// shortens them.
  wall_time ExpiresAt;
};

/// What the fleet's one object on suspects holds.
using suspect_document = std::map<request_fingerprint, documented_suspect>;

/// Suspects that the document holds at most; those that expire first go first.
inline constexpr std::size_t MostDocumentedSuspects = 1024;

/// Merges \p Records into \p Document and drops what has expired; returns
/// whether the records changed it. Merging twice is the same as once.
bool mergeIntoDocument(suspect_document &Document,
                       const std::vector<suspect_record> &Records,
                       wall_time Now);
/// The records that \p Document holds and that have not expired.
std::vector<suspect_record> recordsOf(const suspect_document &Document,
                                      wall_time Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_SUSPECT_DOCUMENT_H
