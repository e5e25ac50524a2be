#ifndef PARSLEYSPINDLE_LIBCORE_DIGEST_H
#define PARSLEYSPINDLE_LIBCORE_DIGEST_H

#include <string>
#include <string_view>

namespace spindle {

/// Returns the SHA-256 digest of \p Data in lower-case hexadecimal, 64
/// characters. Thread-safe.
std::string sha256Hex(std::string_view Data);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCORE_DIGEST_H
