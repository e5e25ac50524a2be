#ifndef PARSLEYSPINDLE_LIBHOST_RATE_LIMITER_H
#define PARSLEYSPINDLE_LIBHOST_RATE_LIMITER_H

#include "LibConfiguration/configuration_snapshot.h"
#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibCore/tokens.h"
#include "LibLimits/lending_policy.h"
#include "LibMembership/host_view.h"
#include "LibMetrics/metrics.h"
#include "LibPeer/host_link_client.h"
#include "LibRuntime/fiber_runtime.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

namespace spindle {

/// Tokens charged to a customer at admission, to be settled at the end of the
/// request. A reservation that is never settled counts as fully used.
struct rate_reservation {
  rate_reservation() = default;
  rate_reservation(customer_id Customer, tokens Reserved)
      : Customer(Customer), Reserved(Reserved) {}
  ~rate_reservation() = default;
  // Not copyable: a copy could be settled a second time.
  rate_reservation(const rate_reservation &) = delete;
  rate_reservation &operator=(const rate_reservation &) = delete;
  rate_reservation(rate_reservation &&) = default;
  rate_reservation &operator=(rate_reservation &&) = default;

  customer_id Customer;
  tokens Reserved;
  /// The position of the charge in the history of the customer's share.
  std::uint64_t ChargeSequence = 0;
  std::uint64_t ShareEpoch = 0;
};

struct rate_limiter_settings {
  lending_settings Lending;
  /// How long a request waits for a loan or for its share to refill.
  milliseconds AdmissionWait{50};
  /// Timeout of one call to a peer while a request waits.
  milliseconds BorrowTimeout{20};
  /// The most peers that one fiber asks in one round.
  std::size_t MaxPeersPerRound = 8;
  /// Suspends the calling fiber.
  std::function<void(nanoseconds)> Sleep = sleepFor;
};

/// Admits each customer's requests within this host's share of the customer's
/// rate and burst, and moves shares between hosts by loans of limited term. In
/// any interval, the fleet admits at most rate x time + burst.
///
/// Every method is thread-safe unless stated otherwise.
class rate_limiter {
public:
  /// \p Clock and \p Metrics, which may be null, must outlive the limiter.
  /// \p Self identifies this host in the messages it sends.
  rate_limiter(const runtime_clock &Clock, host_link_port Link,
               host_link::Sender Self, metrics *Metrics,
               rate_limiter_settings Settings);
  ~rate_limiter();
  rate_limiter(const rate_limiter &) = delete;
  rate_limiter &operator=(const rate_limiter &) = delete;

  /// Applies the customers' rates and bursts.
  void applyConfiguration(const configuration_snapshot &Snapshot) {
    applyCustomers(Snapshot.customers());
  }
  void applyCustomers(std::span<const customer_declaration> Customers);
  /// Applies the peers and this host's base share. If the share shrinks, the
  /// part taken away is no longer used when this returns.
  void applyView(const host_view &View);

  /// Charges \p Estimate to \p Customer. Blocks the calling fiber at most until
  /// \p Deadline, or for AdmissionWait if that is shorter.
  /// Precondition: \p Estimate is not negative.
  /// \throws retry_after_error RateExceeded or ShareUnavailable;
  /// spindle_error RequestExceedsBurst.
  rate_reservation reserve(customer_id Customer, tokens Estimate,
                           time_point Deadline);
  /// Replaces the charge of a reservation by the tokens used. Usage above the
  /// reservation is charged as well, and counted in a metric, because the bound
  /// holds only for responses that are truncated at the reservation.
  /// Precondition: each reservation is settled at most once.
  void settle(rate_reservation &&Reservation, tokens Used);

  /// Sets the fleet-wide budget of adapter loads.
  void setLoadBudget(double LoadsPerSecond, std::uint32_t InFlight);
  /// Charges one load to the budget; returns false if the budget is exhausted.
  /// Never blocks.
  bool tryReserveLoad(time_point Now);
  /// Reports the end of a load for which tryReserveLoad() returned true.
  void settleLoad();

  /// Handles a loan request of another host. Never blocks.
  host_link::BorrowReply handleBorrow(const host_link::BorrowRequest &Request);
  /// Handles the repayment of a loan before its end. Never blocks.
  host_link::RepayReply handleRepay(const host_link::RepayRequest &Request);

  /// One pass of periodic work: renews loans, borrows in advance for shares
  /// that will run out, repays while draining. Blocks the calling fiber for
  /// calls to peers. Call it about every 100 ms, from one fiber.
  void maintain();
  /// From now on, lends peers whatever they request; the next maintain() repays
  /// every loan.
  void startDrain();
  /// Whether this host may currently use a base share of its own.
  bool holdsShare() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_RATE_LIMITER_H
