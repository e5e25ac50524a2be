#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_TEXT_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_TEXT_H

#include "LibConfiguration/intent.h"

#include <string>
#include <string_view>

namespace spindle {

/// Parses an intent from JSON with comments and validates it.
/// \throws spindle_error InvalidIntent whose message has a line for each
/// problem: "FILE:LINE:COLUMN: field: what is wrong". Thread-safe.
intent parseIntent(std::string_view Text, std::string_view FileName);
/// Like parseIntent(), but uses \p KeysInForce if the text has no "keys", so
/// that an operator's file need not repeat them.
intent parseIntent(std::string_view Text, std::string_view FileName,
                   const std::vector<key_grant> &KeysInForce);
/// Serializes an intent for parseIntent(). The output is deterministic: lists
/// are sorted by name. Thread-safe.
std::string writeIntent(intent Intent);
/// Reads a part of an intent written by writeIntent(), without checking
/// references to other parts.
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
intent readIntentPart(std::string_view Text);
/// Writes the table of all fields in Markdown. Thread-safe.
std::string printIntentReference();

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_TEXT_H
