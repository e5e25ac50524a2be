#ifndef PARSLEYSPINDLE_LIBCORE_UTF8_H
#define PARSLEYSPINDLE_LIBCORE_UTF8_H

#include <string_view>

namespace spindle {

/// Whether \p Text is valid UTF-8: without overlong forms, surrogates and code
/// points beyond U+10FFFF. Thread-safe.
bool isValidUtf8(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_UTF8_H
