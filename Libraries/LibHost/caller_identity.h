#ifndef PARSLEYSPINDLE_LIBHOST_CALLER_IDENTITY_H
#define PARSLEYSPINDLE_LIBHOST_CALLER_IDENTITY_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibHTTP/http_message.h"

#include <string>
#include <string_view>

namespace spindle {

/// The identity of a request's caller. All fields may be empty on a route that
/// needs no key.
struct caller_identity {
  customer_id Customer;
  /// The key as received; never logged or forwarded.
  std::string Key;
  /// SHA-256 of the key in hexadecimal.
  std::string Digest;
};

/// Authenticates the key in "Authorization: Bearer KEY".
/// \p LastConfirmed is when the configuration was last confirmed as the newest.
/// \throws spindle_error KeyMissing, KeyUnknown, KeyNotConfirmed.
/// Thread-safe.
caller_identity identifyCaller(const http_request_head &Request,
                               const configuration_snapshot &Snapshot,
                               time_point Now, time_point LastConfirmed);
/// The key in a request, whether granted or not; empty if there is none.
/// Thread-safe.
std::string_view presentedKey(const http_request_head &Request);

/// The header fields that may be forwarded to an upstream: all except those
/// that carry a credential, contain \p Key, or concern only the caller's
/// connection. Thread-safe.
http_fields fieldsForUpstream(const http_fields &Fields, std::string_view Key);
/// The target without the query parameters that carry a credential.
/// \throws spindle_error BadRequest if the result contains \p Key, plain or
/// percent-encoded. Thread-safe.
std::string targetForUpstream(std::string_view Target, std::string_view Key);
/// \throws spindle_error BadRequest if \p Body contains \p Key. Thread-safe.
void rejectKeyInBody(std::string_view Body, std::string_view Key);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_CALLER_IDENTITY_H
