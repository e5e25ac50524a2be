#include "LibHost/rate_limiter.h"

#include "LibCore/retry_after_error.h"
#include "LibHost/share_lender.h"
#include "LibHost/share_table.h"
#include "LibLimits/share_gate.h"
#include "LibLog/log.h"

#include <algorithm>
#include <atomic>
#include <set>
#include <vector>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

/// Loads are counted in thousandths, so that small shares of the budget can add
/// up to a whole load.
static constexpr std::int64_t LoadCost = 1'000;
/// Polling interval of a fiber that waits while another one borrows for the
/// same share.
static constexpr milliseconds BorrowPollInterval{2};
/// A request stops waiting after this many rounds, even before its deadline.
static constexpr int MaxRoundCount = 32;
static constexpr milliseconds MinRetryAfter{10};

static bucket_id customerBucket(customer_id Customer) {
  return {Customer, bucket_kind::CustomerTokens};
}

static bucket_id loadBucket(bucket_kind Kind) {
  return {customer_id::ofName("weight-store"), Kind};
}

struct rate_limiter::state {
  state(const runtime_clock &RuntimeClock, host_link_port Link,
        host_link::Sender Self, metrics *Counters,
        rate_limiter_settings NewSettings)
      : Clock(RuntimeClock), Metrics(Counters),
        Settings(std::move(NewSettings)),
        Lender(Clock, std::move(Link), std::move(Self), Table, Settings) {}

  void count(std::string_view Name, const metric_labels &Labels) const {
    if (Metrics != nullptr)
      Metrics->count(Name, Labels);
  }

  const runtime_clock &Clock;
  metrics *Metrics;
  rate_limiter_settings Settings;
  share_table Table;
  share_lender Lender;
  /// Serializes changes of base shares, so that none overwrites a later one.
  std::mutex BaseShareMutex;
  share_gate Gate;
  std::int64_t UsableParts = 0;
  std::uint64_t NextEpoch = 1;

  void defineBucket(const bucket_id &Id, std::string_view Name, micro_rate Rate,
                    micro_tokens Burst);
  void applyBaseShare(bool Always);
  bool waitForShare(const bucket_id &Id, micro_tokens Amount, time_point End,
                    rate_reservation &Reservation);
  [[noreturn]] void refuse(const bucket_id &Id, micro_tokens Amount);
};

/// Sets an entry's base share to its part of the fleet's rate and burst.
static void applyParts(share_entry &Entry, std::int64_t Parts,
                       time_point ValidUntil, time_point Now) {
  setBaseShare(Entry.Share, partOf(Entry.FleetRate, Parts),
               partOf(Entry.FleetBurst, Parts), ValidUntil, Now);
}

static bool tryReserve(share_entry &Entry, micro_tokens Amount, time_point Now,
                       rate_reservation &Reservation) {
  const std::optional<std::uint64_t> ChargeSequence =
      tryCharge(Entry.Share, Amount, Now);
  if (!ChargeSequence)
    return false;
  Reservation.ChargeSequence = *ChargeSequence;
  Reservation.ShareEpoch = Entry.Epoch;
  return true;
}

rate_limiter::rate_limiter(const runtime_clock &Clock, host_link_port Link,
                           host_link::Sender Self, metrics *Metrics,
                           rate_limiter_settings Settings)
    : State(std::make_unique<state>(Clock, std::move(Link), std::move(Self),
                                    Metrics, std::move(Settings))) {}

rate_limiter::~rate_limiter() = default;

/// Sets the fleet-wide rate and burst of one bucket.
/// Precondition: BaseShareMutex is held.
void rate_limiter::state::defineBucket(const bucket_id &Id,
                                       std::string_view Name, micro_rate Rate,
                                       micro_tokens Burst) {
  Table.withOrInsert(Id, [&](share_entry &Entry) {
    const time_point Now = Clock.now();
    if (Entry.Epoch == 0) {
      Entry.Epoch = NextEpoch++;
      Entry.Share.LastRefill = Now;
      Entry.Share.Demand.LastUpdate = Now;
    }
    if (Id.Kind == bucket_kind::LoadsInFlight)
      Entry.Share.Kind = refill_kind::BySettlement;
    Entry.Name = Name;
    Entry.FleetRate = Rate;
    Entry.FleetBurst = Burst;
    applyParts(Entry, UsableParts, Gate.ValidUntil, Now);
  });
}

