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

/// An order as received by the host: a call that must not run twice.
struct order_request {
  customer_id Customer;
  std::string Route;
  /// The caller's Idempotency-Key.
  std::string OrderKey;
  /// SHA-256 of method, target and body.
  std::string BodyDigest;
  /// Time limit for the whole call to the service.
  milliseconds CallTimeout{30'000};
  /// The service itself runs each order key only once, so the order may be
  /// sent while the platform cannot record it.
  bool ServiceDeduplicates = false;
};

/// Runs each order at most once, whatever fails, by writing a claim to the
/// platform before the dispatch.
///
/// All methods are thread-safe.
class order_executor {
public:
  /// \p Clock must outlive this object. \p Incarnation must differ at every
  /// start of the process called \p HostName.
  order_executor(const runtime_clock &Clock, platform_port Platform,
                 std::uint64_t Incarnation, std::string HostName,
                 order_executor_settings Settings);
  ~order_executor();
  order_executor(const order_executor &) = delete;
  order_executor &operator=(const order_executor &) = delete;

  /// Runs an order, or answers a repeated one from the platform's record.
  /// \p Dispatch is called at most once, after the claim is confirmed and
  /// before the dispatch deadline. It returns the service's response, or throws
  /// a spindle_error whose state is NotRun only if no byte can have been sent.
  /// Blocks the calling fiber.
  /// \throws retry_after_error OrderInProgress; spindle_error
  /// OrderOutcomeUnknown, OrderKeyMismatch, OrderStoreUnavailable,
  /// OrderAnswerNotKept, and what \p Dispatch throws.
  http_response run(const order_request &Order,
                    const std::function<http_response()> &Dispatch);
  /// Runs one bounded pass of periodic work: writes outcomes that could not be
  /// written immediately, releases abandoned claims, and deletes records past
  /// their retention. Blocks the calling fiber; call it about once per second,
  /// from a single fiber.
  void sweep();
  /// The number of outcomes not written yet. A planned stop calls sweep() until
  /// this is 0.
  std::size_t unwrittenOutcomes() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_ORDER_EXECUTOR_H
