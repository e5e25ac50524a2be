#include "LibLimits/customer_share.h"

#include <algorithm>

namespace spindle {

static micro_rate lentRate(const customer_share &Share) {
  micro_rate Sum;
  for (const lent_loan &Loan : Share.Lent)
    Sum += Loan.Amount.Rate;
  return Sum;
}

/// The capacity that the lender sets aside for a loan.
static micro_tokens reservedCapacity(const loan_amount &Amount) {
  return std::max(Amount.Capacity, Amount.Level);
}

static micro_tokens lentCapacity(const customer_share &Share) {
  micro_tokens Sum;
  for (const lent_loan &Loan : Share.Lent)
    Sum += reservedCapacity(Loan.Amount);
  return Sum;
}

micro_rate lendableRate(const customer_share &Share) {
  return std::max(Share.BaseRate - lentRate(Share), micro_rate{});
}

micro_tokens lendableCapacity(const customer_share &Share) {
  return std::max(Share.BaseCapacity - lentCapacity(Share), micro_tokens{});
}

micro_rate rateOf(const customer_share &Share) {
  micro_rate Rate = lendableRate(Share);
  for (const borrowed_loan &Loan : Share.Borrowed)
    Rate += Loan.Amount.Rate;
  return Rate;
}

micro_tokens capacityOf(const customer_share &Share) {
  micro_tokens Capacity = lendableCapacity(Share);
  for (const borrowed_loan &Loan : Share.Borrowed)
    Capacity += Loan.Amount.Capacity;
  return Capacity;
}

static micro_tokens slackOf(const customer_share &Share) {
  return capacityOf(Share) - Share.Level;
}

/// The highest level allowed at present.
static micro_tokens maxLevelOf(const customer_share &Share) {
  if (Share.Kind == refill_kind::BySettlement)
    return capacityOf(Share) - Share.Outstanding;
  return capacityOf(Share);
}

static void updateNextEnd(customer_share &Share) {
  Share.NextEnd = time_point::max();
  if (Share.BaseCapacity.Count > 0 || Share.BaseRate.PerSecond > 0)
    Share.NextEnd = Share.ValidUntil;
  for (const lent_loan &Loan : Share.Lent)
    Share.NextEnd = std::min(Share.NextEnd, Loan.End);
  for (const lent_loan &Loan : Share.Repaid)
    Share.NextEnd = std::min(Share.NextEnd, Loan.End);
  for (const borrowed_loan &Loan : Share.Borrowed)
    Share.NextEnd = std::min(Share.NextEnd, Loan.End);
}

/// Removes expired borrowed loans and an expired base share.
static void expireBorrowedAndBase(customer_share &Share, time_point Now) {
  std::erase_if(Share.Borrowed,
                [Now](const borrowed_loan &Loan) { return Now >= Loan.End; });
  if (Now < Share.ValidUntil)
    return;
  Share.BaseRate = {};
  Share.BaseCapacity = {};
}

/// Takes back the capacity of lent loans that have ended. It comes back empty.
static void reclaimLent(customer_share &Share, time_point Now) {
  const auto Ended = [Now](const lent_loan &Loan) { return Now >= Loan.End; };
  std::erase_if(Share.Repaid, Ended);
  if (std::none_of(Share.Lent.begin(), Share.Lent.end(), Ended))
    return;
  noteSlack(Share.History, slackOf(Share));
  std::erase_if(Share.Lent, Ended);
}

static void refill(customer_share &Share, time_point Now) {
  if (Share.Kind == refill_kind::BySettlement) {
    Share.Level = maxLevelOf(Share);
    return;
  }
  if (Now > Share.LastRefill) {
    Share.Level += accruedTokens(rateOf(Share), Now - Share.LastRefill);
    Share.LastRefill = Now;
  }
  Share.Level = std::min(Share.Level, maxLevelOf(Share));
}

void advanceShare(customer_share &Share, time_point Now) {
  if (Now < Share.NextEnd) {
    refill(Share, Now);
    return;
  }
  // Borrowed loans and the base share expire before the refill and lent loans
  // come back after it, so the whole interval is refilled at the lower rate
  // and the limit is never exceeded.
  expireBorrowedAndBase(Share, Now);
  refill(Share, Now);
  reclaimLent(Share, Now);
  updateNextEnd(Share);
}

void setBaseShare(customer_share &Share, micro_rate Rate, micro_tokens Capacity,
                  time_point ValidUntil, time_point Now) {
  advanceShare(Share, Now);
  noteSlack(Share.History, slackOf(Share));
  const bool Lapsed = Now >= ValidUntil;
  Share.BaseRate = Lapsed ? micro_rate{} : Rate;
  Share.BaseCapacity = Lapsed ? micro_tokens{} : Capacity;
  Share.ValidUntil = ValidUntil;
  refill(Share, Now);
  updateNextEnd(Share);
}

std::optional<std::uint64_t> tryCharge(customer_share &Share,
                                       micro_tokens Amount, time_point Now) {
  advanceShare(Share, Now);
  if (Share.Level < Amount)
    return std::nullopt;
  const std::uint64_t ChargeSequence = noteSlack(Share.History, slackOf(Share));
  Share.Level -= Amount;
  Share.Outstanding += Amount;
  return ChargeSequence;
}

void settleCharge(customer_share &Share, std::uint64_t ChargeSequence,
                  micro_tokens Charged, micro_tokens Used, time_point Now) {
  advanceShare(Share, Now);
  Share.Outstanding -= Charged;
  if (Used > Charged) {
    noteSlack(Share.History, slackOf(Share));
    Share.Level -= Used - Charged;
    return;
  }
  const micro_tokens Room =
      leastSlackSince(Share.History, ChargeSequence, slackOf(Share));
  const micro_tokens Credit = std::clamp(Room, micro_tokens{}, Charged - Used);
  Share.Level += Credit;
  creditSince(Share.History, ChargeSequence, Credit);
}

static std::vector<lent_loan>::iterator findLent(customer_share &Share,
                                                 const loan_key &Key) {
  return std::find_if(
      Share.Lent.begin(), Share.Lent.end(),
      [&Key](const lent_loan &Loan) { return Loan.Key == Key; });
}

std::optional<lent_loan> lend(customer_share &Share, const loan_key &Key,
                              const loan_amount &Amount, milliseconds Term,
                              time_point Now) {
  advanceShare(Share, Now);
  const bool Nothing = Amount.Rate.PerSecond <= 0 && Amount.Level.Count <= 0;
  const bool Affordable = !Nothing && Amount.Level.Count >= 0 &&
                          Amount.Rate <= lendableRate(Share) &&
                          reservedCapacity(Amount) <= lendableCapacity(Share) &&
                          Amount.Level <= Share.Level;
  if (!Affordable || Term <= milliseconds(0))
    return std::nullopt;
  const milliseconds Granted = std::min(Term, MaxLoanTerm);
  Share.Lent.push_back(
      {Key, Amount, Now + Granted + clockDriftMargin(Granted), Granted});
  Share.Level = std::min(Share.Level - Amount.Level, maxLevelOf(Share));
  updateNextEnd(Share);
  return Share.Lent.back();
}

std::optional<lent_loan> renewLent(customer_share &Share, const loan_key &Key,
                                   time_point Now) {
  advanceShare(Share, Now);
  const auto Found = findLent(Share, Key);
  if (Found == Share.Lent.end())
    return std::nullopt;
  const bool InDebt = lentRate(Share) > Share.BaseRate ||
                      lentCapacity(Share) > Share.BaseCapacity;
  if (InDebt)
    return std::nullopt;
  Found->End = Now + Found->Term + clockDriftMargin(Found->Term);
  updateNextEnd(Share);
  return *Found;
}

bool wasRepaid(const customer_share &Share, const loan_key &Key) {
  return std::any_of(Share.Repaid.begin(), Share.Repaid.end(),
                     [&Key](const lent_loan &Loan) { return Loan.Key == Key; });
}

bool acceptRepayment(customer_share &Share, const loan_key &Key,
                     micro_tokens Level, time_point Now) {
  advanceShare(Share, Now);
  const auto Found = findLent(Share, Key);
  if (Found == Share.Lent.end())
    return false;
  const micro_tokens Returned =
      std::clamp(Level, micro_tokens{}, reservedCapacity(Found->Amount));
  noteSlack(Share.History, slackOf(Share));
  Share.Repaid.push_back(*Found);
  Share.Lent.erase(Found);
  Share.Level = std::min(Share.Level + Returned, maxLevelOf(Share));
  updateNextEnd(Share);
  return true;
}

bool acceptLoan(customer_share &Share, const borrowed_loan &Loan,
                milliseconds Term, time_point SentAt, time_point Now) {
  advanceShare(Share, Now);
  if (Now >= SentAt + Term)
    return false;
  noteSlack(Share.History, slackOf(Share));
  const loan_amount &Amount = Loan.Amount;
  if (Amount.Rate.PerSecond > 0 || Amount.Capacity.Count > 0) {
    Share.Borrowed.push_back(Loan);
    Share.Borrowed.back().End = SentAt + Term;
  }
  Share.Level += Loan.Amount.Level;
  refill(Share, Now);
  updateNextEnd(Share);
  return true;
}

static std::vector<borrowed_loan>::iterator findBorrowed(customer_share &Share,
                                                         std::uint64_t Nonce) {
  return std::find_if(
      Share.Borrowed.begin(), Share.Borrowed.end(),
      [Nonce](const borrowed_loan &Loan) { return Loan.Nonce == Nonce; });
}

bool extendLoan(customer_share &Share, std::uint64_t Nonce, milliseconds Term,
                time_point SentAt, time_point Now) {
  advanceShare(Share, Now);
  const auto Found = findBorrowed(Share, Nonce);
  if (Found == Share.Borrowed.end())
    return false;
  Found->End = std::max(Found->End, SentAt + Term);
  updateNextEnd(Share);
  return true;
}

std::optional<micro_tokens> releaseForRepayment(customer_share &Share,
                                                std::uint64_t Nonce,
                                                time_point Now) {
  advanceShare(Share, Now);
  const auto Found = findBorrowed(Share, Nonce);
  if (Found == Share.Borrowed.end())
    return std::nullopt;
  const micro_tokens Returned =
      std::clamp(Share.Level, micro_tokens{}, Found->Amount.Capacity);
  noteSlack(Share.History, slackOf(Share));
  Share.Borrowed.erase(Found);
  Share.Level = std::min(Share.Level - Returned, maxLevelOf(Share));
  updateNextEnd(Share);
  return Returned;
}

} // namespace spindle
