#ifndef PARSLEYSPINDLE_LIBLIMITS_LOAN_H
#define PARSLEYSPINDLE_LIBLIMITS_LOAN_H

#include "LibCore/runtime_clock.h"
#include "LibCore/strong_id.h"
#include "LibLimits/micro_tokens.h"

#include <compare>
#include <cstdint>

namespace spindle {

/// No loan runs longer than this on any host.
inline constexpr milliseconds LongestLoanTerm{3'000};
/// A loan of at most this term is a transfer: it carries tokens alone, which
/// the borrower must take within the term and then keeps.
inline constexpr milliseconds LongestTransferTerm{100};

/// How much longer than the borrower a giver counts a loan of \p Term as out,
/// for clocks that run at slightly different speeds.
constexpr milliseconds marginOf(milliseconds Term) {
  constexpr int TermsPerMargin = 10;
  return Term / TermsPerMargin;
}

/// How long the growth of a base share is held back: until every loan that the
/// part's former holder can have given is over.
inline constexpr milliseconds ShareGrowthDelay =
    LongestLoanTerm + marginOf(LongestLoanTerm);

/// What moves from one host's share of a customer to another's. The giver
/// counts the larger of Capacity and Level out of its capacity until the loan's
/// end, so that tokens on their way still have room that nobody else fills.
struct loan_amount {
  micro_rate Rate;
  micro_tokens Capacity;
  micro_tokens Level;
};

/// Tells one loan from every other.
struct loan_key {
  host_id Borrower;
  std::uint64_t Incarnation = 0;
  /// The borrower's own number.
  std::uint64_t Nonce = 0;

  auto operator<=>(const loan_key &) const = default;
};

/// A loan as its giver keeps it.
struct lent_loan {
  loan_key Key;
  loan_amount Amount;
  /// When the giver may use the part again.
  time_point End;
  milliseconds Term{0};
};

/// A loan as its borrower keeps it.
struct borrowed_loan {
  std::uint64_t Nonce = 0;
  host_id Giver;
  loan_amount Amount;
  /// When the borrower stops using the part.
  time_point End;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_LOAN_H
