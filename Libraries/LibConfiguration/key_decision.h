#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_KEY_DECISION_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_KEY_DECISION_H

#include "LibConfiguration/configuration_snapshot.h"

namespace spindle {

enum class key_verdict { Granted, Unknown, NotConfirmed };

/// Whether a key may be used, and the customer that it belongs to.
struct key_decision {
  key_verdict Verdict = key_verdict::Unknown;
  const key_grant *Grant = nullptr;
  customer_id Customer;
};

/// Decides whether the key with the SHA-256 digest \p Digest may be used.
/// \p LastConfirmed is the time at which the platform or a peer last confirmed
/// that \p Snapshot is the newest configuration; a customer that declared
/// "refuse" is served only for its isolation limit after that time. The grant
/// in the result is valid as long as the snapshot. Thread-safe.
key_decision decideKey(const configuration_snapshot &Snapshot,
                       std::string_view Digest, time_point Now,
                       time_point LastConfirmed);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_KEY_DECISION_H
