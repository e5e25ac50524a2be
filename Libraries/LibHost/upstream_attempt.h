#ifndef PARSLEYSPINDLE_LIBHOST_UPSTREAM_ATTEMPT_H
#define PARSLEYSPINDLE_LIBHOST_UPSTREAM_ATTEMPT_H

#include "LibHost/request_context.h"
#include "LibResilience/call_progress.h"

#include <optional>

namespace spindle {

/// Books one attempt to run a request on an upstream with the parts that
/// count it: load, health, and suspicion. Used by one fiber.
class upstream_attempt {
public:
  /// Notes that the request is being sent.
  upstream_attempt(request_services &Services, upstream_id Upstream,
                   endpoint Address, request_fingerprint Fingerprint);
  /// Ends the attempt as failed if it was not ended before.
  ~upstream_attempt();
  upstream_attempt(const upstream_attempt &) = delete;
  upstream_attempt &operator=(const upstream_attempt &) = delete;

  /// Notes that the answer's first byte has come.
  void noteFirstByte();
  /// Ends the attempt: the whole answer came.
  void succeed();
  /// Ends the attempt by \p Failure; a lost upstream is shared with other
  /// hosts before this returns. Blocks the calling fiber.
  void fail(attempt_failure Failure);
  /// How long to wait before the request is sent again; see
  /// suspect_registry::noteEnd(). Precondition: fail() was called.
  nanoseconds pauseBeforeRetry() const { return Pause; }

private:
  void end(run_end End);
  void doubtConnections();

  request_services &Services;
  upstream_id Upstream;
  endpoint Address;
  request_fingerprint Fingerprint;
  time_point StartedAt;
  /// The upstream had been lost before this attempt began: that it is lost
  /// again says nothing of the request.
  bool BegunWhileLost = false;
  nanoseconds Pause{0};
  bool Ended = false;
};

/// What kind of failure an error of the HTTP client is; nullopt if it is the
/// caller's or the operator's doing and not the upstream's. Thread-safe.
std::optional<attempt_failure> failureOf(const spindle_error &Error);

/// The deadlines and connection of a call to an upstream. Thread-safe.
http_call_limits limitsFor(const request_context &Context,
                           upstream_id Upstream);
connection_use connectionFor(const request_context &Context,
                             upstream_id Upstream, bool Idempotent);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_UPSTREAM_ATTEMPT_H
