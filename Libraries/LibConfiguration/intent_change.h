#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_CHANGE_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_CHANGE_H

#include "LibConfiguration/intent.h"

#include <string>
#include <vector>

namespace spindle {

enum class change_kind { Added, Removed, Changed };

/// One difference between two intents.
struct intent_change {
  change_kind Kind = change_kind::Changed;
  /// "customer", "key", "adapter", ...
  std::string Subject;
  std::string Name;
  /// For Changed: "field: before -> after" for each field that differs.
  std::string Detail;

  bool operator==(const intent_change &) const = default;
};

/// Lists the differences, in the order of the lists in an intent. Thread-safe.
std::vector<intent_change> compareIntents(const intent &Before,
                                          const intent &After);
/// Describes a change in one line; a removed key is "withdrawn". Thread-safe.
std::string describeChange(const intent_change &Change);
/// Describes changes in one line of bounded length. Thread-safe.
std::string summarizeChanges(const std::vector<intent_change> &Changes);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_CHANGE_H
