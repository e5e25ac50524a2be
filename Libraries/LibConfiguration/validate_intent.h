#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_VALIDATE_INTENT_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_VALIDATE_INTENT_H

#include "LibConfiguration/intent.h"
#include "LibSettings/json_text.h"

#include <vector>

namespace spindle {

/// Computes the hash that identifies a name, such as hashName().
using name_hash = std::uint64_t (*)(std::string_view);

/// Checks an intent for duplicates, names with the same hash and references to
/// undeclared names. Ranges of values are checked when the fields are read.
/// Returns every problem; the intent is valid if there are none. Thread-safe.
std::vector<input_problem> validateIntent(const intent &Intent,
                                          name_hash Hash = hashName);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_VALIDATE_INTENT_H
