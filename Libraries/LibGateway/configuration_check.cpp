#include "LibGateway/configuration_check.h"

#include "LibGateway/configuration_difference.h"
#include "LibHTTP/http_message.h"

#include <algorithm>
#include <set>

namespace spindle {

namespace {

using field = configuration_field;

/// Collects the findings of one entry after the other.
struct finding_list {
  void error(field Field, std::string Message) {
    Findings.push_back(
        {finding_severity::Error, Place, Field, std::move(Message)});
  }
  void warn(field Field, std::string Message) {
    Findings.push_back(
        {finding_severity::Warning, Place, Field, std::move(Message)});
  }

  configuration_place Place;
  std::vector<configuration_finding> Findings;
};

/// Logs name routes; requests are not matched by name.
void checkRouteName(finding_list &List, const std::string &Name,
                    std::set<std::string> &Names) {
  if (Name.empty())
    List.warn(field::Name, "the name is empty");
  else if (!Names.insert(Name).second)
    List.warn(field::Name, "an earlier route has the same name");
}

/// Quotas are kept by the customer's name.
void checkCustomerName(finding_list &List, const std::string &Name,
                       std::set<std::string> &Names) {
  if (Name.empty())
    List.error(field::Name, "the name is empty");
  else if (!Names.insert(Name).second)
    List.error(field::Name, "an earlier customer has the same name, and both "
                            "share one quota");
}

bool hasPrefixForm(std::string_view Prefix) {
  return Prefix.starts_with('/') && Prefix.ends_with('/') &&
         pathOf(Prefix) == Prefix;
}

/// Looks up the shortest path of the route: any other route that gets it has
/// the same host and prefix, and gets the longer paths too.
void checkMatch(finding_list &List, const gateway_configuration &Configuration,
                const gateway_route &Route) {
  if (Route.Host.empty() || Route.Host.find(':') != std::string::npos) {
    List.error(field::Host, "no request matches: the host must be a name "
                            "without a port");
    return;
  }
  if (!hasPrefixForm(Route.PathPrefix)) {
    List.error(field::PathPrefix,
               "the prefix must begin and end with a slash, without a query");
    return;
  }
  const gateway_route *const Found =
      findRoute(Configuration, Route.Host, Route.PathPrefix);
  if (Found != &Route)
    List.error(field::PathPrefix,
               "no request matches: route \"" + (Found ? Found->Name : "") +
                   "\" has the same host and prefix, and is first");
}

void checkTargets(finding_list &List,
                  const gateway_configuration &Configuration,
                  const gateway_route &Route) {
  if (!chooseService(Configuration, Route, 0))
    List.error(field::Service,
               "the route has no configured service with a weight above 0");
  for (const weighted_service &Target : Route.Services) {
    const std::string Name = "\"" + Target.Service + "\"";
    if (Configuration.Services.count(Target.Service) == 0)
      List.error(field::Service, "service " + Name + " is not configured");
    if (Target.Weight < 0)
      List.error(field::Weight, "the weight of " + Name + " is negative");
    else if (Target.Weight == 0)
      List.warn(field::Weight,
                "service " + Name + " gets no request: its weight is 0");
  }
}

void checkTimes(finding_list &List, const gateway_route &Route) {
  const bool IsLimited = Route.Timeout.count() > 0;
  if (IsLimited && Route.Objective > Route.Timeout)
    List.error(field::Objective, "the objective is above the timeout");
  if (IsLimited && Route.GapObjective > Route.Timeout)
    List.error(field::GapObjective,
               "the longest pause between events is above the timeout");
  if (Route.Kind == call_kind::Stream)
    return;
  if (Route.GapObjective.count() > 0)
    List.warn(field::GapObjective, "has no effect: the route is not a stream");
  if (Route.Resumable)
    List.warn(field::Resumable, "has no effect: the route is not a stream");
}

void checkRoute(finding_list &List, const gateway_configuration &Configuration,
                const gateway_route &Route) {
  checkMatch(List, Configuration, Route);
  checkTargets(List, Configuration, Route);
  checkTimes(List, Route);
  if (Route.Attempts > 1 && !Route.retryable())
    List.warn(field::Attempts,
              "requests of this kind are sent again only if the upstream did "
              "not run them");
}

void checkRoutes(finding_list &List,
                 const gateway_configuration &Configuration) {
  std::set<std::string> Names;
  for (std::size_t Index = 0; Index < Configuration.Routes.size(); ++Index) {
    const gateway_route &Route = Configuration.Routes[Index];
    List.Place = {configuration_list::Routes, Index, Route.Name};
    checkRouteName(List, Route.Name, Names);
    checkRoute(List, Configuration, Route);
  }
}

void checkEngine(finding_list &List, const engine_capacity &Engine) {
  for (const base_model &Model : Engine.Models)
    if (Engine.Megabytes > 0 && Model.Megabytes > Engine.Megabytes)
      List.error(field::Megabytes,
                 "model \"" + Model.Name + "\" does not fit in an engine");
  const bool HasAdapters = std::any_of(
      Engine.Models.begin(), Engine.Models.end(),
      [](const base_model &Model) { return Model.AdapterMegabytes > 0; });
  if (HasAdapters && adapterSlotCount(Engine) == 0)
    List.error(field::AdapterSlots,
               "no adapter fits in an engine beside the largest model");
}

bool isUsed(const gateway_configuration &Configuration,
            std::string_view Service) {
  for (const gateway_route &Route : Configuration.Routes)
    for (const weighted_service &Target : Route.Services)
      if (Target.Service == Service)
        return true;
  return false;
}

void checkServices(finding_list &List,
                   const gateway_configuration &Configuration) {
  std::size_t Index = 0;
  for (const auto &[Name, Service] : Configuration.Services) {
    List.Place = {configuration_list::Services, Index++, Name};
    if (Name.empty())
      List.error(field::Name, "the name is empty");
    if (!isUsed(Configuration, Name))
      List.warn(field::Name, "no route names the service");
    if (Service.Engine)
      checkEngine(List, *Service.Engine);
  }
}

void checkKeys(finding_list &List, const gateway_configuration &Configuration,
               const gateway_customer &Customer) {
  if (Customer.Keys.empty())
    List.error(field::Keys, "the customer has no key: no request is its own");
  for (std::size_t Index = 0; Index < Customer.Keys.size(); ++Index) {
    const std::string Position = "key " + std::to_string(Index);
    const gateway_customer *const Owner =
        findCustomer(Configuration, Customer.Keys[Index]);
    if (Customer.Keys[Index].empty())
      List.error(field::Keys,
                 Position + " is empty: it admits requests without a key");
    if (Owner && Owner != &Customer)
      List.error(field::Keys, Position + " belongs to customer \"" +
                                  Owner->Name + "\", which is first");
  }
}

/// As in customer_quota, a burst is at least the rate of one second.
void checkQuota(finding_list &List, const gateway_customer &Customer) {
  if (Customer.RatePerSecond < 0)
    List.error(field::Rate, "the rate is negative");
  if (Customer.RatePerSecond <= 0) {
    if (Customer.Burst > 0)
      List.warn(field::Burst, "has no effect: the customer has no rate");
    return;
  }
  const double OneRequest =
      Customer.CountsTokens ? static_cast<double>(Customer.DefaultTokens) : 1;
  if (std::max(Customer.Burst, Customer.RatePerSecond) < OneRequest)
    List.warn(field::Burst,
              "the burst is below one request, which then waits for all of it");
}

void checkCustomers(finding_list &List,
                    const gateway_configuration &Configuration) {
  std::set<std::string> Names;
  for (std::size_t Index = 0; Index < Configuration.Customers.size(); ++Index) {
    const gateway_customer &Customer = Configuration.Customers[Index];
    List.Place = {configuration_list::Customers, Index, Customer.Name};
    checkCustomerName(List, Customer.Name, Names);
    checkKeys(List, Configuration, Customer);
    checkQuota(List, Customer);
  }
}

} // namespace

std::vector<configuration_finding>
checkConfiguration(const gateway_configuration &Configuration) {
  finding_list List;
  if (Configuration.Routes.empty())
    List.error(field::None, "there is no route: every request is refused");
  checkRoutes(List, Configuration);
  checkServices(List, Configuration);
  checkCustomers(List, Configuration);
  return std::move(List.Findings);
}

std::vector<configuration_finding>
checkSuccession(const gateway_configuration &InForce,
                const gateway_configuration &Next) {
  finding_list List;
  if (Next.Version <= InForce.Version &&
      !compareConfigurations(InForce, Next).empty())
    List.error(field::Version, "hosts ignore it: version " +
                                   std::to_string(InForce.Version) +
                                   " is in force");
  return std::move(List.Findings);
}

} // namespace spindle
