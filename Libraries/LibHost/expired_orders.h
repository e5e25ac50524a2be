#ifndef PARSLEYSPINDLE_LIBHOST_EXPIRED_ORDERS_H
#define PARSLEYSPINDLE_LIBHOST_EXPIRED_ORDERS_H

#include "LibCore/runtime_clock.h"
#include "LibOrders/order_claim.h"
#include "LibPlatform/platform_port.h"

#include <deque>
#include <optional>

namespace spindle {

/// Deletes records of orders past their retention. Not thread-safe; each method
/// blocks the calling fiber.
class expired_orders {
public:
  /// \p Clock and \p Settings must outlive the object.
  expired_orders(const runtime_clock &Clock, platform_port Platform,
                 const order_executor_settings &Settings)
      : Clock(Clock), Platform(std::move(Platform)), Settings(Settings) {}

  /// Lists the records past their retention, once per SweepInterval.
  /// \throws spindle_error if the platform does not answer.
  void list();
  /// Deletes a bounded number of the records listed.
  void remove();

private:
  const runtime_clock &Clock;
  const platform_port Platform;
  const order_executor_settings &Settings;
  std::deque<record_age> Expired;
  std::optional<time_point> NextListing;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_EXPIRED_ORDERS_H
