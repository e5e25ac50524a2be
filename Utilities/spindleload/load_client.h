#ifndef PARSLEYSPINDLE_SPINDLELOAD_LOAD_CLIENT_H
#define PARSLEYSPINDLE_SPINDLELOAD_LOAD_CLIENT_H

#include "LibHTTP/http_client.h"
#include "LibLoad/load_record.h"
#include "host_balancer.h"
#include "request_text.h"

namespace spindle {

/// Sends planned requests to hosts. Thread-safe; used in fibers.
struct load_client {
  const runtime_clock &Clock;
  const load_scenarios &Common;
  host_balancer &Balancer;
  http_client &Http;
  std::string RunName;
  time_point Start;

  /// Sends one request, reads its answer and returns the outcome.
  load_record send(const planned_request &Request);
};

} // namespace spindle

#endif // PARSLEYSPINDLE_SPINDLELOAD_LOAD_CLIENT_H
