#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_HEAD_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_HEAD_H

#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// Records what was changed, by whom and when. It is part of the head that the
/// change wrote, so that a change is never stored without its audit entry.
struct audit_entry {
  std::uint64_t Version = 0;
  /// The nonce of the write that made the change.
  std::string Nonce;
  std::string Operator;
  wall_time At;
  /// A short summary of the changes.
  std::string Summary;
  /// Digest of the part that lists all changes, one per line.
  std::string Changes;

  bool operator==(const audit_entry &) const = default;
};

/// The single object that determines which configuration is in force. All
/// objects that it refers to are immutable.
struct configuration_head {
  std::uint64_t Version = 0;
  /// Chosen by the writer, which uses it to recognise its own write.
  std::string Nonce;
  /// Digest of the part that lists the digests of all parts of the intent.
  std::string Index;
  /// The latest changes, the newest last.
  std::vector<audit_entry> Audit;
  /// Digest of the part with the older entries; empty if there are none.
  std::string OlderAudit;

  bool operator==(const configuration_head &) const = default;
};

/// Entries that a head holds before the older half is moved to a part.
inline constexpr std::size_t AuditEntriesInHead = 8;

/// Serializes a head as JSON. Thread-safe.
std::string writeHead(const configuration_head &Head);
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
configuration_head readHead(std::string_view Text);

/// Older audit entries, and the digest of the page before them.
struct audit_page {
  std::vector<audit_entry> Entries;
  std::string Older;
};

std::string writeAuditPage(const audit_page &Page);
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
audit_page readAuditPage(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_HEAD_H
