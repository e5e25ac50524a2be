#ifndef PARSLEYSPINDLE_LIBLIMITS_LOAN_H
#define PARSLEYSPINDLE_LIBLIMITS_LOAN_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibLimits/micro_tokens.h"

#include <compare>
#include <cstdint>

namespace spindle {

/// The longest term of a loan on any host.
inline constexpr milliseconds MaxLoanTerm{3'000};
/// A loan with at most this term is a transfer: it carries tokens only, which
/// the borrower must accept within the term and then keeps.
inline constexpr milliseconds MaxTransferTerm{100};

/// How much longer than the borrower the lender treats a loan of \p Term as
/// outstanding, to allow for clocks that run at slightly different speeds.
constexpr milliseconds clockDriftMargin(milliseconds Term) {
  constexpr int TermsPerMargin = 10;
  return Term / TermsPerMargin;
}

/// How long the growth of a base share is delayed: until every loan that the
/// previous holder of the added part can have granted has ended.
inline constexpr milliseconds ShareGrowthDelay =
    MaxLoanTerm + clockDriftMargin(MaxLoanTerm);

/// What moves from one host's share of a customer to another's. The lender
/// deducts the larger of Capacity and Level from its capacity until the loan's
/// end, so that no other tokens take the room of those in transit.
struct loan_amount {
  micro_rate Rate;
  micro_tokens Capacity;
  micro_tokens Level;
};

/// Identifies a loan uniquely.
struct loan_key {
  host_id Borrower;
  std::uint64_t Incarnation = 0;
  /// Chosen by the borrower, unique within its incarnation.
  std::uint64_t Nonce = 0;

  auto operator<=>(const loan_key &) const = default;
};

/// A loan as recorded by its lender.
struct lent_loan {
  loan_key Key;
  loan_amount Amount;
  /// When the lender may use the amount again.
  time_point End;
  milliseconds Term{0};
};

/// A loan as recorded by its borrower.
struct borrowed_loan {
  std::uint64_t Nonce = 0;
  host_id Lender;
  loan_amount Amount;
  /// When the borrower stops using the amount.
  time_point End;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_LOAN_H
