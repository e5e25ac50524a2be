#ifndef PARSLEYSPINDLE_LIBRESILIENCE_SUSPECT_DOCUMENT_H
#define PARSLEYSPINDLE_LIBRESILIENCE_SUSPECT_DOCUMENT_H

#include "LibResilience/crash_suspects.h"

#include <map>
#include <vector>

namespace spindle {

/// A suspect as stored in the fleet's suspect document.
struct stored_suspect {
  std::vector<upstream_id> Lost;
  /// Wall-clock time, as hosts share no other clock. Clock skew between hosts
  /// only lengthens or shortens the time that a request stays a suspect.
  wall_time ExpiresAt;
};

/// The content of the fleet's single platform object for suspects.
using suspect_document = std::map<request_fingerprint, stored_suspect>;

/// Maximum number of suspects in the document. Suspects that are not in
/// quarantine are evicted first, then those that expire first.
inline constexpr std::size_t MaxStoredSuspects = 1024;

/// Merges \p Records into \p Document and removes expired suspects. Returns
/// whether the records changed the document. Idempotent.
bool mergeIntoDocument(suspect_document &Document,
                       const std::vector<suspect_record> &Records,
                       wall_time Now);
/// Returns the records of \p Document that have not expired.
std::vector<suspect_record> recordsOf(const suspect_document &Document,
                                      wall_time Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBRESILIENCE_SUSPECT_DOCUMENT_H