void rate_limiter::applyCustomers(
    std::span<const customer_declaration> Customers) {
  const lock Lock(State->BaseShareMutex);
  std::set<customer_id> Declared;
  for (const customer_declaration &Customer : Customers) {
    const customer_id Id = customer_id::ofName(Customer.Name);
    Declared.insert(Id);
    State->defineBucket(customerBucket(Id), Customer.Name,
                        toMicro(Customer.Rate), toMicro(Customer.Burst));
  }
  // A share with outstanding loans to other hosts is kept, so that they are
  // still counted if the customer is configured again.
  const auto IsDropped = [&](const bucket_id &Id) {
    return Id.Kind == bucket_kind::CustomerTokens &&
           !Declared.contains(Id.Customer);
  };
  State->Table.forEach([&](const bucket_id &Id, share_entry &Entry) {
    if (!IsDropped(Id))
      return;
    Entry.FleetRate = {};
    Entry.FleetBurst = {};
    applyParts(Entry, 0, State->Gate.ValidUntil, State->Clock.now());
  });
  State->Table.removeIf([&](const bucket_id &Id, const share_entry &Entry) {
    return IsDropped(Id) && Entry.Share.Lent.empty();
  });
}

void rate_limiter::setLoadBudget(double LoadsPerSecond,
                                 std::uint32_t InFlight) {
  const lock Lock(State->BaseShareMutex);
  const micro_rate Rate =
      toMicro(token_rate{LoadsPerSecond * static_cast<double>(LoadCost)});
  const micro_tokens Units = toMicro(tokens{InFlight * LoadCost});
  State->defineBucket(loadBucket(bucket_kind::LoadRate), "weight-store", Rate,
                      Units);
  State->defineBucket(loadBucket(bucket_kind::LoadsInFlight), "weight-store",
                      micro_rate{}, Units);
}

/// Applies the usable part of the base share to every bucket if it has changed,
/// or always if \p Always. Precondition: BaseShareMutex is held.
void rate_limiter::state::applyBaseShare(bool Always) {
  const time_point Now = Clock.now();
  const std::int64_t Parts = usableParts(Gate, ShareGrowthDelay, Now);
  const bool Changed = Parts != UsableParts;
  if (!Changed && !Always)
    return;
  if (Changed && Parts == 0)
    logEvent(log_event::ShareLapsed, {});
  if (Changed && UsableParts == 0)
    logEvent(log_event::ShareUsable, {{"parts", std::to_string(Parts)}});
  UsableParts = Parts;
  Table.forEach([&](const bucket_id &, share_entry &Entry) {
    applyParts(Entry, Parts, Gate.ValidUntil, Clock.now());
  });
}

void rate_limiter::applyView(const host_view &View) {
  State->Lender.setPeers(View.Peers);
  const lock Lock(State->BaseShareMutex);
  const bool ValidityChanged = View.Share.ValidUntil != State->Gate.ValidUntil;
  assignShare(State->Gate, View.Share.PartsPerMillion, View.Share.ValidUntil,
              State->Clock.now());
  State->applyBaseShare(ValidityChanged);
}

rate_reservation rate_limiter::reserve(customer_id Customer, tokens Estimate,
                                       time_point Deadline) {
  const bucket_id Id = customerBucket(Customer);
  const micro_tokens Amount = toMicro(Estimate);
  const time_point Now = State->Clock.now();
  rate_reservation Reservation{Customer, Estimate};
  bool Admitted = false;
  bool Known = false;
  State->Table.with(Id, [&](share_entry &Entry) {
    Known = Entry.FleetBurst.Count > 0;
    if (Known && Amount > Entry.FleetBurst)
      throw spindle_error(result_code::RequestExceedsBurst,
                          "the request reserves " +
                              std::to_string(Estimate.Count) +
                              " tokens, more than the customer's burst of " +
                              std::to_string(toTokens(Entry.FleetBurst).Count));
    noteDemand(Entry.Share.Demand, Amount);
    Admitted = tryReserve(Entry, Amount, State->Clock.now(), Reservation);
  });
  if (!Known)
    throw spindle_error(result_code::ShareUnavailable,
                        "the customer has no rate in this configuration");
  const time_point End =
      std::min(Deadline, Now + State->Settings.AdmissionWait);
  if (!Admitted && !State->waitForShare(Id, Amount, End, Reservation))
    State->refuse(Id, Amount);
  return Reservation;
}

