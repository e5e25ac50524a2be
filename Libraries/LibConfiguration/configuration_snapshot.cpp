#include "LibConfiguration/configuration_snapshot.h"

#include "LibConfiguration/adapter_table.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace spindle {

using upstream_list = std::vector<const upstream_declaration *>;

struct configuration_snapshot::state {
  state(std::uint64_t Version, intent Declared)
      : Version(Version), Adapters(Declared.Adapters),
        Intent(std::move(Declared)) {
    Intent.Adapters = {};
    indexNames();
    indexRoutes();
  }

  void indexNames() {
    for (const key_grant &Key : Intent.Keys)
      Keys.emplace(Key.Digest, &Key);
    for (const customer_declaration &Customer : Intent.Customers)
      Customers.emplace(customer_id::ofName(Customer.Name), &Customer);
    for (const upstream_declaration &Upstream : Intent.Upstreams) {
      Upstreams.emplace(upstream_id::ofName(Upstream.Name), &Upstream);
      if (Upstream.Kind != upstream_kind::Engine)
        continue;
      Engines.push_back(&Upstream);
      EnginesOfModel[Upstream.Model].push_back(&Upstream);
    }
  }

  void indexRoutes() {
    for (const route_declaration &Route : Intent.Routes) {
      upstream_list &List = UpstreamsOfRoute[Route.Name];
      for (const std::string &Name : Route.Upstreams)
        List.push_back(Upstreams.at(upstream_id::ofName(Name)));
      if (Route.Kind == route_kind::Model && Route.Upstreams.empty())
        List = Engines;
      RoutesByLength.push_back(&Route);
    }
    std::sort(RoutesByLength.begin(), RoutesByLength.end(),
              [](const route_declaration *A, const route_declaration *B) {
                return A->PathPrefix.size() > B->PathPrefix.size();
              });
  }

  std::uint64_t Version;
  adapter_table Adapters;
  intent Intent;
  std::unordered_map<std::string_view, const key_grant *> Keys;
  std::unordered_map<customer_id, const customer_declaration *> Customers;
  std::unordered_map<upstream_id, const upstream_declaration *> Upstreams;
  upstream_list Engines;
  std::map<std::string, upstream_list, std::less<>> EnginesOfModel;
  std::map<std::string, upstream_list, std::less<>> UpstreamsOfRoute;
  std::vector<const route_declaration *> RoutesByLength;
};

template <typename map, typename key>
static typename map::mapped_type findIn(const map &Map, const key &Key) {
  const auto Found = Map.find(Key);
  return Found == Map.end() ? nullptr : Found->second;
}

static std::span<const upstream_declaration *const>
findList(const std::map<std::string, upstream_list, std::less<>> &Map,
         std::string_view Name) {
  const auto Found = Map.find(Name);
  if (Found == Map.end())
    return {};
  return Found->second;
}

configuration_snapshot::configuration_snapshot(std::uint64_t Version,
                                               intent Intent)
    : State(std::make_unique<state>(Version, std::move(Intent))) {}

configuration_snapshot::~configuration_snapshot() = default;

std::uint64_t configuration_snapshot::version() const { return State->Version; }

const key_grant *
configuration_snapshot::findKey(std::string_view Digest) const {
  return findIn(State->Keys, Digest);
}

const customer_declaration *
configuration_snapshot::findCustomer(customer_id Id) const {
  return findIn(State->Customers, Id);
}

std::optional<adapter_view>
configuration_snapshot::findAdapter(std::string_view ModelName) const {
  const std::size_t At = ModelName.find('@');
  if (At == std::string_view::npos)
    return State->Adapters.findDefault(ModelName);
  const std::optional<adapter_view> Found =
      findAdapter(adapter_id::ofName(ModelName));
  // A caller may have constructed another name with the same hash.
  const bool IsSame = Found && Found->Name == ModelName.substr(0, At) &&
                      Found->Version == ModelName.substr(At + 1);
  return IsSame ? Found : std::nullopt;
}

std::optional<adapter_view>
configuration_snapshot::findAdapter(adapter_id Id) const {
  return State->Adapters.find(Id);
}

/// Returns whether \p Path starts with \p Prefix, in whole path segments.
static bool hasPrefix(std::string_view Path, std::string_view Prefix) {
  if (Path.substr(0, Prefix.size()) != Prefix)
    return false;
  if (Path.size() == Prefix.size() || Prefix.back() == '/')
    return true;
  const char Next = Path[Prefix.size()];
  return Next == '/' || Next == '?';
}

const route_declaration *
configuration_snapshot::findRoute(std::string_view Path) const {
  for (const route_declaration *Route : State->RoutesByLength)
    if (hasPrefix(Path, Route->PathPrefix))
      return Route;
  return nullptr;
}

const upstream_declaration *
configuration_snapshot::findUpstream(upstream_id Id) const {
  return findIn(State->Upstreams, Id);
}

std::span<const upstream_declaration *const>
configuration_snapshot::enginesOfModel(std::string_view Model) const {
  return findList(State->EnginesOfModel, Model);
}

std::span<const upstream_declaration *const>
configuration_snapshot::upstreamsOfRoute(std::string_view RouteName) const {
  return findList(State->UpstreamsOfRoute, RouteName);
}

std::span<const customer_declaration>
configuration_snapshot::customers() const {
  return State->Intent.Customers;
}

std::span<const upstream_declaration>
configuration_snapshot::upstreams() const {
  return State->Intent.Upstreams;
}

std::span<const zone_declaration> configuration_snapshot::zones() const {
  return State->Intent.Zones;
}

const policy_declaration &configuration_snapshot::policy() const {
  return State->Intent.Policy;
}

std::vector<std::string>
configuration_snapshot::adapterNamesFor(customer_id Customer) const {
  std::vector<std::string> Names;
  State->Adapters.visit([&](const adapter_view &Adapter) {
    if (Adapter.Customer && Adapter.Customer != Customer)
      return;
    Names.push_back(std::string(Adapter.Name) + "@" +
                    std::string(Adapter.Version));
  });
  std::sort(Names.begin(), Names.end());
  return Names;
}

std::size_t configuration_snapshot::adapterCount() const {
  return State->Adapters.size();
}

std::size_t configuration_snapshot::adapterTableBytes() const {
  return State->Adapters.bytes();
}

} // namespace spindle
