#ifndef PARSLEYSPINDLE_LIBLIMITS_LENDING_POLICY_H
#define PARSLEYSPINDLE_LIBLIMITS_LENDING_POLICY_H

#include "LibLimits/customer_share.h"

#include <optional>

namespace spindle {

/// How hosts lend to each other. No limit depends on these settings.
struct lending_settings {
  /// Term of a loan that carries rate or capacity; at most MaxLoanTerm.
  milliseconds LoanTerm = MaxLoanTerm;
  /// Term of a transfer, which carries tokens only; at most
  /// MaxTransferTerm.
  milliseconds TransferTerm = MaxTransferTerm;
  /// A lender retains its own demand times this factor.
  double RetainedDemandFactor = 1.25;
  /// A lender always retains this fraction of its base share.
  double RetainedBaseFraction = 0.1;
  /// A host borrows rate if its demand exceeds its rate times this factor;
  /// smaller differences are covered by transfers.
  double BorrowDemandFactor = 2.0;
  /// A host borrows enough tokens for its demand over this time.
  milliseconds BorrowHorizon{1'000};
};

/// What a borrower asks for.
struct loan_request {
  micro_rate Rate;
  micro_tokens Level;
};

/// What a share should borrow now, before a request needs it, or none: rate,
/// and tokens only if requests can't wait for them, because tokens borrowed
/// early leave less room for what settled reservations return.
/// Precondition: the share's demand is up to date.
std::optional<loan_request>
proactiveLoanRequest(const customer_share &Share,
                     const lending_settings &Settings, bool RequestsWait);
/// What a share should borrow for a waiting request of \p Amount.
loan_request loanRequestFor(const customer_share &Share, micro_tokens Amount);
/// The term to ask for: that of a transfer unless rate or capacity is needed.
milliseconds loanTermFor(const customer_share &Share,
                         const loan_request &LoanRequest,
                         const lending_settings &Settings);
/// The part of \p LoanRequest that a share can lend for \p Term, or none. A
/// host that is \p Draining lends all it has.
std::optional<loan_amount> loanOfferFor(const customer_share &Share,
                                        const loan_request &LoanRequest,
                                        milliseconds Term,
                                        const lending_settings &Settings,
                                        bool Draining);
/// Whether a borrower still needs a loan that will end soon.
bool needsRenewal(const customer_share &Share, const borrowed_loan &Loan);
/// Whether a lender can meet its own demand without what it has lent.
bool canAffordRenewal(const customer_share &Share);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBLIMITS_LENDING_POLICY_H
