#include "LibHTTP/server_quiet.h"

namespace spindle {

void waitUntilQuiet(const http_server &Server, const runtime_clock &Clock,
                    milliseconds QuietFor, time_point Until) {
  static constexpr milliseconds Step{50};
  time_point QuietSince = Clock.now();
  while (Clock.now() < Until && Clock.now() - QuietSince < QuietFor) {
    if (Server.runningExchanges() > 0)
      QuietSince = Clock.now();
    sleepFor(Step);
  }
}

} // namespace spindle
