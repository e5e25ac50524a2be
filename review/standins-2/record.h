#ifndef PARSLEYSPINDLE_REVIEW_STANDINS_2_RECORD_H
#define PARSLEYSPINDLE_REVIEW_STANDINS_2_RECORD_H

#include "net.h"

#include <cstdarg>
#include <cstdio>
#include <mutex>

namespace review {

/// Writes what was sent, answered and run to the case's record, with the time
/// in seconds. Thread-safe.
class recorder {
public:
  explicit recorder(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")) {}

  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!File)
      return;
    std::fprintf(File, "%9.3f  ", now());
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::mutex Mutex;
  std::FILE *File;
};

} // namespace review

#endif // PARSLEYSPINDLE_REVIEW_STANDINS_2_RECORD_H
