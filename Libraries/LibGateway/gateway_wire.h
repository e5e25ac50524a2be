#ifndef PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_WIRE_H
#define PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_WIRE_H

#include "LibGateway/gateway_configuration.h"
#include "LibGateway/request_description.h"
#include "LibGateway/upstream_entry.h"
#include "LibHTTP/http_message.h"

#include <functional>

namespace spindle {

/// What the host adds to a request that it sends to an upstream.
struct upstream_call {
  /// The upstream that is meant; another one at its address refuses.
  std::string Upstream;
  /// Empty on open routes.
  std::string Customer;
  milliseconds TimeLeft{0};
  /// From 0, the most urgent, to 9.
  std::optional<int> Urgency;
  /// The version that the adapter must have.
  std::optional<std::uint64_t> AdapterVersion;
  /// Where a stream goes on; empty leaves the caller's own.
  std::string LastEventId;
};

/// What the head of an upstream's answer says beside its status and body.
struct upstream_answer {
  /// The request that it answers; empty if it does not say.
  std::string AttemptId;
  /// The upstream has not run the request and never will.
  bool NotRun = false;
  /// The upstream's signature is there.
  bool Signed = false;
};

/// How requests, answers and records are spelled by those around the system.
/// Every function is thread-safe and keeps nothing.
struct gateway_wire {
  /// \throws spindle_error BadRequest if a field can't be read.
  std::function<request_description(const http_request_head &)> ReadRequest;
  /// The head for the upstream: the caller's, less what upstreams must not
  /// see, plus what \p Call says.
  std::function<http_request_head(const http_request_head &,
                                  const upstream_call &Call)>
      WriteUpstreamRequest;
  std::function<upstream_answer(const http_response_head &)> ReadAnswer;
  /// \throws spindle_error ConfigurationCorrupt.
  std::function<gateway_configuration(std::string_view Body)> ReadConfiguration;
  /// Null for a record that describes no usable upstream.
  std::function<upstream_pointer(std::string_view Name, std::string_view Body)>
      ReadUpstream;
  std::function<std::optional<adapter_release>(std::string_view Body)>
      ReadRelease;
  /// The kinds of the platform's objects, and the configuration's name.
  std::string ConfigurationKind;
  std::string ConfigurationName;
  std::string UpstreamKind;
  std::string ReleaseKind;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_WIRE_H
