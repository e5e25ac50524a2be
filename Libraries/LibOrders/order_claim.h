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

struct order_desk_settings {
  /// How long a host tries to make its claim certain.
  milliseconds ClaimTimeout{2'000};
  /// An order is not dispatched later than this after its claim was sent.
  /// Must be far shorter than Retention.
  milliseconds DispatchWindow{5'000};
  /// The pause between two tries at the platform.
  milliseconds RetryPause{50};
  /// How long records are kept.
  seconds Retention{24 * 3'600};
  /// How often the records are listed for deletion.
  seconds SweepInterval{3'600};
  /// Records deleted in one pass.
  std::size_t DeletionsPerSweep = 20;
  /// Outcomes written in one pass.
  std::size_t WritesPerSweep = 50;
  /// Larger answers are not kept.
  std::size_t AnswerLimitBytes = 256 * 1024;
  /// Memory for the answers of outcomes that wait to be written.
  std::size_t UnwrittenLimitBytes = 8 * 1024 * 1024;
  /// How long a host looks for a claim whose fate it doesn't know.
  seconds AbandonedLimit{600};
  /// Suspends the calling fiber.
  std::function<void(nanoseconds)> Sleep;
};

/// What the record found under an order key means for an attempt.
enum class claim_finding {
  /// The claim is this attempt's own: its write took effect.
  OwnClaim,
  /// Nobody runs the order; it may be claimed by replacing the record.
  Claimable,
  Replay,
  AnswerNotKept,
  InProgress,
  OutcomeUnknown,
  KeyMismatch
};

/// An attempt to run an order.
struct order_attempt {
  std::string Nonce;
  std::string BodyDigest;
};

/// Judges the record found under an order key. \p HolderGaveUp tells that this
/// host knows the claim's holder to be an attempt of its own that ended without
/// dispatching. A claim is never taken over because time has passed: its holder
/// may have dispatched.
claim_finding judgeRecord(const order_record &Stored,
                          const order_attempt &Attempt, bool HolderGaveUp,
                          wall_time Now);
/// Tells whether an attempt may dispatch: only a while after its claim was
/// sent, so that a host that was paused never dispatches an order whose record
/// has been deleted meanwhile.
bool mayDispatch(time_point ClaimSentAt, milliseconds DispatchWindow,
                 time_point Now);
/// The record of a new claim.
order_record makeClaim(const order_attempt &Attempt, milliseconds CallTimeout,
                       milliseconds DispatchWindow, wall_time Now);
/// The record after the service answered; leaves out an answer that is larger
/// than \p LimitBytes. Fields of the connection are not kept.
order_record makeDone(const order_record &Claim, const http_response &Answer,
                      std::size_t LimitBytes);

/// When a record was claimed, and its version at the platform.
struct record_age {
  std::string Name;
  std::uint64_t Version = 0;
  wall_time ClaimedAt;
};

/// Chooses the records past their retention. Stamps come from many hosts'
/// clocks, so a record counts as claimed no earlier than any record with a
/// lower version, and the present is no later than the newest stamp: one wrong
/// clock never deletes a record early.
std::vector<record_age> expiredRecords(std::span<const record_age> Records,
                                       seconds Retention, wall_time Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBORDERS_ORDER_CLAIM_H
