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
/// request. One that is never settled counts as used whole.
struct rate_reservation {
  rate_reservation() = default;
  rate_reservation(customer_id Customer, tokens Reserved)
      : Customer(Customer), Reserved(Reserved) {}
  ~rate_reservation() = default;
  // A copy could be settled a second time.
  rate_reservation(const rate_reservation &) = delete;
  rate_reservation &operator=(const rate_reservation &) = delete;
  rate_reservation(rate_reservation &&) = default;
  rate_reservation &operator=(rate_reservation &&) = default;

  customer_id Customer;
  tokens Reserved;
  /// Places the charge in the history of the customer's share.
  std::uint64_t ChargeSequence = 0;
  std::uint64_t ShareEpoch = 0;
};

struct rate_limiter_settings {
  lending_settings Lending;
  /// How long a request waits for a loan or for its share to refill.
  milliseconds AdmissionWait{50};
  /// How long one call to a peer may take while a request waits.
  milliseconds BorrowTimeout{20};
  /// How many peers one fiber asks in one round.
  std::size_t PeersAsked = 8;
  /// Suspends the calling fiber.
  std::function<void(nanoseconds)> Sleep = sleepFor;
};

/// Admits each customer's requests from this host's share of its rate and burst
/// and moves shares between hosts by loans of limited term. For every
/// interval, the fleet admits at most rate x time + burst.
///
/// Thread-safe in every method, unless said otherwise.
class rate_limiter {
public:
  /// \p Clock and \p Metrics, which may be null, must outlive the limiter.
  /// \p Self names this host in what it sends.
  rate_limiter(const runtime_clock &Clock, host_link_port Link,
               host_link::Sender Self, metrics *Metrics,
               rate_limiter_settings Settings);
  ~rate_limiter();
  rate_limiter(const rate_limiter &) = delete;
  rate_limiter &operator=(const rate_limiter &) = delete;

  /// Takes over the customers' rates and bursts.
  void applyConfiguration(const configuration_snapshot &Snapshot) {
    applyCustomers(Snapshot.customers());
  }
  void applyCustomers(std::span<const customer_declaration> Customers);
  /// Takes over the peers and this host's base share. A share that shrinks is
  /// used no more when this returns.
  void applyView(const host_view &View);

  /// Charges \p Estimate to \p Customer. Blocks the calling fiber until
  /// \p Deadline, or for AdmissionWait if that is shorter.
  /// Precondition: \p Estimate is not negative.
  /// \throws retry_after_error RateExceeded or ShareUnavailable;
  /// spindle_error RequestExceedsBurst.
  rate_reservation reserve(customer_id Customer, tokens Estimate,
                           time_point Deadline);
  /// Replaces the charge of a reservation by what was used. What is used above
  /// the reservation is charged as well, and counted in a metric, because the
  /// bound holds only for answers that are cut at the reservation.
  /// Precondition: each reservation is settled at most once.
  void settle(rate_reservation &&Reservation, tokens Used);

  /// Sets the fleet's budget of adapter loads.
  void setLoadBudget(double LoadsPerSecond, std::uint32_t InFlight);
  /// Takes one load out of the budget; returns false if none is left. Never
  /// blocks.
  bool tryReserveLoad(time_point Now);
  /// Tells that a load, for which tryReserveLoad() returned true, has ended.
  void settleLoad();

  /// Answers another host that asks for a loan. Never blocks.
  host_link::BorrowReply handleBorrow(const host_link::BorrowRequest &Request);
  /// Takes back a loan before its end. Never blocks.
  host_link::RepayReply handleRepay(const host_link::RepayRequest &Request);

  /// One pass of periodic work: renews loans, asks ahead for shares that will
  /// run dry, repays while draining. Blocks the calling fiber for calls to
  /// peers. Call it every 100 ms or so, from one fiber.
  void maintain();
  /// From now on, lends whatever peers ask for; the next maintain() repays
  /// every loan.
  void startDrain();
  /// Tells whether the host may use a base share of its own at present.
  bool holdsShare() const;

private:
  struct state;
  std::unique_ptr<state> State;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_RATE_LIMITER_H
