#include "LibGateway/request_costs.h"

#include "LibGateway/forwarded_request.h"

namespace spindle {

cost_features costFeatures(const forwarded_request &Request) {
  const request_description &Description = Request.Description;
  cost_features Features;
  Features.Service = Request.Service.Name;
  Features.Route = Request.Route.Name;
  if (Request.Customer)
    Features.Customer = Request.Customer->Name;
  Features.Adapter = Description.Adapter;
  Features.PromptTokens = Description.PromptTokens;
  Features.OutputHint = Description.OutputHint;
  Features.MaxOutputTokens = Description.MaxOutputTokens;
  return Features;
}

request_cost request_costs::estimate(const cost_features &Features) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return estimateCost(Model, Features, Clock.now());
}

std::optional<milliseconds>
request_costs::plainTime(const cost_features &Features) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return plainMilliseconds(Model, Features, Clock.now());
}

void request_costs::noteOutput(const cost_features &Features,
                               std::int64_t OutputTokens) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  spindle::noteOutput(Model, Features, OutputTokens, Clock.now());
}

void request_costs::notePlain(const cost_features &Features,
                              time_point SentAt) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const time_point Now = Clock.now();
  spindle::notePlain(Model, Features, Now - SentAt, Now);
}

} // namespace spindle
