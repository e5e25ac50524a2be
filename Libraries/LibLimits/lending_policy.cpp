#include "LibLimits/lending_policy.h"

#include <algorithm>

namespace spindle {

using float_seconds = std::chrono::duration<double>;

/// Rates below the base share's rate divided by this are not lent.
static constexpr std::int64_t MinRateLoanDivisor = 50;
/// Fewer tokens than the lender's capacity divided by this are lent only if
/// they satisfy the whole request.
static constexpr std::int64_t MinTokensDivisor = 16;
static constexpr double LargeRequestsBorrowed = 2.0;

static double demandOf(const customer_share &Share) {
  return std::max(Share.Demand.MicrosPerSecond, 0.0);
}

static double toSeconds(milliseconds Duration) {
  return float_seconds(Duration).count();
}

static micro_rate rateOfMicros(double Micros) {
  return {static_cast<std::int64_t>(std::max(Micros, 0.0))};
}

static micro_tokens tokensOfMicros(double Micros) {
  return {static_cast<std::int64_t>(std::max(Micros, 0.0))};
}

static micro_rate wantedRate(const customer_share &Share,
                             const lending_settings &Settings) {
  if (Share.Kind == refill_kind::BySettlement)
    return {};
  const double Demand = demandOf(Share);
  const double Rate = static_cast<double>(rateOf(Share).PerSecond);
  if (Demand <= Rate * Settings.BorrowDemandFactor)
    return {};
  return rateOfMicros(Demand - Rate);
}

static micro_tokens wantedLevel(const customer_share &Share,
                                const lending_settings &Settings) {
  const double ForLarge =
      LargeRequestsBorrowed * Share.Demand.LargeRequestMicros;
  const double ForTime = demandOf(Share) * toSeconds(Settings.BorrowHorizon);
  return tokensOfMicros(std::max(ForLarge, ForTime));
}

/// The tokens needed to raise the level to \p Wanted.
static micro_tokens missingLevel(const customer_share &Share,
                                 micro_tokens Wanted) {
  return std::max(Wanted - Share.Level, micro_tokens{});
}

std::optional<loan_request>
proactiveLoanRequest(const customer_share &Share,
                     const lending_settings &Settings, bool RequestsWait) {
  const bool IsLow =
      static_cast<double>(Share.Level.Count) < Share.Demand.LargeRequestMicros;
  loan_request LoanRequest;
  LoanRequest.Rate = wantedRate(Share, Settings);
  if (IsLow && !RequestsWait)
    LoanRequest.Level = missingLevel(Share, wantedLevel(Share, Settings));
  if (LoanRequest.Rate.PerSecond == 0 && LoanRequest.Level.Count == 0)
    return std::nullopt;
  return LoanRequest;
}

loan_request loanRequestFor(const customer_share &Share, micro_tokens Amount) {
  return {{}, missingLevel(Share, Amount)};
}

milliseconds loanTermFor(const customer_share &Share,
                         const loan_request &LoanRequest,
                         const lending_settings &Settings) {
  const bool IsTransfer =
      Share.Kind == refill_kind::ByRate && LoanRequest.Rate.PerSecond == 0;
  return IsTransfer ? Settings.TransferTerm : Settings.LoanTerm;
}

static micro_rate spareRate(const customer_share &Share,
                            const lending_settings &Settings, bool Draining) {
  const micro_rate Lendable = lendableRate(Share);
  if (Draining)
    return Lendable;
  const double RetainedBase = static_cast<double>(Share.BaseRate.PerSecond) *
                              Settings.RetainedBaseFraction;
  const micro_rate Kept = rateOfMicros(
      std::max(RetainedBase, demandOf(Share) * Settings.RetainedDemandFactor));
  return std::clamp(rateOf(Share) - Kept, micro_rate{}, Lendable);
}

/// The part of the base capacity that is lent along with \p Rate.
static micro_tokens capacityFor(const customer_share &Share, micro_rate Rate) {
  if (Share.BaseRate.PerSecond == 0)
    return {};
  const double Part = static_cast<double>(Rate.PerSecond) /
                      static_cast<double>(Share.BaseRate.PerSecond);
  return tokensOfMicros(static_cast<double>(Share.BaseCapacity.Count) * Part);
}

/// Adds capacity to an offer that runs for longer than a transfer.
static void addCapacity(loan_amount &Offer, const customer_share &Share) {
  const micro_tokens Lendable = lendableCapacity(Share);
  const micro_tokens Wanted =
      std::max(Offer.Level, capacityFor(Share, Offer.Rate));
  Offer.Capacity = std::min(Wanted, Lendable);
  // Tokens beyond the lender's remaining capacity are lent as well; they would
  // be lost otherwise.
  const micro_tokens Left = capacityOf(Share) - Offer.Capacity;
  const micro_tokens Surplus = Share.Level - Left;
  Offer.Level = std::clamp(Surplus, Offer.Level, Offer.Capacity);
  if (Share.Kind == refill_kind::BySettlement)
    Offer.Capacity = Offer.Level;
}

std::optional<loan_amount> loanOfferFor(const customer_share &Share,
                                        const loan_request &LoanRequest,
                                        milliseconds Term,
                                        const lending_settings &Settings,
                                        bool Draining) {
  loan_amount Offer;
  Offer.Level =
      std::min({LoanRequest.Level, std::max(Share.Level, micro_tokens{}),
                lendableCapacity(Share)});
  // A transfer of few tokens costs a message without admitting a request.
  const micro_tokens Least{capacityOf(Share).Count / MinTokensDivisor};
  if (!Draining && Offer.Level < std::min(LoanRequest.Level, Least))
    Offer.Level = {};
  Offer.Capacity = Offer.Level;
  if (Term > MaxTransferTerm) {
    Offer.Rate =
        std::min(LoanRequest.Rate, spareRate(Share, Settings, Draining));
    if (Offer.Rate.PerSecond < Share.BaseRate.PerSecond / MinRateLoanDivisor)
      Offer.Rate = {};
    addCapacity(Offer, Share);
  }
  if (Offer.Rate.PerSecond == 0 && Offer.Level.Count == 0)
    return std::nullopt;
  return Offer;
}

bool needsRenewal(const customer_share &Share, const borrowed_loan &Loan) {
  const micro_tokens Capacity = capacityOf(Share) - Loan.Amount.Capacity;
  if (Share.Kind == refill_kind::BySettlement)
    return Share.Outstanding > Capacity;
  const micro_rate Without = rateOf(Share) - Loan.Amount.Rate;
  return Without < rateOfMicros(demandOf(Share));
}

bool canAffordRenewal(const customer_share &Share) {
  if (Share.Kind == refill_kind::BySettlement)
    return true;
  return rateOf(Share) >= rateOfMicros(demandOf(Share));
}

} // namespace spindle
