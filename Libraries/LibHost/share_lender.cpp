#include "LibHost/share_lender.h"

#include "LibCore/result_code.h"
#include "LibHost/rate_limiter.h"

#include <algorithm>
#include <utility>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

/// A loan is renewed when less than 1 / RenewalDivisor of the longest loan term
/// remains.
static constexpr int RenewalDivisor = 3;
static constexpr milliseconds MinRoundBackoff{10};
/// The pause after peers could not satisfy a proactive loan request.
static constexpr milliseconds ProactiveBorrowPause{500};
static constexpr milliseconds MaxRoundBackoff{500};

share_lender::share_lender(const runtime_clock &Clock, host_link_port Link,
                           host_link::Sender Self, share_table &Table,
                           const rate_limiter_settings &Settings)
    : Clock(Clock), Link(std::move(Link)), Self(std::move(Self)), Table(Table),
      Settings(Settings), Peers(std::make_shared<std::vector<peer_host>>()),
      Random(this->Self.host() ^ this->Self.incarnation()) {}

void share_lender::setPeers(std::span<const peer_host> NewPeers) {
  peer_list List = std::make_shared<std::vector<peer_host>>(NewPeers.begin(),
                                                            NewPeers.end());
  const lock Lock(PeersMutex);
  Peers = std::move(List);
}

share_lender::peer_list share_lender::peers() const {
  const lock Lock(PeersMutex);
  return Peers;
}

const peer_host *share_lender::findPeer(const peer_list &List,
                                        host_id Host) const {
  const auto Found =
      std::find_if(List->begin(), List->end(),
                   [Host](const peer_host &Peer) { return Peer.Id == Host; });
  return Found == List->end() ? nullptr : &*Found;
}

std::vector<peer_host> share_lender::choosePeers(const bucket_id &Id) {
  const peer_list List = peers();
  std::vector<lender> Lenders;
  Lenders.reserve(List->size());
  Table.with(Id, [&](share_entry &Entry) {
    for (const peer_host &Peer : *List) {
      lender_hint Hint;
      if (const auto Found = Entry.Hints.find(Peer.Id);
          Found != Entry.Hints.end())
        Hint = Found->second;
      Lenders.push_back({Peer.Zone.Value == Self.zone(), Hint});
    }
  });
  std::vector<std::size_t> Chosen;
  {
    const lock Lock(RandomMutex);
    Chosen =
        chooseLenders(Lenders, Settings.MaxPeersPerRound, Clock.now(), Random);
  }
  std::vector<peer_host> Result;
  Result.reserve(Chosen.size());
  for (const std::size_t Index : Chosen)
    Result.push_back((*List)[Index]);
  return Result;
}

static host_link::BorrowRequest makeRequest(const host_link::Sender &Self,
                                            const bucket_id &Id,
                                            std::uint64_t Nonce,
                                            const loan_request &LoanRequest,
                                            milliseconds Term) {
  host_link::BorrowRequest Request;
  *Request.mutable_sender() = Self;
  Request.set_customer(Id.Customer.Value);
  Request.set_bucket(static_cast<std::uint32_t>(Id.Kind));
  Request.set_nonce(Nonce);
  Request.set_wanted_rate_per_second(
      static_cast<double>(LoanRequest.Rate.PerSecond) / MicrosPerToken);
  Request.set_wanted_tokens((LoanRequest.Level.Count + MicrosPerToken - 1) /
                            MicrosPerToken);
  Request.set_term_ms(Term.count());
  return Request;
}

/// The fraction of a loan request that was granted, in 0..1: of its tokens or
/// of its rate, whichever is larger.
static double grantedFraction(const loan_request &LoanRequest,
                              const loan_amount &Amount) {
  const double Level = static_cast<double>(Amount.Level.Count);
  const double Rate = static_cast<double>(Amount.Rate.PerSecond);
  const double WantedLevel = static_cast<double>(LoanRequest.Level.Count);
  const double WantedRate = static_cast<double>(LoanRequest.Rate.PerSecond);
  const double Part = std::max(Level / std::max(WantedLevel, 1.0),
                               Rate / std::max(WantedRate, 1.0));
  return std::min(Part, 1.0);
}

