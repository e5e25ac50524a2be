#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_VALIDATE_INTENT_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_VALIDATE_INTENT_H

#include "LibConfiguration/intent.h"
#include "LibSettings/json_text.h"

#include <vector>

namespace spindle {

/// Turns a name into an identity, as hashName() does.
using name_hash = std::uint64_t (*)(std::string_view);

/// Checks what refers to what: duplicates, names that hash alike, references
/// to what isn't declared. Ranges are checked as the fields are read.
/// Returns every problem; none: the intent may be put in force. Thread-safe.
std::vector<input_problem> validateIntent(const intent &Intent,
                                          name_hash Hash = hashName);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_VALIDATE_INTENT_H
