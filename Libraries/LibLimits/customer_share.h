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

/// How a share's level comes back after a charge.
enum class refill_kind {
  /// At the share's rate: a token bucket.
  ByRate,
  /// When the charge is settled: a count of what may be in flight.
  BySettlement
};

/// One host's share of one customer's rate and burst: a token bucket whose rate
/// and capacity are the host's base share, less what it has lent, plus what it
/// has borrowed.
///
/// Over the fleet the rates sum to at most the customer's rate and the
/// capacities, those on their way included, to at most its burst. A level is
/// never above its capacity. Hence the fleet admits at most rate x time +
/// burst in any interval.
///
/// Every function below first brings the share up to \p Now, so that a host
/// that was paused finds ended what ended meanwhile. Not thread-safe.
struct customer_share {
  refill_kind Kind = refill_kind::ByRate;
  micro_rate BaseRate;
  micro_tokens BaseCapacity;
  /// The base share must not be used from then on.
  time_point ValidUntil;
  micro_tokens Level;
  /// Charged and not yet settled.
  micro_tokens Outstanding;
  time_point LastRefill;
  /// The next moment at which a loan or the base share ends.
  time_point NextEnd = time_point::max();
  std::vector<lent_loan> Lent;
  std::vector<borrowed_loan> Borrowed;
  /// Loans repaid early; a late repeat of their request gets nothing.
  std::vector<lent_loan> Repaid;
  slack_history History;
  demand_meter Demand;
};

/// The present rate and capacity.
micro_rate rateOf(const customer_share &Share);
micro_tokens capacityOf(const customer_share &Share);
/// What the base share has left to lend; zero while more is lent than the base
/// share now holds.
micro_rate lendableRate(const customer_share &Share);
micro_tokens lendableCapacity(const customer_share &Share);

/// Ends what has ended by \p Now and refills the bucket.
void advanceShare(customer_share &Share, time_point Now);
/// Replaces the base share. What it grows by starts empty.
void setBase(customer_share &Share, micro_rate Rate, micro_tokens Capacity,
             time_point ValidUntil, time_point Now);
/// Charges \p Amount if the level suffices; returns the charge's place in the
/// history. Precondition: \p Amount is not negative.
std::optional<std::uint64_t> tryCharge(customer_share &Share,
                                       micro_tokens Amount, time_point Now);
/// Replaces the charge of \p Charged, made at \p Mark, by \p Used.
void settleCharge(customer_share &Share, std::uint64_t Mark,
                  micro_tokens Charged, micro_tokens Used, time_point Now);

/// Gives a loan. Debits first, so that a lost reply loses the part until the
/// loan's end. \returns the loan, or nothing if the share can't afford it.
/// Precondition: no loan with \p Key is out.
std::optional<lent_loan> lend(customer_share &Share, const loan_key &Key,
                              const loan_amount &Amount, milliseconds Term,
                              time_point Now);
/// Answers a repeated request for a loan that is out: the same loan, whose
/// term starts anew. \returns nothing if there is no such loan, or if the base
/// share has meanwhile shrunk below what is lent.
std::optional<lent_loan> renewLent(customer_share &Share, const loan_key &Key,
                                   time_point Now);
/// Tells whether the loan was repaid not long ago.
bool wasRepaid(const customer_share &Share, const loan_key &Key);
/// Takes back a loan before its end with the unused \p Level; returns false,
/// without effect, if it is not out.
bool takeRepayment(customer_share &Share, const loan_key &Key,
                   micro_tokens Level, time_point Now);

/// Adds a loan granted to a request sent at \p SentAt. Tokens that the capacity
/// can't hold vanish. Returns false, without effect, if the term is over.
/// Precondition: called at most once for each nonce.
bool acceptLoan(customer_share &Share, const borrowed_loan &Loan,
                milliseconds Term, time_point SentAt, time_point Now);
/// Prolongs a loan by the answer to a repeated request sent at \p SentAt.
/// Returns false, without effect, if the loan is no longer held.
bool prolongLoan(customer_share &Share, std::uint64_t Nonce, milliseconds Term,
                 time_point SentAt, time_point Now);
/// Drops a loan in order to repay it; returns the level to give back with it.
/// Returns nothing if the loan is no longer held.
std::optional<micro_tokens>
dropForRepayment(customer_share &Share, std::uint64_t Nonce, time_point Now);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_CUSTOMER_SHARE_H
