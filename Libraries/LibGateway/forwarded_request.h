#ifndef PARSLEYSPINDLE_LIBGATEWAY_FORWARDED_REQUEST_H
#define PARSLEYSPINDLE_LIBGATEWAY_FORWARDED_REQUEST_H

#include "LibGateway/gateway_services.h"
#include "LibGateway/stream_timing.h"
#include "LibHTTP/http_server.h"
#include "LibResilience/request_fingerprint.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace spindle {

/// The state of one request while it is forwarded. Used by one fiber.
struct forwarded_request {
  gateway_services &Services;
  http_exchange &Exchange;
  /// The configuration for the whole request, even if a newer one comes into
  /// force meanwhile.
  configuration_pointer Configuration;
  const gateway_route &Route;
  const gateway_service &Service;
  /// Null on a public route if no known key was sent, or if no customers are
  /// configured.
  const gateway_customer *Customer = nullptr;
  request_description Description;
  std::string Body;
  request_fingerprint Fingerprint;
  /// The parts of the prompt that other requests may share.
  std::vector<part_id> SharedParts;
  time_point Start;
  /// When the final response is due.
  time_point Deadline;
  std::shared_ptr<cancellation> Cancellation;
  request_stages::registration &Stage;

  /// The upstreams that the request was sent to.
  std::vector<upstream_id> SentTo;
  /// Upstreams that are excluded although the request was not sent to them.
  std::vector<upstream_id> Avoid;
  /// The connections to upstreams that have carried the request. They all
  /// carried the same request id, so that the answer to a repeat on one of them
  /// could be a late copy of the answer before.
  std::vector<std::uint64_t> UsedConnections;
  std::uint32_t SendCount = 0;
  /// Whether an upstream may have run the request.
  bool MayHaveRun = false;
  /// The id of the last event that was forwarded; a resumed stream starts
  /// after it.
  std::string LastEventId;
  /// Whether the head of a stream, and maybe events, were sent to the caller.
  bool StreamStarted = false;
  /// Until an adapter slot is expected to be granted, as stated by the zone
  /// that refused the request last; none if it stated no time.
  std::optional<milliseconds> UntilSlot = std::nullopt;
  /// Whether a wait ended only because this host stops too soon to serve the
  /// request.
  bool IsEndedByDrain = false;
  /// What the request was expected to cost before it was sent.
  request_cost ExpectedCost{};
  /// The events with data that were received, over all attempts.
  std::int64_t EventCount = 0;
  /// How long an engine of the usual speed would read the prompt; 0 if its time
  /// is no sample of the engine's speed.
  milliseconds UsualReading{0};
  stream_timing Timing{};

  bool isModelCall() const { return Service.Engine.has_value(); }
  /// The output that was received so far, in events if the service's
  /// configuration doesn't state the tokens of an event.
  std::int64_t outputTokens() const {
    const std::int64_t TokensPerEvent =
        isModelCall() ? Service.Engine->TokensPerEvent : 0;
    return EventCount * std::max<std::int64_t>(TokensPerEvent, 1);
  }
  /// How much time the caller has left.
  milliseconds callerTimeLeft() const {
    return std::chrono::duration_cast<milliseconds>(Deadline -
                                                    Services.Clock.now());
  }
  /// How much time is left until the response must have begun, if this host
  /// stops earlier than the caller's time ends.
  milliseconds timeLeft() const {
    const time_point Due = std::min(Deadline, Services.Drain.get());
    return std::chrono::duration_cast<milliseconds>(Due - Services.Clock.now());
  }
  /// Whether the request was ended since its caller is gone. One that this host
  /// ends as it stops is still answered.
  bool callerHasLeft() const {
    const std::optional<result_code> Reason = Cancellation->reason();
    return Reason && *Reason != result_code::HostStops;
  }
};

/// How much longer requests that share a part of the prompt are held back, as
/// they crash upstreams; 0 if they are not.
milliseconds partsHeldBackFor(const forwarded_request &Request);

/// The urgency of a request from 0 (most urgent) to 9: the customer's priority
/// if it has one, otherwise the route's.
int urgencyOf(const forwarded_request &Request);

/// How one attempt ended.
enum class attempt_outcome {
  /// The caller has received a complete response.
  Answered,
  /// The upstream did not run the request: it was full, or is not the upstream
  /// that the request was meant for.
  NotRun,
  /// The upstream has not loaded the adapter.
  AdapterMissing,
  /// No byte of the request reached the upstream.
  NotReached,
  /// The upstream may have run the request, but no usable response arrived.
  Lost,
  /// The upstream ran the request and returned a server error.
  Failed,
  /// The stream was cut off after a part of it had been forwarded.
  StreamInterrupted,
};

struct attempt_report {
  attempt_outcome Outcome = attempt_outcome::Lost;
  int Status = 0;
  std::string Cause;
  /// The upstream's response; forwarded if no later attempt succeeds.
  std::optional<http_response> Response;
};

/// Sends the request to \p Upstream and forwards the response. On the last
/// attempt, as \p IsLastAttempt tells, server errors are forwarded as well.
/// \throws spindle_error if the caller closed the connection or reads too
/// slowly.
attempt_report attemptUpstream(forwarded_request &Request,
                               const upstream_entry &Upstream,
                               std::optional<std::uint64_t> AdapterVersion,
                               bool IsLastAttempt);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_FORWARDED_REQUEST_H
