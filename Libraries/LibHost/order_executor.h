#ifndef PARSLEYSPINDLE_LIBHOST_ORDER_EXECUTOR_H
#define PARSLEYSPINDLE_LIBHOST_ORDER_EXECUTOR_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibHTTP/http_message.h"
#include "LibOrders/order_claim.h"
#include "LibPlatform/platform_port.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace spindle {

/// An order as it reaches the host.
struct order_request {
  customer_id Customer;
  std::string Route;
  /// The caller's Idempotency-Key.
  std::string OrderKey;
  /// SHA-256 of method, target and body.
  std::string BodyDigest;
  /// How long the call to the service may take in all.
  milliseconds CallTimeout{30'000};
  /// The service runs one order key once by itself, so the order may be sent
  /// while the platform can't record it.
  bool ServiceDeduplicates = false;
};

/// Runs orders at most once, whatever fails, by a claim at the platform that
/// precedes the dispatch.
///
/// Thread-safe in every method.
class order_desk {
public:
  /// \p Clock must outlive the desk. \p Incarnation changes at every start of
  /// the process called \p HostName.
  order_desk(const runtime_clock &Clock, platform_port Platform,
             std::uint64_t Incarnation, std::string HostName,
             order_desk_settings Settings);
  ~order_desk();
  order_desk(const order_desk &) = delete;
  order_desk &operator=(const order_desk &) = delete;

  /// Runs an order, or answers a repeat of it from the platform's record.
  /// \p Dispatch is called at most once, with the claim certain and before
  /// the dispatch deadline. It returns the service's answer, or throws a
  /// spindle_error whose state is NotRun only if no byte can have left.
  /// Blocks the calling fiber.
  /// \throws retry_after_error OrderInProgress; spindle_error
  /// OrderOutcomeUnknown, OrderKeyMismatch, OrderStoreUnavailable,
  /// OrderAnswerNotKept, and what \p Dispatch throws.
  http_response run(const order_request &Order,
                    const std::function<http_response()> &Dispatch);
  /// Runs one bounded pass of periodic work: writes outcomes that could not be
  /// written at once, and deletes records past their retention. Blocks the
  /// calling fiber; call it every second or so, from one fiber.
  void sweep();
  /// The outcomes that wait to be written. A planned stop calls sweep() until
  /// this is 0.
  std::size_t unwrittenOutcomes() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_ORDER_EXECUTOR_H
