#ifndef PARSLEYSPINDLE_LIBLIMITS_LENDING_POLICY_H
#define PARSLEYSPINDLE_LIBLIMITS_LENDING_POLICY_H

#include "LibLimits/customer_share.h"

#include <optional>

namespace spindle {

/// How hosts lend to each other. No bound depends on these.
struct lending_settings {
  /// Term of a loan that carries rate or capacity; at most LongestLoanTerm.
  milliseconds LoanTerm = LongestLoanTerm;
  /// Term of a transfer of tokens alone; at most LongestTransferTerm.
  milliseconds TransferTerm = LongestTransferTerm;
  /// A giver keeps its own demand times this.
  double KeptDemand = 1.25;
  /// A giver keeps this part of its base share in any case.
  double KeptFloor = 0.1;
  /// A borrower wants rate if its demand is more than its rate times this;
  /// small differences are left to transfers.
  double ToleratedDemand = 2.0;
  /// A borrower wants tokens for its demand in this time.
  milliseconds WantedTime{1'000};
};

/// What a borrower would like to get.
struct loan_wish {
  micro_rate Rate;
  micro_tokens Level;
};

/// What a share should borrow now, before a request needs it, or nothing:
/// rate, and tokens only if a request can't wait for them, because tokens moved
/// ahead of need leave less room for what reservations give back.
/// Precondition: the share's demand is up to date.
std::optional<loan_wish> wishAhead(const customer_share &Share,
                                   const lending_settings &Settings,
                                   bool RequestsWait);
/// What a share should borrow for a waiting request of \p Amount.
loan_wish wishForRequest(const customer_share &Share, micro_tokens Amount);
/// The term to ask for: a transfer unless rate or capacity is needed.
milliseconds termFor(const customer_share &Share, const loan_wish &Wish,
                     const lending_settings &Settings);
/// What a share can spare of \p Wish for \p Term, or nothing. A host that is
/// \p Draining spares all it has.
std::optional<loan_amount> offerFor(const customer_share &Share,
                                    const loan_wish &Wish, milliseconds Term,
                                    const lending_settings &Settings,
                                    bool Draining);
/// Tells whether a borrower still needs a loan that will end soon.
bool wantsRenewal(const customer_share &Share, const borrowed_loan &Loan);
/// Tells whether a giver can do without what it has lent.
bool affordsRenewal(const customer_share &Share);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_LENDING_POLICY_H
