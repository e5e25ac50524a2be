#ifndef PARSLEYSPINDLE_LIBLOG_LINE_WRITER_H
#define PARSLEYSPINDLE_LIBLOG_LINE_WRITER_H

#include <string>

namespace spindle {

/// Longer lines are cut, as a pipe takes more than this only in parts.
inline constexpr std::size_t LongestLine = 4'000;

/// Writes \p Line and a line end to a file descriptor, whole or not at all,
/// and never blocks: returns false if the descriptor has no room. Thread-safe
/// if calls for one descriptor don't overlap.
bool writeLine(int Descriptor, std::string Line);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOG_LINE_WRITER_H