static loan_amount amountOf(const host_link::BorrowReply &Reply) {
  return {toMicro(token_rate{Reply.rate_per_second()}),
          toMicro(tokens{Reply.capacity_tokens()}),
          toMicro(tokens{Reply.level_tokens()})};
}

/// Asks one peer for a loan and adds what it grants; returns whether that was
/// enough.
bool share_lender::borrowFromPeer(
    const peer_host &Peer, const bucket_id &Id, const loan_request &LoanRequest,
    milliseconds Limit, const std::function<bool(share_entry &)> &Enough) {
  milliseconds Term{0};
  Table.with(Id, [&](share_entry &Entry) {
    Term = loanTermFor(Entry.Share, LoanRequest, Settings.Lending);
  });
  const std::uint64_t Nonce = NextNonce++;
  const time_point SentAt = Clock.now();
  bool IsEnough = false;
  try {
    const host_link::BorrowReply Reply = Link.Borrow(
        Peer.Link, makeRequest(Self, Id, Nonce, LoanRequest, Term), Limit);
    const loan_amount Amount =
        Reply.granted() ? amountOf(Reply) : loan_amount{};
    Table.with(Id, [&](share_entry &Entry) {
      const time_point Now = Clock.now();
      noteGranted(Entry.Hints[Peer.Id], grantedFraction(LoanRequest, Amount),
                  Now);
      if (!Reply.granted())
        return;
      acceptLoan(Entry.Share, {Nonce, Peer.Id, Amount, {}},
                 milliseconds(Reply.term_ms()), SentAt, Now);
      IsEnough = Enough(Entry);
    });
  } catch (const spindle_error &) {
    Table.with(Id, [&](share_entry &Entry) {
      noteCallFailed(Entry.Hints[Peer.Id], Clock.now());
    });
  }
  return IsEnough;
}

/// Ends a round of borrowing; backs off if it did not get enough for its
/// request.
static void endRound(share_entry &Entry, bool GotEnough, time_point Now) {
  Entry.IsBorrowing = false;
  if (GotEnough) {
    Entry.RoundBackoff = milliseconds(0);
    return;
  }
  Entry.RoundBackoff =
      std::clamp(2 * Entry.RoundBackoff, MinRoundBackoff, MaxRoundBackoff);
  Entry.NextRoundAt = Now + Entry.RoundBackoff;
}

borrow_outcome share_lender::borrowForRequest(
    const bucket_id &Id, micro_tokens Amount, time_point End,
    const std::function<bool(share_entry &)> &Enough) {
  borrow_outcome Outcome = borrow_outcome::BackingOff;
  Table.with(Id, [&](share_entry &Entry) {
    if (Entry.IsBorrowing)
      Outcome = borrow_outcome::BorrowInProgress;
    else if (Clock.now() >= Entry.NextRoundAt)
      Outcome = borrow_outcome::Asked;
    if (Outcome == borrow_outcome::Asked)
      Entry.IsBorrowing = true;
  });
  if (Outcome != borrow_outcome::Asked)
    return Outcome;
  bool GotEnough = false;
  for (const peer_host &Peer : choosePeers(Id)) {
    loan_request LoanRequest;
    Table.with(Id, [&](share_entry &Entry) {
      LoanRequest = loanRequestFor(Entry.Share, Amount);
    });
    const milliseconds Remaining =
        std::chrono::ceil<milliseconds>(End - Clock.now());
    const milliseconds Limit = std::min(Settings.BorrowTimeout, Remaining);
    if (Limit < milliseconds(0))
      break;
    GotEnough = borrowFromPeer(Peer, Id, LoanRequest, Limit, Enough);
    if (GotEnough)
      break;
  }
  Table.with(
      Id, [&](share_entry &Entry) { endRound(Entry, GotEnough, Clock.now()); });
  return borrow_outcome::Asked;
}

static bucket_id bucketOf(std::uint64_t Customer, std::uint32_t Bucket) {
  return {customer_id{Customer}, static_cast<bucket_kind>(Bucket)};
}

