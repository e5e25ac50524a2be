#include "LibHost/model_pin.h"

namespace spindle {

/// The weight of a priority class when pending loads are prioritized.
static double loadWeightOf(priority_class Priority) {
  switch (Priority) {
  case priority_class::Rush:
    return 4;
  case priority_class::Chat:
    return 2;
  case priority_class::Plain:
    return 1;
  case priority_class::Batch:
    return 0.5;
  }
  return 1;
}

/// Adds the engines that were recently lost to those that are avoided. Returns
/// whether any was added.
static bool avoidLostEngines(const request_context &Context,
                             const model_run &Run, pin_request &PinRequest) {
  const std::span<const upstream_declaration *const> Engines =
      Context.Snapshot->enginesOfModel(Run.Adapter.Model);
  for (const upstream_declaration *const Engine : Engines) {
    const upstream_id Id = upstream_id::ofName(Engine->Name);
    if (Context.Services.Health.isLost(Id))
      PinRequest.Avoid.push_back(Id);
  }
  return PinRequest.Avoid.size() > Run.Avoid.size();
}

pin_lease acquireModelPin(request_context &Context, const model_run &Run) {
  pin_request PinRequest;
  PinRequest.Adapter = Run.Adapter.Id;
  PinRequest.AdapterName = Run.AdapterName;
  PinRequest.Model = std::string(Run.Adapter.Model);
  PinRequest.PrefixHash = Run.Request.PrefixHash;
  PinRequest.Prompt = Run.Request.PromptTokens;
  PinRequest.Deadline = Run.Deadline;
  PinRequest.Avoid = Run.Avoid;
  const customer_declaration *const Customer =
      Context.Snapshot->findCustomer(Context.Caller.Customer);
  const load_fairness::load_waiter Waiting =
      Context.Services.LoadFairness.addWaiter(Context.Caller.Customer,
                                              Customer ? Customer->Weight : 1);
  PinRequest.Weight = Waiting.Weight * loadWeightOf(Run.Priority);
  if (!avoidLostEngines(Context, Run, PinRequest))
    return Context.Services.Residency.acquire(PinRequest);
  try {
    return Context.Services.Residency.acquire(PinRequest);
  } catch (const spindle_error &Error) {
    if (Error.code() != result_code::NoUpstream)
      throw;
  }
  PinRequest.Avoid = Run.Avoid;
  return Context.Services.Residency.acquire(PinRequest);
}

} // namespace spindle
