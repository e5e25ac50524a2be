#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_RECORD_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_RECORD_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace spindle {

/// A host's lease as stored at the platform: one object per host, of the kind
/// that leaseKind() returns for its zone. Only the host writes it, except for
/// DrainRequested.
struct lease_record {
  std::string Zone;
  endpoint Link;
  /// The boot ID of the running kernel. A process that listens at the Link of a
  /// record with the same boot ID knows that the record's process has ended.
  std::string Boot;
  std::uint64_t Incarnation = 0;
  /// The incarnation that this one replaced, if it has certainly ended.
  std::uint64_t EndedIncarnation = 0;
  /// Incremented at each renewal.
  std::uint64_t Renewals = 0;
  /// Incremented when the lease, or the longer lease on the share, was not
  /// renewed in time. Claims made under an earlier term must be made again.
  std::uint64_t LeaseTerm = 0;
  std::uint64_t ShareTerm = 0;
  /// Unique to each renewal, so that its writer recognises it.
  std::string Nonce;
  std::uint64_t ConfigurationVersion = 0;
  bool Draining = false;
  /// Set by an operator.
  bool DrainRequested = false;
  /// The host has released all its claims and will not renew again.
  bool Stopped = false;
  wall_time RenewedAt;

  bool operator==(const lease_record &) const = default;
};

/// Returns the platform's object kind for the leases of a zone. Each zone has
/// its own, as hosts list their own zone's leases often and those of other
/// zones rarely. Thread-safe.
std::string leaseKind(std::string_view Zone);
/// Serializes a record to JSON. Thread-safe.
std::string writeLease(const lease_record &Record);
/// Parses a record. Thread-safe.
/// \throws spindle_error Internal if the text is not a valid record.
lease_record readLease(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_RECORD_H