static loan_key keyOf(const host_link::Sender &Sender, std::uint64_t Nonce) {
  return {host_id{Sender.host()}, Sender.incarnation(), Nonce};
}

/// Rounds down to whole tokens, which the reply carries, so that rounding never
/// creates tokens.
static loan_amount roundDownToTokens(const loan_amount &Amount) {
  loan_amount Whole;
  Whole.Rate = Amount.Rate;
  Whole.Capacity = toMicro(toTokens(Amount.Capacity));
  Whole.Level = toMicro(toTokens(Amount.Level));
  return Whole;
}

static host_link::BorrowReply toReply(const lent_loan &Loan) {
  host_link::BorrowReply Reply;
  Reply.set_granted(true);
  Reply.set_rate_per_second(static_cast<double>(Loan.Amount.Rate.PerSecond) /
                            MicrosPerToken);
  Reply.set_capacity_tokens(toTokens(Loan.Amount.Capacity).Count);
  Reply.set_level_tokens(toTokens(Loan.Amount.Level).Count);
  Reply.set_term_ms(Loan.Term.count());
  return Reply;
}

host_link::BorrowReply
share_lender::handleBorrow(const host_link::BorrowRequest &Request) {
  const loan_key Key = keyOf(Request.sender(), Request.nonce());
  const loan_request LoanRequest{
      toMicro(token_rate{Request.wanted_rate_per_second()}),
      toMicro(tokens{std::max<std::int64_t>(Request.wanted_tokens(), 0)})};
  host_link::BorrowReply Reply;
  const bucket_id Id = bucketOf(Request.customer(), Request.bucket());
  Table.with(Id, [&](share_entry &Entry) {
    customer_share &Share = Entry.Share;
    const time_point Now = Clock.now();
    advanceShare(Share, Now);
    updateDemand(Share.Demand, Now);
    if (wasRepaid(Share, Key))
      return;
    const bool IsOut =
        std::any_of(Share.Lent.begin(), Share.Lent.end(),
                    [&Key](const lent_loan &Loan) { return Loan.Key == Key; });
    std::optional<lent_loan> Loan;
    if (IsOut && canAffordRenewal(Share))
      Loan = renewLent(Share, Key, Now);
    const std::optional<loan_amount> Offer =
        loanOfferFor(Share, LoanRequest, milliseconds(Request.term_ms()),
                     Settings.Lending, Draining);
    if (!IsOut && Offer)
      Loan = lend(Share, Key, roundDownToTokens(*Offer),
                  milliseconds(Request.term_ms()), Now);
    if (Loan)
      Reply = toReply(*Loan);
  });
  return Reply;
}

host_link::RepayReply
share_lender::handleRepay(const host_link::RepayRequest &Request) {
  const loan_key Key = keyOf(Request.sender(), Request.nonce());
  Table.with(
      bucketOf(Request.customer(), Request.bucket()), [&](share_entry &Entry) {
        acceptRepayment(Entry.Share, Key,
                        toMicro(tokens{Request.level_tokens()}), Clock.now());
      });
  return {};
}

/// Whether requests wait for loans of this bucket. Adapter loads don't wait.
static bool requestsWaitForLoans(const bucket_id &Id) {
  return Id.Kind == bucket_kind::CustomerTokens;
}

share_lender::maintenance_tasks share_lender::findMaintenanceTasks() {
  maintenance_tasks Tasks;
  const bool Drains = Draining;
  Table.forEach([&](const bucket_id &Id, share_entry &Entry) {
    const time_point Now = Clock.now();
    customer_share &Share = Entry.Share;
    advanceShare(Share, Now);
    updateDemand(Share.Demand, Now);
    for (const borrowed_loan &Loan : Share.Borrowed) {
      if (Drains)
        Tasks.Repayments.push_back({Id, Loan});
      else if (Loan.End - Now < MaxLoanTerm / RenewalDivisor &&
               needsRenewal(Share, Loan))
        Tasks.Renewals.push_back({Id, Loan});
    }
    if (!Drains &&
        proactiveLoanRequest(Share, Settings.Lending, requestsWaitForLoans(Id)))
      Tasks.ProactiveBorrows.push_back(Id);
  });
  return Tasks;
}

