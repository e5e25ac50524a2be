#ifndef PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_CODEC_H
#define PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_CODEC_H

#include "LibGateway/gateway_configuration.h"
#include "LibGateway/request_description.h"
#include "LibGateway/upstream_entry.h"
#include "LibGateway/upstream_statement.h"
#include "LibHTTP/http_message.h"
#include "LibRouting/engine_facts.h"

#include <functional>

namespace spindle {

/// What the host adds to the head of a request to an upstream.
struct upstream_request_metadata {
  /// The intended upstream. A different one at the same address refuses the
  /// request.
  std::string Upstream;
  /// Empty if no customer was identified.
  std::string Customer;
  milliseconds TimeLeft{0};
  /// From 0, the most urgent, to 9.
  std::optional<int> Urgency;
  /// The version that the adapter must have.
  std::optional<std::uint64_t> AdapterVersion;
  /// The event after which a stream is resumed; if empty, the caller's own
  /// field is kept.
  std::string LastEventId;
};

/// What the head of an upstream's response states besides the status.
struct upstream_response_metadata {
  /// The id of the request; empty if the response does not state it.
  std::string AttemptId;
  /// Whether the upstream states that it did not run the request and will not.
  bool NotRun = false;
  /// Whether the upstream's signature is present.
  bool Signed = false;
  upstream_statement Statement;
  /// What an engine states of its load; none if it states nothing that can be
  /// read.
  std::optional<engine_reading> Reading;
  /// Whether the response states a load that can't be read.
  bool HasMalformedReading = false;
};

/// Encodes and decodes the requests, responses and records of external systems.
/// Every function is thread-safe and stateless.
struct gateway_codec {
  /// \throws spindle_error BadRequest if a field can't be read.
  std::function<request_description(const http_request_head &)> ReadRequest;
  /// Builds the head for the upstream: the caller's head without the fields
  /// that upstreams must not see, plus those for \p Metadata.
  std::function<http_request_head(const http_request_head &,
                                  const upstream_request_metadata &Metadata)>
      WriteUpstreamRequest;
  std::function<upstream_response_metadata(const http_response_head &)>
      ReadResponse;
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
  /// Objects of this kind have the names of the zones that are evacuated.
  std::string EvacuationKind;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_GATEWAY_CODEC_H
