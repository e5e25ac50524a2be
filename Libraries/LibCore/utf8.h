#ifndef PARSLEYSPINDLE_LIBCORE_UTF8_H
#define PARSLEYSPINDLE_LIBCORE_UTF8_H

#include <string_view>

namespace spindle {

/// Whether \p Text is valid UTF-8, so that a JSON string can hold it.
/// Thread-safe.
bool isValidUtf8(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_UTF8_H
