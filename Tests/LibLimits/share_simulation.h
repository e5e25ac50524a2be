#ifndef PARSLEYSPINDLE_TESTS_LIBLIMITS_SHARE_SIMULATION_H
#define PARSLEYSPINDLE_TESTS_LIBLIMITS_SHARE_SIMULATION_H

#include "LibLimits/customer_share.h"
#include "LibLimits/share_gate.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace spindle {

/// Simulates the shares of one customer on a few hosts; a sequence of random
/// numbers makes every choice. Messages are delayed, duplicated, reordered or
/// lost; hosts restart with empty memory, their clocks run at slightly
/// different speeds, and base shares move between them and expire as membership
/// allows it. Amounts are arbitrary, so that the checked properties hold for
/// every lending policy.
class share_simulation {
public:
  static constexpr std::size_t HostCount = 4;
  static constexpr double ClockTolerance = 0.01;

  struct charge {
    std::size_t Host = 0;
    std::uint64_t Incarnation = 0;
    time_point At;
    micro_tokens Reserved;
    micro_tokens Used;
    std::uint64_t ChargeSequence = 0;
    bool Settled = false;
  };

  share_simulation(std::vector<std::uint32_t> Numbers, bool ChangeLimits)
      : Choices(std::move(Numbers)), ChangesLimits(ChangeLimits) {
    for (std::size_t Index = 0; Index < HostCount; ++Index) {
      Hosts[Index].Speed = 1.0 + ClockTolerance * (double(Index % 3) - 1.0);
      Hosts[Index].Parts = PartsOfWhole / std::int64_t(HostCount);
      assign(Index);
    }
  }

  /// Runs until the numbers are used up; calls \p Check after each step.
  template <typename check> void run(check Check) {
    while (Position < Choices.size()) {
      runStep();
      Check(*this);
    }
  }

  /// The sum over all hosts of what each may use now.
  loan_amount sumInUse() const {
    loan_amount Sum;
    for (const host &Host : Hosts) {
      customer_share Share = Host.Share;
      advanceShare(Share, nowAt(Host));
      Sum.Rate += rateOf(Share);
      Sum.Capacity += capacityOf(Share);
      Sum.Level += std::max(Share.Level, micro_tokens{});
    }
    return Sum;
  }

  /// The most by which the usage in any interval that ends now would exceed
  /// rate x time if every host spent its level at once; it must not exceed the
  /// burst. Reservations that are not settled count in full.
  double largestExcess() const {
    double Excess = 0;
    time_point Last = Start;
    const auto Decay = [&](time_point At) {
      const std::chrono::duration<double> Passed = At - Last;
      const double Rate = double(LargestRate.PerSecond) * (1 + ClockTolerance);
      Excess = std::max(0.0, Excess - Rate * Passed.count());
      Last = At;
    };
    for (const charge &Charge : Charges) {
      Decay(Charge.At);
      Excess += double((Charge.Settled ? Charge.Used : Charge.Reserved).Count);
    }
    Decay(Now);
    return Excess + double(sumInUse().Level.Count);
  }

  micro_rate LargestRate{10 * MicrosPerToken};
  micro_tokens LargestBurst{500 * MicrosPerToken};
  std::vector<charge> Charges;
  std::size_t LoansAccepted = 0;

private:
  struct host {
    customer_share Share;
    share_gate Gate;
    std::uint64_t Incarnation = 1;
    double Speed = 1;
    std::int64_t Parts = 0;
    micro_rate Rate{10 * MicrosPerToken};
    micro_tokens Burst{500 * MicrosPerToken};
    /// Nonces of requests for a new loan that wait for their reply.
    std::vector<std::uint64_t> Pending;
  };
  enum class kind { Request, Reply, Repay };
  struct message {
    kind Kind = kind::Request;
    std::size_t From = 0;
    std::size_t To = 0;
    std::uint64_t Incarnation = 0;
    std::uint64_t Nonce = 0;
    time_point SentAt;
    bool IsRenewal = false;
    loan_amount Amount;
    milliseconds Term{0};
  };

