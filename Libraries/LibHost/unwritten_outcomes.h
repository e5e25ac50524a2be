#ifndef PARSLEYSPINDLE_LIBHOST_UNWRITTEN_OUTCOMES_H
#define PARSLEYSPINDLE_LIBHOST_UNWRITTEN_OUTCOMES_H

#include "LibHost/order_record_store.h"

#include <cstddef>
#include <deque>
#include <mutex>

namespace spindle {

/// Outcomes of orders that could not be written yet. Thread-safe.
class unwritten_outcomes {
public:
  /// The arguments must outlive the object.
  unwritten_outcomes(const order_record_store &Records,
                     const order_executor_settings &Settings)
      : Records(Records), Settings(Settings) {}

  /// Adds an outcome, without its response if too many bytes wait already.
  void add(confirmed_claim Claim);
  /// Writes a bounded number of outcomes, oldest first, until a write fails.
  /// Blocks the calling fiber; call it from a single fiber.
  void retry();
  std::size_t size() const;

private:
  const order_record_store &Records;
  const order_executor_settings &Settings;
  mutable std::mutex Mutex;
  /// Oldest first.
  std::deque<confirmed_claim> Outcomes;
  std::size_t ResponseBytes = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_UNWRITTEN_OUTCOMES_H
