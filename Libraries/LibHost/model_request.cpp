#include "LibHost/model_request.h"

#include <algorithm>

namespace spindle {

static adapter_view findAdapter(const request_context &Context,
                                std::string_view Model) {
  const std::optional<adapter_view> Adapter =
      Context.Snapshot->findAdapter(Model);
  const bool Allowed =
      Adapter &&
      (!Adapter->Customer || Adapter->Customer == Context.Caller.Customer);
  if (!Allowed)
    throw spindle_error(result_code::UnknownModel,
                        "no adapter \"" + std::string(Model) +
                            "\" is declared for this key's customer");
  return *Adapter;
}

static priority_class allowedPriority(const request_context &Context,
                                      std::optional<priority_class> Wanted) {
  const customer_declaration *const Customer =
      Context.Snapshot->findCustomer(Context.Caller.Customer);
  const priority_class Highest =
      Customer ? Customer->HighestPriority : priority_class::Plain;
  if (!Wanted)
    return std::max(Highest, priority_class::Plain);
  if (*Wanted < Highest)
    throw spindle_error(result_code::PriorityNotAllowed,
                        "field \"priority\": the customer may not use this "
                        "priority class");
  return *Wanted;
}

model_run prepareModelRun(request_context &Context,
                          completion_endpoint Endpoint) {
  const std::string Body =
      Context.Exchange.readBody(Context.Route.BodyLimitBytes);
  rejectKeyInBody(Body, Context.Caller.Key);
  model_run Run;
  Run.Request = parseCompletionRequest(Endpoint, Body);
  Run.Adapter = findAdapter(Context, Run.Request.Model);
  Run.AdapterName =
      std::string(Run.Adapter.Name) + "@" + std::string(Run.Adapter.Version);
  Run.MaxTokens = Run.Request.MaxTokens.value_or(DefaultMaxTokens);
  Run.Priority = allowedPriority(Context, Run.Request.Priority);
  Run.Fingerprint = fingerprintOf(Context.Caller.Customer, Run.AdapterName,
                                  std::to_string(Run.Request.Fingerprint));
  Run.Estimate = Run.Request.PromptTokens + tokens{Run.MaxTokens};
  Run.Deadline = Context.Services.Queue.deadlineFor(Run.Priority);
  Run.Progress.Idempotent = true;
  return Run;
}

} // namespace spindle
