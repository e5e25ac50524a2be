#include "LibHost/order_executor.h"

#include "LibCore/result_code.h"
#include "LibCore/retry_after_error.h"
#include "LibLog/log.h"
#include "LibRuntime/fiber_runtime.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <exception>
#include <map>
#include <mutex>
#include <optional>

namespace spindle {

using lock = std::lock_guard<std::mutex>;

static constexpr milliseconds MaxRetryAfter{1'000};

namespace {

/// A claim confirmed to belong to this attempt.
struct confirmed_claim {
  std::string Name;
  std::uint64_t Version = 0;
  order_record Record;
};

/// Either a confirmed claim, or the record found under the key and its status.
struct claim_result {
  std::optional<confirmed_claim> Claim;
  claim_status Finding = claim_status::OwnClaim;
  order_record Stored;
};

/// The result of one write to the platform.
enum class write_result { Written, Conflict, NoResponse };

} // namespace

struct order_executor::state {
  state(const runtime_clock &RuntimeClock, platform_port Port,
        std::string Prefix, order_executor_settings NewSettings)
      : Clock(RuntimeClock), Platform(std::move(Port)),
        NoncePrefix(std::move(Prefix)), Settings(std::move(NewSettings)) {}

  const runtime_clock &Clock;
  platform_port Platform;
  std::string NoncePrefix;
  order_executor_settings Settings;
  std::atomic<std::uint64_t> NextNonce{1};

  mutable std::mutex Mutex;
  /// Outcomes that could not be written yet, oldest first.
  std::deque<confirmed_claim> Unwritten;
  std::size_t UnwrittenBytes = 0;
  /// Attempts, by nonce, that ended without dispatching although their claim
  /// may have been written.
  struct abandoned_claim {
    std::string Name;
    time_point ExpiresAt;
  };
  std::map<std::string, abandoned_claim> Abandoned;
  std::deque<record_age> Expired;
  std::optional<time_point> NextListing;

  claim_result claim(const order_request &Order, time_point SentAt);
  claim_result tryClaim(confirmed_claim &NewClaim,
                        std::optional<std::uint64_t> &Old, bool &Decided);
  write_result tryWrite(confirmed_claim &Claim,
                        const std::optional<std::uint64_t> &OldVersion);
  std::optional<platform_object> tryRead(std::string_view Name, bool &Answered);
  http_response dispatch(const confirmed_claim &Claim,
                         const std::function<http_response()> &Dispatch);
  http_response respondToRepeat(const claim_result &Result);
  void abandon(const confirmed_claim &Claim);
  bool isAbandoned(const std::string &Nonce) const;
  void recordOutcome(confirmed_claim Claim);
  bool writeOutcome(confirmed_claim &Claim);
  void queueUnwritten(confirmed_claim Claim);
  void writeUnwrittenOutcomes();
  void releaseAbandoned();
  bool resolveAbandoned(const std::string &Nonce, const std::string &Name);
  void listExpired();
  void deleteExpired();
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
  Decided = tryWrite(NewClaim, OldVersion) == write_result::Written;
  if (Decided) {
    Result.Claim = NewClaim;
    return Result;
  }
  bool Answered = false;
  const std::optional<platform_object> Object =
      tryRead(NewClaim.Name, Answered);
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

/// Creates the record, or replaces it if it still has \p OldVersion.
write_result order_executor::state::tryWrite(
    confirmed_claim &Claim, const std::optional<std::uint64_t> &OldVersion) {
  const std::string Body = toJson(Claim.Record);
  try {
    Claim.Version =
        OldVersion ? Platform.Update(platform_kind::Orders, Claim.Name,
                                     *OldVersion, Body)
                   : Platform.Create(platform_kind::Orders, Claim.Name, Body);
    return write_result::Written;
  } catch (const spindle_error &Error) {
    const bool Conflict = Error.code() == result_code::PlatformConflict ||
                          Error.code() == result_code::PlatformNotFound;
    return Conflict ? write_result::Conflict : write_result::NoResponse;
  }
}

std::optional<platform_object>
order_executor::state::tryRead(std::string_view Name, bool &Answered) {
  try {
    std::optional<platform_object> Object =
        Platform.Get(platform_kind::Orders, Name);
    Answered = true;
    return Object;
  } catch (const spindle_error &) {
    Answered = false;
    return std::nullopt;
  }
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
  if (!writeOutcome(Claim))
    queueUnwritten(std::move(Claim));
}

/// Tries to write an outcome. Returns false if the write must be retried.
bool order_executor::state::writeOutcome(confirmed_claim &Claim) {
  const write_result Result = tryWrite(Claim, Claim.Version);
  if (Result == write_result::Written)
    return true;
  bool Answered = false;
  const std::optional<platform_object> Object = tryRead(Claim.Name, Answered);
  if (!Answered)
    return false;
  if (!Object)
    return true;
  const order_record Stored = parseOrderRecord(Object->Body);
  const bool StillClaimed = Stored.Nonce == Claim.Record.Nonce &&
                            Stored.State == order_state::Claimed;
  Claim.Version = Object->Version;
  return !StillClaimed;
}

void order_executor::state::queueUnwritten(confirmed_claim Claim) {
  logEvent(log_event::OrderOutcomeWaits, {{"order", Claim.Name}});
  const lock Lock(Mutex);
  UnwrittenBytes += Claim.Record.Response.Body.size();
  if (UnwrittenBytes > Settings.UnwrittenLimitBytes) {
    UnwrittenBytes -= Claim.Record.Response.Body.size();
    Claim.Record.ResponseStored = false;
    Claim.Record.Response = {};
  }
  Unwritten.push_back(std::move(Claim));
}

void order_executor::state::writeUnwrittenOutcomes() {
  for (std::size_t Count = 0; Count < Settings.WritesPerSweep; ++Count) {
    confirmed_claim Claim;
    {
      const lock Lock(Mutex);
      if (Unwritten.empty())
        return;
      Claim = Unwritten.front();
    }
    // The outcome stays in the queue during the write, so that a planned stop
    // waits for it.
    const bool Written = writeOutcome(Claim);
    const lock Lock(Mutex);
    if (!Written) {
      Unwritten.front().Version = Claim.Version;
      return;
    }
    UnwrittenBytes -= Unwritten.front().Record.Response.Body.size();
    Unwritten.pop_front();
  }
}

/// Releases a claim that was not followed by a dispatch. Returns false if the
/// claim must be checked again: a missing record may still be written by a
/// delayed request.
bool order_executor::state::resolveAbandoned(const std::string &Nonce,
                                             const std::string &Name) {
  bool Answered = false;
  const std::optional<platform_object> Object = tryRead(Name, Answered);
  if (!Answered || !Object)
    return false;
  confirmed_claim Claim{Name, Object->Version, parseOrderRecord(Object->Body)};
  if (Claim.Record.Nonce != Nonce)
    return true;
  if (Claim.Record.State != order_state::Claimed)
    return true;
  Claim.Record.State = order_state::Released;
  return writeOutcome(Claim);
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
    if (!resolveAbandoned(Nonce, Claim.Name) && Clock.now() < Claim.ExpiresAt)
      continue;
    const lock Lock(Mutex);
    Abandoned.erase(Nonce);
  }
}

/// Lists the records past their retention, once per SweepInterval.
void order_executor::state::listExpired() {
  const time_point Now = Clock.now();
  if (!NextListing)
    NextListing = Now + Settings.SweepInterval;
  if (Now < *NextListing || !Expired.empty())
    return;
  NextListing = Now + Settings.SweepInterval;
  std::vector<record_age> Ages;
  for (const platform_object &Object :
       Platform.List(platform_kind::Orders).Objects)
    Ages.push_back(
        {Object.Name, Object.Version, parseOrderRecord(Object.Body).ClaimedAt});
  const std::vector<record_age> Old =
      expiredRecords(Ages, Settings.Retention, Clock.wallNow());
  Expired.assign(Old.begin(), Old.end());
}

void order_executor::state::deleteExpired() {
  for (std::size_t Count = 0;
       Count < Settings.DeletionsPerSweep && !Expired.empty(); ++Count) {
    const record_age Record = Expired.front();
    Expired.pop_front();
    try {
      Platform.Remove(platform_kind::Orders, Record.Name, Record.Version);
    } catch (const spindle_error &) {
      // Either the record has changed, or a later listing finds it again.
    }
  }
}

void order_executor::sweep() {
  State->writeUnwrittenOutcomes();
  State->releaseAbandoned();
  try {
    State->listExpired();
  } catch (const spindle_error &) {
    return;
  }
  State->deleteExpired();
}

std::size_t order_executor::unwrittenOutcomes() const {
  const lock Lock(State->Mutex);
  return State->Unwritten.size();
}

} // namespace spindle
