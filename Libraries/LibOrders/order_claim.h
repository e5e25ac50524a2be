#ifndef PARSLEYSPINDLE_LIBORDERS_ORDER_CLAIM_H
#define PARSLEYSPINDLE_LIBORDERS_ORDER_CLAIM_H

#include "LibOrders/order_record.h"

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

struct order_executor_settings {
  /// How long a host tries to confirm that its claim was written.
  milliseconds ClaimTimeout{2'000};
  /// Maximum time between sending the claim and dispatching the order. Must be
  /// far shorter than Retention, so that an order is never dispatched after its
  /// record was deleted.
  milliseconds DispatchWindow{5'000};
  /// Delay between two attempts to reach the platform.
  milliseconds RetryDelay{50};
  /// Records older than this are deleted.
  seconds Retention{24 * 3'600};
  /// How often records are listed to find expired ones.
  seconds SweepInterval{3'600};
  /// Maximum number of records deleted in one sweep.
  std::size_t DeletionsPerSweep = 20;
  /// Maximum number of outcomes written in one sweep.
  std::size_t WritesPerSweep = 50;
  /// Larger responses are not stored.
  std::size_t ResponseLimitBytes = 256 * 1024;
  /// Memory limit for the responses of outcomes that have not been written yet.
  std::size_t UnwrittenLimitBytes = 8 * 1024 * 1024;
  /// How long a host keeps checking whether an unconfirmed claim was written.
  seconds AbandonedClaimTimeout{600};
  /// Suspends the calling fiber.
  std::function<void(nanoseconds)> Sleep;
};

/// What the record stored under an order key means for an attempt.
enum class claim_status {
  /// The claim belongs to this attempt: its write took effect.
  OwnClaim,
  /// No attempt is running the order; it may be claimed by replacing the
  /// record.
  Claimable,
  Replay,
  ResponseNotStored,
  InProgress,
  OutcomeUnknown,
  KeyMismatch
};

/// An attempt to run an order.
struct order_attempt {
  std::string Nonce;
  std::string BodyDigest;
};

/// Evaluates the record stored under an order key. \p HolderAbandoned is true
/// if the claim belongs to an attempt of this host that ended without
/// dispatching. A claim is never taken over because of its age alone: its
/// holder may have dispatched the order.
claim_status evaluateRecord(const order_record &Stored,
                            const order_attempt &Attempt, bool HolderAbandoned,
                            wall_time Now);
/// Returns whether an attempt may still dispatch. The time since its claim was
/// sent is limited, so that a host that was paused never dispatches an order
/// whose record has been deleted in the meantime.
bool mayDispatch(time_point ClaimSentAt, milliseconds DispatchWindow,
                 time_point Now);
/// Returns the record of a new claim.
order_record makeClaimRecord(const order_attempt &Attempt,
                             milliseconds CallTimeout,
                             milliseconds DispatchWindow, wall_time Now);
/// Returns the record after the service responded. Omits a response larger than
/// \p LimitBytes, and header fields that apply to the connection only.
order_record makeDoneRecord(const order_record &Claim,
                            const http_response &Response,
                            std::size_t LimitBytes);

/// The time at which a record was claimed, and its version on the platform.
struct record_age {
  std::string Name;
  std::uint64_t Version = 0;
  wall_time ClaimedAt;
};

/// Returns the records past their retention. Timestamps come from the clocks of
/// many hosts. A record therefore counts as claimed no earlier than any record
/// with a lower version, and the current time as no later than the newest
/// timestamp, so that one wrong clock never causes an early deletion.
std::vector<record_age> expiredRecords(std::span<const record_age> Records,
                                       seconds Retention, wall_time Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBORDERS_ORDER_CLAIM_H
