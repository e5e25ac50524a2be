#include "LibGateway/gateway_configuration.h"

#include <algorithm>
#include <cctype>

namespace spindle {

static std::string_view withoutPort(std::string_view Host) {
  const std::size_t Colon = Host.rfind(':');
  return Colon == std::string_view::npos ? Host : Host.substr(0, Colon);
}

static bool sameHost(std::string_view Left, std::string_view Right) {
  const auto SameLetter = [](char First, char Second) {
    return std::tolower(static_cast<unsigned char>(First)) ==
           std::tolower(static_cast<unsigned char>(Second));
  };
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    SameLetter);
}

void indexKeys(gateway_configuration &Configuration) {
  Configuration.CustomersByKey.clear();
  for (std::size_t Index = 0; Index < Configuration.Customers.size(); ++Index)
    for (const std::string &Key : Configuration.Customers[Index].Keys)
      Configuration.CustomersByKey.emplace(Key, Index);
}

const gateway_route *findRoute(const gateway_configuration &Configuration,
                               std::string_view Host, std::string_view Path) {
  const std::string_view Name = withoutPort(Host);
  const gateway_route *Best = nullptr;
  for (const gateway_route &Route : Configuration.Routes) {
    const bool IsLonger =
        !Best || Route.PathPrefix.size() > Best->PathPrefix.size();
    if (IsLonger && Path.starts_with(Route.PathPrefix) &&
        sameHost(Route.Host, Name))
      Best = &Route;
  }
  return Best;
}

const gateway_customer *findCustomer(const gateway_configuration &Configuration,
                                     std::string_view Key) {
  const auto Found = Configuration.CustomersByKey.find(std::string(Key));
  if (Found == Configuration.CustomersByKey.end())
    return nullptr;
  return &Configuration.Customers[Found->second];
}

std::size_t adapterSlotCount(const engine_capacity &Engine) {
  double Slots = Engine.AdapterSlots;
  for (const base_model &Model : Engine.Models)
    if (Model.AdapterMegabytes > 0 && Engine.Megabytes > 0)
      Slots = std::min(Slots, (Engine.Megabytes - Model.Megabytes) /
                                  Model.AdapterMegabytes);
  return static_cast<std::size_t>(std::max(0.0, Slots));
}

const gateway_service *chooseService(const gateway_configuration &Configuration,
                                     const gateway_route &Route, double Draw) {
  double TotalWeight = 0;
  for (const weighted_service &Candidate : Route.Services)
    TotalWeight += Candidate.Weight;
  const gateway_service *Last = nullptr;
  double CumulativeWeight = 0;
  for (const weighted_service &Candidate : Route.Services) {
    const auto Found = Configuration.Services.find(Candidate.Service);
    CumulativeWeight += Candidate.Weight;
    if (Found == Configuration.Services.end() || Candidate.Weight <= 0)
      continue;
    Last = &Found->second;
    if (Draw * TotalWeight < CumulativeWeight)
      return Last;
  }
  return Last;
}

} // namespace spindle
