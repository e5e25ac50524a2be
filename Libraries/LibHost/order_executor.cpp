#include "LibHost/order_executor.h"

#include "LibCore/result_code.h"
#include "LibCore/retry_after_error.h"
#include "LibHost/expired_orders.h"
#include "LibHost/order_record_store.h"
#include "LibHost/unwritten_outcomes.h"
#include "LibLog/log.h"
#include "LibRuntime/fiber_runtime.h"

#include <algorithm>
#include <atomic>
#include <exception>
#include <map>
#include <mutex>
#include <optional>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

static constexpr milliseconds MaxRetryAfter{1'000};

namespace {

/// Either a confirmed claim, or the record found under the key and its status.
struct claim_result {
  std::optional<confirmed_claim> Claim;
  claim_status Finding = claim_status::OwnClaim;
  order_record Stored;
};

} // namespace

struct order_executor::state {
  state(const runtime_clock &RuntimeClock, platform_port Port,
        std::string Prefix, order_executor_settings NewSettings)
      : Clock(RuntimeClock), Records(Port), NoncePrefix(std::move(Prefix)),
        Settings(std::move(NewSettings)), Unwritten(Records, Settings),
        Expired(Clock, std::move(Port), Settings) {}

  const runtime_clock &Clock;
  const order_record_store Records;
  const std::string NoncePrefix;
  order_executor_settings Settings;
  unwritten_outcomes Unwritten;
  expired_orders Expired;
  std::atomic<std::uint64_t> NextNonce{1};

  mutable std::mutex Mutex;
  /// Attempts, by nonce, that ended without dispatching although their claim
  /// may have been written.
  struct abandoned_claim {
    std::string Name;
    time_point ExpiresAt;
  };
  std::map<std::string, abandoned_claim> Abandoned;

  claim_result claim(const order_request &Order, time_point SentAt);
  claim_result tryClaim(confirmed_claim &NewClaim,
                        std::optional<std::uint64_t> &Old, bool &Decided);
  http_response dispatch(const confirmed_claim &Claim,
                         const std::function<http_response()> &Dispatch);
  http_response respondToRepeat(const claim_result &Result);
  void abandon(const confirmed_claim &Claim);
  bool isAbandoned(const std::string &Nonce) const;
  void recordOutcome(confirmed_claim Claim);
  void releaseAbandoned();
};

order_executor::order_executor(const runtime_clock &Clock,
                               platform_port Platform,
                               std::uint64_t Incarnation, std::string HostName,
                               order_executor_settings Settings)
    : State(std::make_unique<state>(Clock, std::move(Platform),
                                    std::move(HostName) + ":" +
                                        std::to_string(Incarnation) + ":",
                                    std::move(Settings))) {
  if (!State->Settings.Sleep)
    State->Settings.Sleep = sleepFor;
}

order_executor::~order_executor() = default;

http_response
order_executor::run(const order_request &Order,
                    const std::function<http_response()> &Dispatch) {
  const time_point SentAt = State->Clock.now();
  claim_result Result;
  try {
    Result = State->claim(Order, SentAt);
  } catch (const spindle_error &Error) {
    const bool Unrecorded = Error.code() == result_code::OrderStoreUnavailable;
    if (Unrecorded && Order.ServiceDeduplicates)
      return Dispatch();
    throw;
  }
  if (!Result.Claim)
    return State->respondToRepeat(Result);
  if (!mayDispatch(SentAt, State->Settings.DispatchWindow,
                   State->Clock.now())) {
    logEvent(log_event::OrderDispatchTooLate, {});
    confirmed_claim Claim = *std::move(Result.Claim);
    Claim.Record.State = order_state::Released;
    State->recordOutcome(std::move(Claim));
    throw spindle_error(
        result_code::DeadlineUnreachable,
        "claiming the order took longer than the dispatch window");
  }
  return State->dispatch(*Result.Claim, Dispatch);
}

/// Claims an order key. \throws spindle_error OrderStoreUnavailable if the
/// claim cannot be confirmed; the order is then never dispatched.
claim_result order_executor::state::claim(const order_request &Order,
                                          time_point SentAt) {
  const order_attempt Attempt{NoncePrefix + std::to_string(NextNonce++),
                              Order.BodyDigest};
  confirmed_claim NewClaim{
      orderObjectName(Order.Customer, Order.Route, Order.OrderKey), 0,
      makeClaimRecord(Attempt, Order.CallTimeout, Settings.DispatchWindow,
                      Clock.wallNow())};
  std::optional<std::uint64_t> OldVersion;
  while (Clock.now() < SentAt + Settings.ClaimTimeout) {
    bool Decided = false;
    claim_result Result = tryClaim(NewClaim, OldVersion, Decided);
    if (Decided)
      return Result;
    Settings.Sleep(Settings.RetryDelay);
  }
  abandon(NewClaim);
  throw spindle_error(result_code::OrderStoreUnavailable,
                      "the platform did not confirm the order's claim");
}

/// Makes one attempt to claim: writes the claim and, if the write is not
/// confirmed, reads back whose claim the record holds. \p OldVersion is the
/// version of the record to replace, if any. \p Decided is set if no further
/// attempt is needed.
claim_result
order_executor::state::tryClaim(confirmed_claim &NewClaim,
                                std::optional<std::uint64_t> &OldVersion,
                                bool &Decided) {
  claim_result Result;
  Decided = Records.tryWrite(NewClaim, OldVersion) == write_result::Written;
  if (Decided) {
    Result.Claim = NewClaim;
    return Result;
  }
  bool Answered = false;
  const std::optional<platform_object> Object =
      Records.tryRead(NewClaim.Name, Answered);
  if (!Answered)
    return Result;
  OldVersion.reset();
  if (!Object)
    return Result;
  Result.Stored = parseOrderRecord(Object->Body);
  const order_attempt Attempt{NewClaim.Record.Nonce,
                              NewClaim.Record.BodyDigest};
  Result.Finding =
      evaluateRecord(Result.Stored, Attempt, isAbandoned(Result.Stored.Nonce),
                     Clock.wallNow());
  if (Result.Finding == claim_status::Claimable) {
    OldVersion = Object->Version;
    return Result;
  }
  Decided = true;
  if (Result.Finding == claim_status::OwnClaim) {
    NewClaim.Version = Object->Version;
    Result.Claim = NewClaim;
  }
  return Result;
}

/// Dispatches a claimed order once and records its outcome.
http_response order_executor::state::dispatch(
    const confirmed_claim &Claim,
    const std::function<http_response()> &Dispatch) {
  confirmed_claim Outcome = Claim;
  http_response Response;
  std::exception_ptr Failure;
  try {
    Response = Dispatch();
    Outcome.Record =
        makeDoneRecord(Claim.Record, Response, Settings.ResponseLimitBytes);
  } catch (const spindle_error &Error) {
    const bool CertainlyNotRun = Error.state() == run_state::NotRun;
    Outcome.Record.State =
        CertainlyNotRun ? order_state::Released : order_state::Unknown;
    Failure = std::current_exception();
  } catch (const std::exception &) {
    Outcome.Record.State = order_state::Unknown;
    Failure = std::current_exception();
  }
  recordOutcome(std::move(Outcome));
  if (Failure)
    std::rethrow_exception(Failure);
  return Response;
}

/// Answers a repeated order from its record, with the stored response or an
/// error.
http_response
order_executor::state::respondToRepeat(const claim_result &Result) {
  const auto Fail = [](result_code Code) {
    return spindle_error(Code, std::string(describe(Code).Meaning));
  };
  switch (Result.Finding) {
  case claim_status::Replay:
    break;
  case claim_status::ResponseNotStored:
    throw Fail(result_code::OrderAnswerNotKept);
  case claim_status::KeyMismatch:
    throw Fail(result_code::OrderKeyMismatch);
  case claim_status::InProgress: {
    const milliseconds Left(Result.Stored.InProgressUntil.Milliseconds -
                            Clock.wallNow().Milliseconds);
    throw retry_after_error(
        result_code::OrderInProgress,
        std::string(describe(result_code::OrderInProgress).Meaning),
        std::clamp(Left, milliseconds(0), MaxRetryAfter));
  }
  default:
    throw Fail(result_code::OrderOutcomeUnknown);
  }
  http_response Response = Result.Stored.Response;
  Response.Head.Fields.push_back({"Idempotency-Replayed", "true"});
  return Response;
}

/// Records that an attempt ended without dispatching, so that its claim can be
/// released if it was written after all.
void order_executor::state::abandon(const confirmed_claim &Claim) {
  logEvent(log_event::OrderClaimAbandoned, {{"order", Claim.Name}});
  const lock Lock(Mutex);
  Abandoned[Claim.Record.Nonce] = {
      Claim.Name, Clock.now() + Settings.AbandonedClaimTimeout};
}

bool order_executor::state::isAbandoned(const std::string &Nonce) const {
  const lock Lock(Mutex);
  return Abandoned.contains(Nonce);
}

/// Tries to write an outcome once, and leaves it to sweep() if that fails. The
/// caller of the order does not wait for the retries, because the claim, not
/// the outcome, protects against a second run.
void order_executor::state::recordOutcome(confirmed_claim Claim) {
  if (!Records.writeOutcome(Claim))
    Unwritten.add(std::move(Claim));
}

void order_executor::state::releaseAbandoned() {
  std::map<std::string, abandoned_claim> Waiting;
  {
    const lock Lock(Mutex);
    Waiting = Abandoned;
  }
  std::size_t Count = 0;
  for (const auto &[Nonce, Claim] : Waiting) {
    if (++Count > Settings.WritesPerSweep)
      return;
    if (!Records.releaseClaim(Nonce, Claim.Name) &&
        Clock.now() < Claim.ExpiresAt)
      continue;
    const lock Lock(Mutex);
    Abandoned.erase(Nonce);
  }
}

void order_executor::sweep() {
  State->Unwritten.retry();
  State->releaseAbandoned();
  try {
    State->Expired.list();
  } catch (const spindle_error &) {
    return;
  }
  State->Expired.remove();
}

std::size_t order_executor::unwrittenOutcomes() const {
  return State->Unwritten.size();
}

} // namespace spindle