void share_lender::borrowProactively(const bucket_id &Id) {
  const time_point End = Clock.now() + Settings.AdmissionWait;
  bool MayAsk = false;
  Table.with(Id, [&](share_entry &Entry) {
    MayAsk = !Entry.IsBorrowing && Clock.now() >= Entry.NextProactiveBorrowAt;
    Entry.IsBorrowing = Entry.IsBorrowing || MayAsk;
  });
  if (!MayAsk)
    return;
  bool Satisfied = false;
  for (const peer_host &Peer : choosePeers(Id)) {
    std::optional<loan_request> LoanRequest;
    Table.with(Id, [&](share_entry &Entry) {
      LoanRequest = proactiveLoanRequest(Entry.Share, Settings.Lending,
                                         requestsWaitForLoans(Id));
    });
    Satisfied = !LoanRequest;
    if (Satisfied || Clock.now() > End)
      break;
    borrowFromPeer(Peer, Id, *LoanRequest, Settings.BorrowTimeout,
                   [](share_entry &) { return false; });
  }
  Table.with(Id, [&](share_entry &Entry) {
    Entry.IsBorrowing = false;
    Entry.NextProactiveBorrowAt = Clock.now();
    if (!Satisfied)
      Entry.NextProactiveBorrowAt += ProactiveBorrowPause;
  });
}

void share_lender::renew(const held_loan &Held) {
  const peer_list List = peers();
  const peer_host *Peer = findPeer(List, Held.Loan.Lender);
  if (Peer == nullptr)
    return;
  const loan_request LoanRequest{Held.Loan.Amount.Rate, {}};
  const time_point SentAt = Clock.now();
  try {
    const host_link::BorrowReply Reply =
        Link.Borrow(Peer->Link,
                    makeRequest(Self, Held.Bucket, Held.Loan.Nonce, LoanRequest,
                                Settings.Lending.LoanTerm),
                    Settings.BorrowTimeout);
    if (!Reply.granted())
      return;
    Table.with(Held.Bucket, [&](share_entry &Entry) {
      extendLoan(Entry.Share, Held.Loan.Nonce, milliseconds(Reply.term_ms()),
                 SentAt, Clock.now());
    });
  } catch (const spindle_error &) {
    Table.with(Held.Bucket, [&](share_entry &Entry) {
      noteCallFailed(Entry.Hints[Held.Loan.Lender], Clock.now());
    });
  }
}

void share_lender::repay(const held_loan &Held) {
  const peer_list List = peers();
  const peer_host *Peer = findPeer(List, Held.Loan.Lender);
  if (Peer == nullptr)
    return;
  std::optional<micro_tokens> Level;
  Table.with(Held.Bucket, [&](share_entry &Entry) {
    Level = releaseForRepayment(Entry.Share, Held.Loan.Nonce, Clock.now());
  });
  if (!Level)
    return;
  host_link::RepayRequest Request;
  *Request.mutable_sender() = Self;
  Request.set_customer(Held.Bucket.Customer.Value);
  Request.set_bucket(static_cast<std::uint32_t>(Held.Bucket.Kind));
  Request.set_nonce(Held.Loan.Nonce);
  Request.set_level_tokens(toTokens(*Level).Count);
  try {
    Link.Repay(Peer->Link, Request, Settings.BorrowTimeout);
  } catch (const spindle_error &) {
    // The lender regains the loan at the end of its term.
  }
}

void share_lender::maintain() {
  const maintenance_tasks Tasks = findMaintenanceTasks();
  for (const held_loan &Held : Tasks.Repayments)
    repay(Held);
  for (const held_loan &Held : Tasks.Renewals)
    renew(Held);
  for (const bucket_id &Id : Tasks.ProactiveBorrows)
    borrowProactively(Id);
}

void share_lender::startDrain() { Draining = true; }

} // namespace spindle