  static constexpr time_point Start{seconds(1'000)};

  std::uint32_t next(std::uint32_t Limit) {
    return Position < Choices.size() ? Choices[Position++] % Limit : 0;
  }
  std::size_t nextHost() { return next(std::uint32_t(HostCount)); }
  micro_tokens nextPart(micro_tokens Whole) {
    return {std::max<std::int64_t>(Whole.Count, 0) / 8 * std::int64_t(next(9))};
  }

  /// The time on a host's own clock.
  time_point nowAt(const host &Host) const {
    const double Passed = double((Now - Start).count()) * Host.Speed;
    return Start + nanoseconds(std::int64_t(Passed));
  }

  void runStep() {
    switch (next(16)) {
    case 0:
      Now += milliseconds(next(8) == 0 ? next(8'000) : next(300));
      return;
    case 1:
      return advanceToNextEnd();
    case 2:
    case 3:
    case 4:
      return reserve(Hosts[nextHost()]);
    case 5:
      return settle();
    case 6:
    case 7:
      return requestLoan(nextHost(), nextHost());
    case 8:
      return renew(nextHost());
    case 9:
      return repay(nextHost());
    case 10:
      return changeMembershipOrLimits();
    default:
      return deliverAny();
    }
  }

  /// Advances to within 1 ms of the time at which a loan or the base share of
  /// some host ends.
  void advanceToNextEnd() {
    const host &Host = Hosts[nextHost()];
    if (Host.Share.NextEnd == time_point::max())
      return;
    const double Passed = double((Host.Share.NextEnd - Start).count());
    const time_point End =
        Start + nanoseconds(std::int64_t(Passed / Host.Speed));
    Now = std::max(Now, End + milliseconds(next(3)) - milliseconds(1));
  }

  void reserve(host &Host) {
    if (next(4) == 0)
      apply(Host);
    const micro_tokens Amount = nextPart({Host.Burst.Count / 16});
    const std::optional<std::uint64_t> ChargeSequence =
        tryCharge(Host.Share, Amount, nowAt(Host));
    if (!ChargeSequence)
      return;
    const std::size_t Index = std::size_t(&Host - Hosts.data());
    Charges.push_back(
        {Index, Host.Incarnation, Now, Amount, Amount, *ChargeSequence, false});
  }

  void settle() {
    if (Charges.empty())
      return;
    const std::size_t Window = std::min<std::size_t>(Charges.size(), 12);
    charge &Charge = Charges[Charges.size() - 1 - next(std::uint32_t(Window))];
    host &Host = Hosts[Charge.Host];
    if (Charge.Settled || Charge.Incarnation != Host.Incarnation)
      return;
    Charge.Used = nextPart(Charge.Reserved);
    Charge.Settled = true;
    settleCharge(Host.Share, Charge.ChargeSequence, Charge.Reserved,
                 Charge.Used, nowAt(Host));
  }

  void requestLoan(std::size_t From, std::size_t To) {
    if (From == To)
      return;
    host &Host = Hosts[From];
    Host.Pending.push_back(++LastNonce);
    InFlight.push_back({kind::Request,
                        From,
                        To,
                        Host.Incarnation,
                        LastNonce,
                        nowAt(Host),
                        false,
                        {},
                        milliseconds(next(2) == 0 ? 100 : next(4'000))});
  }

  void renew(std::size_t From) {
    host &Host = Hosts[From];
    for (const borrowed_loan &Loan : Host.Share.Borrowed)
      InFlight.push_back({kind::Request,
                          From,
                          std::size_t(Loan.Lender.Value),
                          Host.Incarnation,
                          Loan.Nonce,
                          nowAt(Host),
                          true,
                          {},
                          {}});
  }

  void repay(std::size_t From) {
    host &Host = Hosts[From];
    if (Host.Share.Borrowed.empty())
      return;
    const borrowed_loan Loan = Host.Share.Borrowed.front();
    const std::optional<micro_tokens> Level =
        releaseForRepayment(Host.Share, Loan.Nonce, nowAt(Host));
    if (Level)
      InFlight.push_back({kind::Repay,
                          From,
                          std::size_t(Loan.Lender.Value),
                          Host.Incarnation,
                          Loan.Nonce,
                          {},
                          false,
                          {{}, {}, *Level},
                          {}});
  }

  void deliverAny() {
    constexpr std::size_t LargestInFlight = 10;
    if (InFlight.empty())
      return;
    while (InFlight.size() > LargestInFlight)
      InFlight.erase(InFlight.begin());
    deliver(next(std::uint32_t(InFlight.size())));
  }

  /// Delivers or drops a message; a delivered one may stay in flight to be
  /// delivered again.
  void deliver(std::size_t Index) {
    const message Message = InFlight[Index];
    const std::uint32_t Delivery = next(8);
    if (Delivery != 0)
      InFlight.erase(InFlight.begin() + std::ptrdiff_t(Index));
    if (Delivery == 1)
      return;
    host &Host = Hosts[Message.To];
    const loan_key Key{host_id{Message.From}, Message.Incarnation,
                       Message.Nonce};
    if (Message.Kind == kind::Request)
      answer(Host, Key, Message);
    else if (Message.Kind == kind::Repay)
      acceptRepayment(Host.Share, Key, Message.Amount.Level, nowAt(Host));
    else if (Message.Incarnation == Host.Incarnation)
      accept(Host, Message);
  }

  void answer(host &Host, const loan_key &Key, const message &Request) {
    const time_point Then = nowAt(Host);
    advanceShare(Host.Share, Then);
    std::optional<lent_loan> Loan = renewLent(Host.Share, Key, Then);
    if (!Loan && !Request.IsRenewal && !wasRepaid(Host.Share, Key)) {
      loan_amount Amount;
      Amount.Rate = {lendableRate(Host.Share).PerSecond / 8 * next(9)};
      const micro_tokens Lendable = lendableCapacity(Host.Share);
      Amount.Capacity = nextPart(Lendable);
      Amount.Level = std::min(Lendable, nextPart(Host.Share.Level));
      if (Request.Term <= MaxTransferTerm) {
        Amount.Rate = {};
        Amount.Capacity = {};
      }
      Loan = lend(Host.Share, Key, Amount, Request.Term, Then);
    }
    if (!Loan)
      return;
    message Reply = Request;
    Reply.Kind = kind::Reply;
    std::swap(Reply.From, Reply.To);
    Reply.Amount = Loan->Amount;
    Reply.Term = Loan->Term;
    InFlight.push_back(Reply);
  }

  void accept(host &Host, const message &Reply) {
    const time_point Then = nowAt(Host);
    if (Reply.IsRenewal) {
      extendLoan(Host.Share, Reply.Nonce, Reply.Term, Reply.SentAt, Then);
      return;
    }
    // Each request for a new loan accepts one reply.
    if (std::erase(Host.Pending, Reply.Nonce) == 0)
      return;
    const borrowed_loan Loan{
        Reply.Nonce, host_id{Reply.From}, Reply.Amount, {}};
    LoansAccepted +=
        acceptLoan(Host.Share, Loan, Reply.Term, Reply.SentAt, Then) ? 1 : 0;
  }

  void changeMembershipOrLimits() {
    const std::size_t Index = nextHost();
    switch (next(32)) {
    case 0:
      return restart(Hosts[Index]);
    case 1:
      return moveShare(Index, nextHost());
    case 2:
      if (ChangesLimits)
        changeLimits(Hosts[Index]);
      return;
    case 3:
    case 4:
      return refillAll();
    default:
      return assign(Index);
    }
  }

  /// Lets every share fill up, so that tokens created by an error would exceed
  /// the limits.
  void refillAll() {
    constexpr int Rounds = 12;
    for (int Round = 0; Round < Rounds; ++Round) {
      Now += seconds(5);
      for (std::size_t Index = 0; Index < HostCount; ++Index)
        assign(Index);
    }
  }

  /// Assigns a host its base share, valid from now on by its own clock.
  void assign(std::size_t Index) {
    host &Host = Hosts[Index];
    const time_point Then = nowAt(Host);
    assignShare(Host.Gate, Host.Parts, Then + seconds(10 + next(60)), Then);
    apply(Host);
  }

  void apply(host &Host) {
    const time_point Then = nowAt(Host);
    const std::int64_t Parts = usableParts(Host.Gate, ShareGrowthDelay, Then);
    setBaseShare(Host.Share, partOf(Host.Rate, Parts),
                 partOf(Host.Burst, Parts), Host.Gate.ValidUntil, Then);
  }

  /// Takes a part of the share from one host, which stops using it at once or
  /// whose share has expired, and assigns it to another.
  void moveShare(std::size_t From, std::size_t To) {
    const std::int64_t Moved = Hosts[From].Parts / 8 * next(9);
    Hosts[From].Parts -= Moved;
    // A host whose share has expired need not be told.
    if (nowAt(Hosts[From]) < Hosts[From].Gate.ValidUntil)
      assign(From);
    Hosts[To].Parts += Moved;
    assign(To);
  }

  void changeLimits(host &Host) {
    const std::int64_t Factor = 1 + next(8);
    Host.Rate = {LargestRate.PerSecond / Factor};
    Host.Burst = {LargestBurst.Count / (1 + next(8))};
    apply(Host);
  }

  /// Restarts the process with empty memory and the same base share.
  void restart(host &Host) {
    Host.Share = {};
    Host.Share.LastRefill = nowAt(Host);
    Host.Gate = {};
    Host.Pending.clear();
    ++Host.Incarnation;
    assign(std::size_t(&Host - Hosts.data()));
  }

  std::vector<std::uint32_t> Choices;
  std::size_t Position = 0;
  bool ChangesLimits = false;
  time_point Now = Start;
  std::vector<host> Hosts = std::vector<host>(HostCount);
  std::vector<message> InFlight;
  std::uint64_t LastNonce = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_TESTS_LIBLIMITS_SHARE_SIMULATION_H
