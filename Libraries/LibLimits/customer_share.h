#ifndef PARSLEYSPINDLE_LIBLIMITS_CUSTOMER_SHARE_H
#define PARSLEYSPINDLE_LIBLIMITS_CUSTOMER_SHARE_H

#include "LibLimits/demand_meter.h"
#include "LibLimits/loan.h"
#include "LibLimits/micro_tokens.h"
#include "LibLimits/slack_history.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace spindle {

/// How a share's level is restored after a charge.
enum class refill_kind {
  /// Over time, at the share's rate: a token bucket.
  ByRate,
  /// When the charge is settled: a limit on the amount in flight.
  BySettlement
};

/// One host's share of one customer's rate and burst: a token bucket whose rate
/// and capacity are the host's base share, minus what it has lent, plus what it
/// has borrowed.
///
/// Over the fleet, the rates sum to at most the customer's rate, and the
/// capacities, including those in transit, to at most its burst. A level never
/// exceeds its capacity. Hence the fleet admits at most rate x time + burst in
/// any interval.
///
/// Every function below that takes \p Now first advances the share to it, so
/// that a host that was paused does not use loans or a base share that expired
/// in the meantime. Not thread-safe.
struct customer_share {
  refill_kind Kind = refill_kind::ByRate;
  micro_rate BaseRate;
  micro_tokens BaseCapacity;
  /// The base share must not be used at or after this time.
  time_point ValidUntil;
  micro_tokens Level;
  /// Charged and not yet settled.
  micro_tokens Outstanding;
  time_point LastRefill;
  /// The next time at which a loan or the base share ends.
  time_point NextEnd = time_point::max();
  std::vector<lent_loan> Lent;
  std::vector<borrowed_loan> Borrowed;
  /// Loans repaid before their end, kept until then: a delayed duplicate of
  /// their request must not be granted again.
  std::vector<lent_loan> Repaid;
  slack_history History;
  demand_meter Demand;
};

/// The current rate and capacity.
micro_rate rateOf(const customer_share &Share);
micro_tokens capacityOf(const customer_share &Share);
/// The part of the base share that is still available for lending; zero while
/// more is lent than the base share now holds.
micro_rate lendableRate(const customer_share &Share);
micro_tokens lendableCapacity(const customer_share &Share);

/// Expires the loans and the base share that end by \p Now and refills the
/// bucket.
void advanceShare(customer_share &Share, time_point Now);
/// Replaces the base share. Capacity that it gains starts empty.
void setBaseShare(customer_share &Share, micro_rate Rate, micro_tokens Capacity,
                  time_point ValidUntil, time_point Now);
/// Charges \p Amount if the level suffices. \returns the charge's sequence
/// number in the slack history, or none if the level is too low.
/// Precondition: \p Amount is not negative.
std::optional<std::uint64_t> tryCharge(customer_share &Share,
                                       micro_tokens Amount, time_point Now);
/// Replaces the charge of \p Charged with the number \p ChargeSequence by
/// \p Used.
void settleCharge(customer_share &Share, std::uint64_t ChargeSequence,
                  micro_tokens Charged, micro_tokens Used, time_point Now);

/// Grants a loan. The share is debited before the reply is sent, so that if
/// the reply is lost nobody uses the loan until its end. \returns the loan, or
/// none if the share can't afford it.
/// Precondition: no loan with \p Key is outstanding.
std::optional<lent_loan> lend(customer_share &Share, const loan_key &Key,
                              const loan_amount &Amount, milliseconds Term,
                              time_point Now);
/// Renews an outstanding loan for a repeated request: the same amount, with its
/// term starting again. \returns none if there is no such loan, or if the base
/// share has since shrunk below what is lent.
std::optional<lent_loan> renewLent(customer_share &Share, const loan_key &Key,
                                   time_point Now);
/// Whether the loan was repaid before its end and that end is not yet past.
bool wasRepaid(const customer_share &Share, const loan_key &Key);
/// Takes back a loan before its end, with the unused \p Level. \returns false,
/// without effect, if the loan is not outstanding.
bool acceptRepayment(customer_share &Share, const loan_key &Key,
                     micro_tokens Level, time_point Now);

/// Adds a loan granted for a request sent at \p SentAt. Tokens beyond the
/// capacity are discarded. \returns false, without effect, if the term is over.
/// Precondition: called at most once for each nonce.
bool acceptLoan(customer_share &Share, const borrowed_loan &Loan,
                milliseconds Term, time_point SentAt, time_point Now);
/// Extends a loan after the reply to a repeated request sent at \p SentAt.
/// \returns false, without effect, if the loan is no longer held.
bool extendLoan(customer_share &Share, std::uint64_t Nonce, milliseconds Term,
                time_point SentAt, time_point Now);
/// Removes a borrowed loan so that it can be repaid. \returns the level to
/// return with it, or none if the loan is no longer held.
std::optional<micro_tokens>
releaseForRepayment(customer_share &Share, std::uint64_t Nonce, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_CUSTOMER_SHARE_H
