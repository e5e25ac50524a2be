#include "LibLog/line_writer.h"

#include <poll.h>
#include <unistd.h>

namespace spindle {

bool writeLine(int Descriptor, std::string Line) {
  if (Line.size() > LongestLine)
    Line.resize(LongestLine);
  Line.push_back('\n');
  // A pipe reports room only if it takes a page, which a line never exceeds.
  pollfd Poll{Descriptor, POLLOUT, 0};
  if (::poll(&Poll, 1, 0) != 1 || (Poll.revents & POLLOUT) == 0)
    return false;
  return ::write(Descriptor, Line.data(), Line.size()) ==
         static_cast<ssize_t>(Line.size());
}

} // namespace spindle
