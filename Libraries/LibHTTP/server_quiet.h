#ifndef PARSLEYSPINDLE_LIBHTTP_SERVER_QUIET_H
#define PARSLEYSPINDLE_LIBHTTP_SERVER_QUIET_H

#include "LibHTTP/http_server.h"

namespace spindle {

/// Waits until no exchange of \p Server has run for \p QuietFor, or until
/// \p Until. Blocks the calling fiber.
void waitUntilQuiet(const http_server &Server, const runtime_clock &Clock,
                    milliseconds QuietFor, time_point Until);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHTTP_SERVER_QUIET_H
