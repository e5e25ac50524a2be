#include "LibHost/request_context.h"

namespace spindle {

void throwIfCancelled(const request_context &Context) {
  const std::optional<result_code> Reason = Context.Cancellation->reason();
  if (!Reason)
    return;
  throw spindle_error(*Reason, *Reason == result_code::KeyWithdrawn
                                   ? "the key was withdrawn"
                                   : "the caller has closed the connection");
}

std::optional<retry_decision> endAfterFailure(const request_context &Context,
                                              call_progress &Progress,
                                              attempt_failure Failure,
                                              time_point Deadline) {
  const bool ResponseStarted = Context.Exchange.started();
  noteFailedAttempt(Progress, Failure, ResponseStarted);
  const retry_decision Decision = Context.Services.Health.mayRetry(
      Context.Caller.Customer, Progress, Failure, Deadline);
  if (Decision.Action == retry_action::Retry && !ResponseStarted)
    return std::nullopt;
  return Decision;
}

rate_charge::rate_charge(rate_limiter &Limiter, customer_id Customer,
                         tokens Estimate, time_point Deadline)
    : Limiter(Limiter),
      Reservation(Limiter.reserve(Customer, Estimate, Deadline)) {}

rate_charge::~rate_charge() {
  if (!Settled)
    settle(Started ? Reservation.Reserved : tokens{0});
}

void rate_charge::settle(tokens Used) {
  Settled = true;
  Limiter.settle(std::move(Reservation), Used);
}

} // namespace spindle