/// Tries until \p End to get enough tokens for a request, by loans and by
/// refill; returns whether the request was charged.
bool rate_limiter::state::waitForShare(const bucket_id &Id, micro_tokens Amount,
                                       time_point End,
                                       rate_reservation &Reservation) {
  bool Admitted = false;
  const auto Retry = [&](share_entry &Entry) {
    Admitted = tryReserve(Entry, Amount, Clock.now(), Reservation);
    return Admitted;
  };
  for (int Round = 0; Round < MaxRoundCount && !Admitted; ++Round) {
    const borrow_outcome Outcome =
        Lender.borrowForRequest(Id, Amount, End, Retry);
    if (Admitted)
      return true;
    nanoseconds Pause = BorrowPollInterval;
    if (Outcome != borrow_outcome::BorrowInProgress)
      Table.with(Id, [&](share_entry &Entry) {
        Pause = timeToAccrue(rateOf(Entry.Share), Amount - Entry.Share.Level);
      });
    if (Clock.now() + Pause > End)
      return false;
    Settings.Sleep(Pause);
    Table.with(Id, Retry);
  }
  return Admitted;
}

/// Throws the error for a request that the share cannot cover.
void rate_limiter::state::refuse(const bucket_id &Id, micro_tokens Amount) {
  nanoseconds Wait{0};
  bool HasShare = false;
  std::string Name;
  Table.with(Id, [&](share_entry &Entry) {
    const micro_tokens Missing = Amount - Entry.Share.Level;
    const bool Fits = Amount <= capacityOf(Entry.Share);
    HasShare = capacityOf(Entry.Share).Count > 0;
    // A request larger than this host's share needs loans from the whole fleet.
    Wait = timeToAccrue(Fits ? rateOf(Entry.Share) : Entry.FleetRate, Missing);
    Name = Entry.Name;
  });
  const result_code Code =
      HasShare ? result_code::RateExceeded : result_code::ShareUnavailable;
  if (!HasShare)
    Wait = ShareGrowthDelay;
  count("spindle_rate_refusals_total",
        {{"customer", Name}, {"result", std::string(describe(Code).Name)}});
  const milliseconds RetryAfter =
      std::max(std::chrono::ceil<milliseconds>(Wait), MinRetryAfter);
  throw retry_after_error(Code,
                          std::string(describe(Code).Meaning) +
                              " Retry after " +
                              std::to_string(RetryAfter.count()) + " ms.",
                          RetryAfter);
}

void rate_limiter::settle(rate_reservation &&Reservation, tokens Used) {
  const micro_tokens Charged = toMicro(Reservation.Reserved);
  const micro_tokens UsedMicros = toMicro(Used);
  if (Used > Reservation.Reserved)
    State->count("spindle_rate_overruns_total", {});
  State->Table.with(customerBucket(Reservation.Customer),
                    [&](share_entry &Entry) {
                      if (Entry.Epoch != Reservation.ShareEpoch)
                        return;
                      settleCharge(Entry.Share, Reservation.ChargeSequence,
                                   Charged, UsedMicros, State->Clock.now());
                      subtractUnused(Entry.Share.Demand, Charged - UsedMicros);
                    });
}

bool rate_limiter::tryReserveLoad(time_point Now) {
  const micro_tokens Cost = toMicro(tokens{LoadCost});
  const auto TryChargeBucket = [&](bucket_kind Kind) {
    bool Charged = false;
    State->Table.with(loadBucket(Kind), [&](share_entry &Entry) {
      noteDemand(Entry.Share.Demand, Cost);
      Charged = tryCharge(Entry.Share, Cost, Now).has_value();
    });
    return Charged;
  };
  if (!TryChargeBucket(bucket_kind::LoadsInFlight))
    return false;
  if (TryChargeBucket(bucket_kind::LoadRate))
    return true;
  settleLoad();
  return false;
}

void rate_limiter::settleLoad() {
  const time_point Now = State->Clock.now();
  const micro_tokens Cost = toMicro(tokens{LoadCost});
  State->Table.with(
      loadBucket(bucket_kind::LoadsInFlight), [&](share_entry &Entry) {
        const std::uint64_t ChargeSequence = Entry.Share.History.NextSequence;
        settleCharge(Entry.Share, ChargeSequence, Cost, {}, Now);
      });
}

host_link::BorrowReply
rate_limiter::handleBorrow(const host_link::BorrowRequest &Request) {
  return State->Lender.handleBorrow(Request);
}

host_link::RepayReply
rate_limiter::handleRepay(const host_link::RepayRequest &Request) {
  return State->Lender.handleRepay(Request);
}

void rate_limiter::maintain() {
  {
    const lock Lock(State->BaseShareMutex);
    State->applyBaseShare(false);
  }
  State->Lender.maintain();
}

void rate_limiter::startDrain() { State->Lender.startDrain(); }

bool rate_limiter::holdsShare() const {
  const lock Lock(State->BaseShareMutex);
  return State->UsableParts > 0 && State->Clock.now() < State->Gate.ValidUntil;
}

} // namespace spindle
