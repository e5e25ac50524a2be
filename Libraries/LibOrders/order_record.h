#ifndef PARSLEYSPINDLE_LIBORDERS_ORDER_RECORD_H
#define PARSLEYSPINDLE_LIBORDERS_ORDER_RECORD_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibHTTP/http_message.h"

#include <string>
#include <string_view>

namespace spindle {

/// How far an order has come, as far as the platform's record tells.
enum class order_state {
  /// A host may dispatch it, has done so, or died before it wrote what became
  /// of it.
  Claimed,
  /// It ran; the record holds the answer unless that was too large.
  Done,
  /// It certainly did not run and may be claimed again.
  Released,
  /// It may have run; nobody will learn whether.
  Unknown
};

/// The platform's record of one order key.
struct order_record {
  /// Names the attempt that holds the claim.
  std::string Nonce;
  /// Tells a repeat of the order from another order with the same key.
  std::string BodyDigest;
  order_state State = order_state::Claimed;
  wall_time ClaimedAt;
  /// Until then a repeat is told that the order is in progress.
  wall_time InProgressUntil;
  /// Done: whether Answer is complete.
  bool AnswerKept = false;
  http_response Answer;
};

/// The object's name at the platform: a digest, because an order key is the
/// caller's secret. Thread-safe.
std::string orderObjectName(customer_id Customer, std::string_view Route,
                            std::string_view OrderKey);
/// Writes a record as JSON. Bodies that aren't UTF-8 are kept byte for byte.
/// Thread-safe.
std::string toJson(const order_record &Record);
/// Reads what toJson() writes. Thread-safe.
/// \throws spindle_error Internal if \p Text is not a record.
order_record parseOrderRecord(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBORDERS_ORDER_RECORD_H
