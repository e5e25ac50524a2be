#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_RECORD_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_RECORD_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace spindle {

/// A host's lease as it stands at the platform, one object a host, of the
/// kind leaseKind() of its zone. The host alone writes it, but for
/// DrainRequested.
struct lease_record {
  std::string Zone;
  endpoint Link;
  /// The running kernel's identity. A process that listens at the Link of a
  /// record with the same identity knows that the record's process has ended.
  std::string Boot;
  std::uint64_t Incarnation = 0;
  /// The incarnation that this one replaced, if that one has surely ended.
  std::uint64_t EndedIncarnation = 0;
  /// Grows with each renewal.
  std::uint64_t Renewals = 0;
  /// Grow whenever the lease, or the longer lease on the share, was not
  /// renewed in time: what was held in an earlier term must be claimed anew.
  std::uint64_t LeaseTerm = 0;
  std::uint64_t ShareTerm = 0;
  /// The renewal's own mark, by which its writer recognises it.
  std::string Nonce;
  std::uint64_t ConfigurationVersion = 0;
  bool Draining = false;
  /// Set by an operator.
  bool DrainRequested = false;
  /// The host has given up all that it held and will not renew again.
  bool Stopped = false;
  wall_time RenewedAt;

  bool operator==(const lease_record &) const = default;
};

/// The platform's kind of the leases of one zone: a host lists its own zone's
/// often and other zones' seldom. Thread-safe.
std::string leaseKind(std::string_view Zone);
/// Writes a record as JSON. Thread-safe.
std::string writeLease(const lease_record &Record);
/// \throws spindle_error Internal if the text is not a record. Thread-safe.
lease_record readLease(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_RECORD_H
