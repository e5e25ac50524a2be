#include "LibResilience/retry_budget.h"
#include "LibResilience/retry_decision.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace spindle;

TEST_CASE("a retry budget is never exceeded") {
  rc::prop("any history of calls, retries and time", [] {
    retry_budget Budget;
    Budget.Settings.RetryPercent = *rc::gen::inRange(0, 50);
    const time_point Start{seconds(1)};
    time_point Now = Start;
    double Calls = 0;
    double Retries = 0;
    for (int Step = 0; Step < 300; ++Step) {
      const int Action = *rc::gen::inRange(0, 3);
      if (Action == 0)
        Now += milliseconds(*rc::gen::inRange(0, 5'000));
      else if (Action == 1) {
        earnRetry(Budget, Now);
        ++Calls;
      } else if (spendRetry(Budget, Now))
        ++Retries;
      const std::chrono::duration<double> Passed = Now - Start;
      RC_ASSERT(Retries <=
                Budget.Settings.Floor +
                    Budget.Settings.RefillPerSecond * Passed.count() +
                    Budget.Settings.RetryPercent / 100.0 * Calls + 1e-6);
    }
  });
}

TEST_CASE("an exhausted budget refills with time") {
  retry_budget Budget;
  time_point Now{seconds(1)};
  while (spendRetry(Budget, Now)) {
  }
  Now += seconds(11);
  CHECK(spendRetry(Budget, Now));
}

TEST_CASE("retry decisions and run states match what was sent") {
  rc::prop("any sequence of failed attempts", [] {
    call_progress Progress;
    Progress.Idempotent = *rc::gen::arbitrary<bool>();
    Progress.Resumable = *rc::gen::arbitrary<bool>();
    bool AnySent = false;
    bool Started = false;
    int Lost = 0;
    for (int Attempt = 1;; ++Attempt) {
      const attempt_failure Failure = *rc::gen::element(
          attempt_failure::NotConnected, attempt_failure::Refused,
          attempt_failure::Errored, attempt_failure::ConnectionLost,
          attempt_failure::TimedOut);
      const bool Sent = Failure == attempt_failure::ConnectionLost ||
                        Failure == attempt_failure::TimedOut ||
                        Failure == attempt_failure::Errored;
      Started = Started || (Sent && *rc::gen::arbitrary<bool>());
      AnySent = AnySent || Sent;
      Lost += Failure == attempt_failure::ConnectionLost ? 1 : 0;
      noteFailedAttempt(Progress, Failure, Started);
      const retry_conditions Conditions{*rc::gen::arbitrary<bool>(),
                                        *rc::gen::arbitrary<bool>()};
      const retry_decision Decision =
          decideRetry(Progress, Failure, Conditions);
      RC_ASSERT((Decision.State == run_state::NotRun) == !AnySent);
      RC_ASSERT((Decision.State == run_state::RunAnswerLost) == Started);
      if (Decision.Action == retry_action::GiveUp)
        break;
      RC_ASSERT(Conditions.HasBudget && Conditions.HasTime);
      RC_ASSERT(Progress.Idempotent || !AnySent);
      RC_ASSERT(Lost < 2);
      RC_ASSERT(Attempt < 3);
      RC_ASSERT((Decision.Action == retry_action::Resume) == Started);
      RC_ASSERT(!Started || Progress.Resumable);
    }
  });
}

TEST_CASE("calls that may be retried are retried") {
  call_progress Progress;
  Progress.Idempotent = true;
  noteFailedAttempt(Progress, attempt_failure::ConnectionLost, false);
  CHECK(decideRetry(Progress, attempt_failure::ConnectionLost, {true, true})
            .Action == retry_action::Retry);
  CHECK(decideRetry(Progress, attempt_failure::ConnectionLost, {false, true})
            .Code == result_code::RetryBudgetExhausted);
  call_progress Order;
  noteFailedAttempt(Order, attempt_failure::NotConnected, false);
  CHECK(
      decideRetry(Order, attempt_failure::NotConnected, {true, true}).Action ==
      retry_action::Retry);
}
