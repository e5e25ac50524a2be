#ifndef PARSLEYSPINDLE_LIBLOAD_RATE_ORACLE_H
#define PARSLEYSPINDLE_LIBLOAD_RATE_ORACLE_H

#include "LibLoad/load_record.h"

#include <span>
#include <vector>

namespace spindle {

/// One customer's refusals, judged by one central bucket.
struct oracle_verdict {
  std::size_t Refused = 0;
  /// Refusals of requests that the central bucket would have admitted.
  std::size_t Wrongful = 0;
  /// Those of them whose stated reason is a rate.
  std::size_t WrongfulByRate = 0;
  /// Tokens served beyond rate and burst by the central bucket; the bucket
  /// is charged for what was served even if it is empty.
  double GreatestExcess = 0;
};

/// Judges each customer's refusals by a bucket of its rate and burst, computed
/// from the client's own record of sends: a request that was answered is
/// charged its reservation when it was sent and settled when it ended; a
/// refused one is charged nothing. Thread-safe.
std::vector<oracle_verdict>
judgeRefusals(std::span<const load_customer> Customers,
              std::span<const load_record> Records);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLOAD_RATE_ORACLE_H
