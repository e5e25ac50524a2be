#ifndef PARSLEYSPINDLE_LIBHOST_UPSTREAM_ATTEMPT_H
#define PARSLEYSPINDLE_LIBHOST_UPSTREAM_ATTEMPT_H

#include "LibHost/request_context.h"
#include "LibResilience/call_progress.h"

#include <optional>

namespace spindle {

/// Records one attempt to run a request on an upstream in the load estimate,
/// the health state and the list of suspect requests. Used by one fiber.
class upstream_attempt {
public:
  /// Records that the request is being sent.
  upstream_attempt(request_services &Services, upstream_id Upstream,
                   endpoint Address, request_fingerprint Fingerprint);
  /// Ends the attempt as failed if it has not ended yet.
  ~upstream_attempt();
  upstream_attempt(const upstream_attempt &) = delete;
  upstream_attempt &operator=(const upstream_attempt &) = delete;

  /// Records that the first byte of the response has arrived.
  void noteFirstByte();
  /// Ends the attempt after the complete response has arrived.
  void succeed();
  /// Ends the attempt with \p Failure. If the upstream was lost, the other
  /// hosts are notified before this returns. Blocks the calling fiber.
  void fail(attempt_failure Failure);
  /// How long to wait before the request is sent again; see
  /// suspect_registry::noteEnd(). Precondition: fail() was called.
  nanoseconds pauseBeforeRetry() const { return Pause; }

private:
  void end(run_end End);
  void handleTimeout();

  request_services &Services;
  upstream_id Upstream;
  endpoint Address;
  request_fingerprint Fingerprint;
  time_point StartedAt;
  /// The upstream was already lost when this attempt began, so losing it again
  /// doesn't implicate the request.
  bool WasLostAtStart = false;
  nanoseconds Pause{0};
  bool Ended = false;
};

/// Classifies an error of the HTTP client. Returns nullopt if the caller or the
/// operator caused it, not the upstream. Thread-safe.
std::optional<attempt_failure> failureOf(const spindle_error &Error);

/// The deadlines and connection of a call to an upstream. Thread-safe.
http_call_limits limitsFor(const request_context &Context,
                           upstream_id Upstream);
connection_use connectionFor(const request_context &Context,
                             upstream_id Upstream, bool Idempotent);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_UPSTREAM_ATTEMPT_H
