#ifndef PARSLEYSPINDLE_LIBGATEWAY_FORWARDED_REQUEST_H
#define PARSLEYSPINDLE_LIBGATEWAY_FORWARDED_REQUEST_H

#include "LibGateway/gateway_services.h"
#include "LibHTTP/http_server.h"
#include "LibResilience/request_fingerprint.h"

#include <optional>
#include <string>
#include <vector>

namespace spindle {

/// One request on its way. Used by one fiber.
struct forwarded_request {
  gateway_services &Services;
  http_exchange &Exchange;
  /// The configuration that the whole request is served by.
  configuration_pointer Configuration;
  const gateway_route &Route;
  const gateway_service &Service;
  /// Null on open routes.
  const gateway_customer *Customer = nullptr;
  request_description Description;
  std::string Body;
  request_fingerprint Fingerprint;
  time_point Start;
  /// When the final answer is due.
  time_point Deadline;
  std::shared_ptr<cancellation> Cancellation;

  /// The upstreams that it was sent to.
  std::vector<upstream_id> SentTo;
  /// Upstreams that are passed over though nothing was sent there.
  std::vector<upstream_id> Avoid;
  std::uint32_t Sends = 0;
  /// An upstream may have run it.
  bool MayHaveRun = false;
  /// The id of the last event that was passed on, for a resumption.
  std::string LastEventId;
  /// The caller has the head, and maybe events, of a stream.
  bool StreamStarted = false;

  bool isModelCall() const { return Service.Engine.has_value(); }
  milliseconds timeLeft() const {
    return std::chrono::duration_cast<milliseconds>(Deadline -
                                                    Services.Clock.now());
  }
};

/// How urgent the request is, from 0, the most urgent, to 9.
int urgencyOf(const forwarded_request &Request);

/// How one attempt ended.
enum class attempt_end {
  /// The caller has its whole answer.
  Answered,
  /// The upstream has not run the request: it was full, or another one.
  NotRun,
  /// The upstream does not have the adapter.
  AdapterMissing,
  /// Nothing reached the upstream.
  NotReached,
  /// The upstream may have run it; no usable answer came.
  Lost,
  /// The upstream has run it and failed.
  Failed,
  /// Part of the stream was passed on before it broke.
  Broken,
};

struct attempt_report {
  attempt_end End = attempt_end::Lost;
  int Status = 0;
  std::string Cause;
  /// An answer of the upstream that may be passed on if nothing better comes.
  std::optional<http_response> Answer;
};

/// Sends the request to \p Upstream and passes its answer on. \p LastTry tells
/// that no other attempt can follow, so that any answer is passed on.
/// \throws spindle_error if the caller has gone.
attempt_report attemptUpstream(forwarded_request &Request,
                               const upstream_entry &Upstream,
                               std::optional<std::uint64_t> AdapterVersion,
                               bool LastTry);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_FORWARDED_REQUEST_H
