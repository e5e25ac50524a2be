#include "LibConfiguration/validate_intent.h"

#include <set>
#include <unordered_map>
#include <unordered_set>

namespace spindle {

namespace {

using name_set = std::unordered_set<std::string_view>;

/// Reports two names of one kind that are equal or have the same hash.
class name_checker {
public:
  name_checker(name_hash Hash, std::vector<input_problem> &Problems)
      : Hash(Hash), Problems(Problems) {}

  void check(const std::string &Name, const std::string &Field) {
    const auto [Entry, IsNew] = Names.emplace(Hash(Name), Name);
    if (IsNew)
      return;
    if (Entry->second == Name)
      Problems.push_back({Field, "\"" + Name + "\" is declared twice"});
    else
      Problems.push_back(
          {Field, "\"" + Name + "\" and \"" + Entry->second +
                      "\" have the same hash; rename one of them"});
  }

private:
  name_hash Hash;
  std::vector<input_problem> &Problems;
  std::unordered_map<std::uint64_t, std::string> Names;
};

/// Validates one intent and collects its problems.
class intent_checker {
public:
  intent_checker(const intent &Intent, name_hash Hash)
      : Intent(Intent), Hash(Hash) {}

  std::vector<input_problem> run() {
    collectNames();
    checkNames("zones", Intent.Zones);
    checkNames("customers", Intent.Customers);
    checkNames("keys", Intent.Keys);
    checkNames("upstreams", Intent.Upstreams);
    checkNames("routes", Intent.Routes);
    checkKeys();
    checkAdapters();
    checkUpstreams();
    checkRoutes();
    return std::move(Problems);
  }

private:
  static std::string path(std::string_view List, std::size_t Index,
                          std::string_view Field) {
    return std::string(List) + "[" + std::to_string(Index) + "]." +
           std::string(Field);
  }

  void collectNames() {
    for (const zone_declaration &Zone : Intent.Zones)
      Zones.insert(Zone.Name);
    for (const customer_declaration &Customer : Intent.Customers)
      Customers.insert(Customer.Name);
    for (const upstream_declaration &Upstream : Intent.Upstreams) {
      const bool IsEngine = Upstream.Kind == upstream_kind::Engine;
      (IsEngine ? Engines : Services).insert(Upstream.Name);
      if (IsEngine)
        Models.insert(Upstream.Model);
    }
  }

  template <typename record>
  void checkNames(std::string_view List, const std::vector<record> &Records) {
    name_checker Checker(Hash, Problems);
    for (std::size_t Index = 0; Index < Records.size(); ++Index)
      Checker.check(Records[Index].Name, path(List, Index, "name"));
  }

  void requireDeclared(const name_set &Declared, std::string_view What,
                       const std::string &Name, const std::string &Field) {
    if (Declared.count(Name) == 0)
      Problems.push_back(
          {Field, std::string(What) + " \"" + Name + "\" is not declared"});
  }

  void checkKeys() {
    name_set Digests;
    for (std::size_t Index = 0; Index < Intent.Keys.size(); ++Index) {
      const key_grant &Key = Intent.Keys[Index];
      requireDeclared(Customers, "customer", Key.Customer,
                      path("keys", Index, "customer"));
      if (!Digests.insert(Key.Digest).second)
        Problems.push_back({path("keys", Index, "digest"),
                            "another grant has the same digest"});
    }
  }

  void checkAdapters() {
    name_checker Checker(Hash, Problems);
    name_set Defaults;
    for (std::size_t Index = 0; Index < Intent.Adapters.size(); ++Index) {
      const adapter_declaration &Adapter = Intent.Adapters[Index];
      Checker.check(Adapter.Name + "@" + Adapter.Version,
                    path("adapters", Index, "versions"));
      if (Models.count(Adapter.Model) == 0)
        Problems.push_back({path("adapters", Index, "model"),
                            "no engine serves \"" + Adapter.Model + "\""});
      if (!Adapter.Customer.empty())
        requireDeclared(Customers, "customer", Adapter.Customer,
                        path("adapters", Index, "customer"));
      if (Adapter.IsDefault && !Defaults.insert(Adapter.Name).second)
        Problems.push_back({path("adapters", Index, "default"),
                            "\"" + Adapter.Name + "\" has two defaults"});
    }
  }

  void checkUpstreams() {
    std::set<endpoint> Addresses;
    for (std::size_t Index = 0; Index < Intent.Upstreams.size(); ++Index) {
      const upstream_declaration &Upstream = Intent.Upstreams[Index];
      requireDeclared(Zones, "zone", Upstream.Zone,
                      path("upstreams", Index, "zone"));
      const bool IsEngine = Upstream.Kind == upstream_kind::Engine;
      if (IsEngine && Upstream.Model.empty())
        Problems.push_back(
            {path("upstreams", Index, "model"), "an engine needs a model"});
      if (!IsEngine && !Upstream.Model.empty())
        Problems.push_back(
            {path("upstreams", Index, "model"), "a service has no model"});
      if (Upstream.Address.Port == 0)
        Problems.push_back(
            {path("upstreams", Index, "address"), "port 0 can't be reached"});
      if (!Addresses.insert(Upstream.Address).second)
        Problems.push_back({path("upstreams", Index, "address"),
                            "another upstream has the same address"});
    }
  }

  void checkRoutes() {
    name_set Prefixes;
    for (std::size_t Index = 0; Index < Intent.Routes.size(); ++Index) {
      const route_declaration &Route = Intent.Routes[Index];
      if (Route.PathPrefix.empty() || Route.PathPrefix.front() != '/')
        Problems.push_back(
            {path("routes", Index, "pathPrefix"), "must start with '/'"});
      if (!Prefixes.insert(Route.PathPrefix).second)
        Problems.push_back({path("routes", Index, "pathPrefix"),
                            "another route has the same prefix"});
      checkRouteUpstreams(Route, Index);
    }
  }

  void checkRouteUpstreams(const route_declaration &Route, std::size_t Index) {
    const bool IsModel = Route.Kind == route_kind::Model;
    if (!IsModel && Route.Upstreams.empty())
      Problems.push_back(
          {path("routes", Index, "upstreams"), "a service route needs one"});
    name_set Seen;
    for (const std::string &Name : Route.Upstreams) {
      requireDeclared(IsModel ? Engines : Services,
                      IsModel ? "engine" : "service", Name,
                      path("routes", Index, "upstreams"));
      if (!Seen.insert(Name).second)
        Problems.push_back({path("routes", Index, "upstreams"),
                            "\"" + Name + "\" is listed twice"});
    }
  }

  const intent &Intent;
  name_hash Hash;
  std::vector<input_problem> Problems;
  name_set Zones;
  name_set Customers;
  name_set Engines;
  name_set Services;
  name_set Models;
};

} // namespace

std::vector<input_problem> validateIntent(const intent &Intent,
                                          name_hash Hash) {
  return intent_checker(Intent, Hash).run();
}

} // namespace spindle
