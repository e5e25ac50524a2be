#include "LibGateway/configuration_difference.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace spindle {

namespace {

using field = configuration_field;
using field_values = std::map<field, std::string>;
using entry_key = std::pair<configuration_list, std::string>;

struct entry {
  field_values Values;
  /// Not shown.
  std::set<std::string> Keys;
};

using entry_map = std::map<entry_key, entry>;

std::string textOf(double Value) {
  std::ostringstream Text;
  Text.precision(15);
  Text << Value;
  return Text.str();
}

std::string textOf(milliseconds Value) { return std::to_string(Value.count()); }

std::string textOf(bool Value) { return Value ? "true" : "false"; }

std::string textOf(call_kind Kind) {
  switch (Kind) {
  case call_kind::Idempotent:
    return "idempotent";
  case call_kind::AtMostOnce:
    return "at most once";
  case call_kind::Stream:
    return "stream";
  }
  return "";
}

std::string textOf(const std::vector<weighted_service> &Services) {
  std::string Text;
  for (const weighted_service &Service : Services)
    Text += (Text.empty() ? "" : ", ") + Service.Service + " " +
            textOf(Service.Weight);
  return Text;
}

std::string textOf(const std::vector<base_model> &Models) {
  std::string Text;
  for (const base_model &Model : Models)
    Text += (Text.empty() ? "" : ", ") + Model.Name + " " +
            textOf(Model.Megabytes) + "+" + textOf(Model.AdapterMegabytes);
  return Text;
}

field_values valuesOf(const gateway_route &Route) {
  return {{field::Host, Route.Host},
          {field::PathPrefix, Route.PathPrefix},
          {field::Kind, textOf(Route.Kind)},
          {field::Timeout, textOf(Route.Timeout)},
          {field::Objective, textOf(Route.Objective)},
          {field::GapObjective, textOf(Route.GapObjective)},
          {field::Priority, std::to_string(Route.Priority)},
          {field::Attempts, std::to_string(Route.Attempts)},
          {field::Public, textOf(Route.Public)},
          {field::Resumable, textOf(Route.Resumable)},
          {field::Service, textOf(Route.Services)}};
}

field_values valuesOf(const gateway_service &Service) {
  field_values Values = {
      {field::HealthPath, Service.HealthPath},
      {field::MaxConnections, std::to_string(Service.MaxConnections)},
      {field::WarmUpRate, textOf(Service.WarmUpRequestsPerSecond)},
      {field::Engine, textOf(Service.Engine.has_value())}};
  const engine_capacity Engine = Service.Engine.value_or(engine_capacity{});
  Values[field::AdapterSlots] = std::to_string(Engine.AdapterSlots);
  Values[field::BatchSlots] = std::to_string(Engine.BatchSlots);
  Values[field::CacheTokens] = std::to_string(Engine.CacheTokens);
  Values[field::TokensPerEvent] = std::to_string(Engine.TokensPerEvent);
  Values[field::Megabytes] = textOf(Engine.Megabytes);
  Values[field::Models] = textOf(Engine.Models);
  Values[field::ModelLoadRate] = textOf(Engine.ModelLoadsPerSecond);
  return Values;
}

field_values valuesOf(const gateway_customer &Customer) {
  return {{field::Priority,
           Customer.Priority ? std::to_string(*Customer.Priority) : "none"},
          {field::Rate, textOf(Customer.RatePerSecond)},
          {field::Burst, textOf(Customer.Burst)},
          {field::Unit, Customer.CountsTokens ? "tokens" : "requests"},
          {field::DefaultTokens, std::to_string(Customer.DefaultTokens)}};
}

field_values valuesOfWhole(const gateway_configuration &Configuration) {
  const caller_limits &Limits = Configuration.Limits;
  return {{field::Version, std::to_string(Configuration.Version)},
          {field::HeaderBytes, std::to_string(Limits.HeaderBytes)},
          {field::BodyBytes, std::to_string(Limits.BodyBytes)},
          {field::HeaderTimeout, textOf(Limits.HeaderTimeout)},
          {field::IdleTimeout, textOf(Limits.IdleTimeout)}};
}

void add(entry_map &Entries, configuration_list List, const std::string &Name,
         entry Added) {
  std::string Unique = Name;
  for (std::size_t Count = 2; Entries.count({List, Unique}) != 0; ++Count)
    Unique = Name + "#" + std::to_string(Count);
  Entries.emplace(entry_key{List, Unique}, std::move(Added));
}

entry_map entriesOf(const gateway_configuration &Configuration) {
  entry_map Entries;
  add(Entries, configuration_list::Whole, "",
      {valuesOfWhole(Configuration), {}});
  for (const gateway_route &Route : Configuration.Routes)
    add(Entries, configuration_list::Routes, Route.Name, {valuesOf(Route), {}});
  for (const auto &[Name, Service] : Configuration.Services)
    add(Entries, configuration_list::Services, Name, {valuesOf(Service), {}});
  for (const gateway_customer &Customer : Configuration.Customers)
    add(Entries, configuration_list::Customers, Customer.Name,
        {valuesOf(Customer), {Customer.Keys.begin(), Customer.Keys.end()}});
  return Entries;
}

/// Counts \p Keys, and those that \p Others lacks, without showing one.
std::string describeKeys(const std::set<std::string> &Keys,
                         const std::set<std::string> &Others) {
  const auto IsNew = [&Others](const std::string &Key) {
    return Others.count(Key) == 0;
  };
  return std::to_string(Keys.size()) + " (" +
         std::to_string(std::count_if(Keys.begin(), Keys.end(), IsNew)) +
         " of its own)";
}

void compareEntries(const entry_key &Key, const entry &Old, const entry &New,
                    std::vector<configuration_difference> &Differences) {
  field_values Before = Old.Values;
  field_values After = New.Values;
  if (Old.Keys != New.Keys) {
    Before[field::Keys] = describeKeys(Old.Keys, New.Keys);
    After[field::Keys] = describeKeys(New.Keys, Old.Keys);
  }
  for (const auto &[Field, Value] : After)
    if (Before.at(Field) != Value || Field == field::Keys)
      Differences.push_back(
          {Key.first, Key.second, Field, Before.at(Field), Value});
}

} // namespace

std::vector<configuration_difference>
compareConfigurations(const gateway_configuration &InForce,
                      const gateway_configuration &Next) {
  const entry_map Before = entriesOf(InForce);
  const entry_map After = entriesOf(Next);
  std::set<entry_key> Keys;
  for (const auto &[Key, Unused] : Before)
    Keys.insert(Key);
  for (const auto &[Key, Unused] : After)
    Keys.insert(Key);
  std::vector<configuration_difference> Differences;
  for (const entry_key &Key : Keys) {
    const auto Old = Before.find(Key);
    const auto New = After.find(Key);
    if (Old == Before.end())
      Differences.push_back({Key.first, Key.second, field::None, {}, "new"});
    else if (New == After.end())
      Differences.push_back({Key.first, Key.second, field::None, "old", {}});
    else
      compareEntries(Key, Old->second, New->second, Differences);
  }
  return Differences;
}

} // namespace spindle
