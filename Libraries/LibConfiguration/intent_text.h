#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_TEXT_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_TEXT_H

#include "LibConfiguration/intent.h"

#include <string>
#include <string_view>

namespace spindle {

/// Reads an intent, JSON with comments, and checks it whole.
/// \throws spindle_error InvalidIntent whose message has a line for each
/// problem: "FILE:LINE:COLUMN: field: what is wrong". Thread-safe.
intent parseIntent(std::string_view Text, std::string_view FileName);
/// As parseIntent(), but keys that the text doesn't mention at all are
/// \p KeysInForce, so that an operator's file need not repeat them.
intent parseIntent(std::string_view Text, std::string_view FileName,
                   const std::vector<key_grant> &KeysInForce);
/// Writes what parseIntent reads, always alike for the same intent; lists of
/// named things are sorted by name. Thread-safe.
std::string writeIntent(intent Intent);
/// Reads a text that writeIntent made from a part of an intent, without
/// checking what refers to other parts.
/// \throws spindle_error ConfigurationCorrupt. Thread-safe.
intent readIntentPart(std::string_view Text);
/// Writes the table of all fields in Markdown. Thread-safe.
std::string printIntentReference();

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_INTENT_TEXT_H
