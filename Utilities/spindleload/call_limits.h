#ifndef PARSLEYSPINDLE_SPINDLELOAD_CALL_LIMITS_H
#define PARSLEYSPINDLE_SPINDLELOAD_CALL_LIMITS_H

#include "LibHTTP/http_client.h"

namespace spindle {

/// Deadlines of a call that differ from the usual ones. Thread-safe.
inline http_call_limits makeCallLimits(milliseconds Connect,
                                       milliseconds FirstByte,
                                       milliseconds BetweenBytes) {
  http_call_limits Limits;
  Limits.Connect = Connect;
  Limits.FirstByte = FirstByte;
  Limits.BetweenBytes = BetweenBytes;
  return Limits;
}

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_CALL_LIMITS_H
