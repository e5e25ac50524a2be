#ifndef PARSLEYSPINDLE_LIBORDERS_ORDER_RECORD_H
#define PARSLEYSPINDLE_LIBORDERS_ORDER_RECORD_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibHTTP/http_message.h"

#include <string>
#include <string_view>

namespace spindle {

/// The state of an order according to its record on the platform.
enum class order_state {
  /// A host may dispatch it, has dispatched it, or crashed before it wrote the
  /// outcome.
  Claimed,
  /// It ran; the record holds the response unless that was too large.
  Done,
  /// It did not run and may be claimed again.
  Released,
  /// It may have run; the outcome can no longer be determined.
  Unknown
};

/// The platform's record of one order key.
struct order_record {
  /// Identifies the attempt that holds the claim.
  std::string Nonce;
  /// Distinguishes a repeat of the order from another order with the same key.
  std::string BodyDigest;
  order_state State = order_state::Claimed;
  wall_time ClaimedAt;
  /// Until this time a repeat is refused because the order is in progress.
  wall_time InProgressUntil;
  /// Whether Response holds the response; only in the state Done.
  bool ResponseStored = false;
  http_response Response;
};

/// Returns the name of the object on the platform. It is a digest, because an
/// order key is the caller's secret. Thread-safe.
std::string orderObjectName(customer_id Customer, std::string_view Route,
                            std::string_view OrderKey);
/// Serializes a record as JSON. Strings that are not UTF-8 are preserved byte
/// for byte. Thread-safe.
std::string toJson(const order_record &Record);
/// Parses the output of toJson(). A stored response whose status is none of a
/// final answer is dropped, and the outcome is Unknown. Thread-safe.
/// \throws spindle_error Internal if \p Text is not a valid record.
order_record parseOrderRecord(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBORDERS_ORDER_RECORD_H
