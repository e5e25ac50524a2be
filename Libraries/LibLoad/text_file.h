#ifndef PARSLEYSPINDLE_LIBLOAD_TEXT_FILE_H
#define PARSLEYSPINDLE_LIBLOAD_TEXT_FILE_H

#include <string>

namespace spindle {

/// Reads a whole file. \throws spindle_error InvalidSettings if it can't be
/// read. Thread-safe.
std::string readTextFile(const std::string &Path);
/// Replaces a file. \throws spindle_error Internal if it can't be written.
/// Thread-safe.
void writeTextFile(const std::string &Path, const std::string &Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_TEXT_FILE_H
