#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_HEAD_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_HEAD_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// What was changed, by whom and when. It stands in the head that the change
/// made, so that neither exists without the other.
struct audit_entry {
  std::uint64_t Version = 0;
  /// The nonce of the write that made the change.
  std::string Nonce;
  std::string Operator;
  wall_time At;
  /// The changes in short.
  std::string Summary;
  /// Digest of the part that lists all changes, a line each.
  std::string Changes;

  bool operator==(const audit_entry &) const = default;
};

/// The one object that tells which configuration is in force. Everything that
/// it names is immutable.
struct configuration_head {
  std::uint64_t Version = 0;
  /// Chosen by the writer, who recognises its own write by it.
  std::string Nonce;
  /// Digest of the part that lists the digests of all parts of the intent.
  std::string Index;
  /// The last changes, the newest last.
  std::vector<audit_entry> Audit;
  /// Digest of the part with the entries before those, empty for none.
  std::string OlderAudit;

  bool operator==(const configuration_head &) const = default;
};

/// Entries that a head holds before the older half moves to a part.
inline constexpr std::size_t AuditEntriesInHead = 8;

/// Writes a head as JSON. Thread-safe.
std::string writeHead(const configuration_head &Head);
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
configuration_head readHead(std::string_view Text);

/// Older audit entries, and the part before them.
struct audit_page {
  std::vector<audit_entry> Entries;
  std::string Older;
};

std::string writeAuditPage(const audit_page &Page);
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
audit_page readAuditPage(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_HEAD_H
