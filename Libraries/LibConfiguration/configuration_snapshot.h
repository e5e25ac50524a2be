#ifndef PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_SNAPSHOT_H
#define PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_SNAPSHOT_H

#include "LibConfiguration/intent.h"

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace spindle {

/// The adapter version that a model name in a request refers to.
struct adapter_view {
  adapter_id Id;
  std::string_view Name;
  std::string_view Version;
  std::string_view Model;
  /// The only customer that may use it; a default id means every customer.
  customer_id Customer;
};

/// A configuration in force on a host. Immutable, so that every method is
/// thread-safe. Views are valid as long as the snapshot.
class configuration_snapshot {
public:
  /// Precondition: \p Intent has passed validateIntent().
  configuration_snapshot(std::uint64_t Version, intent Intent);
  ~configuration_snapshot();
  configuration_snapshot(const configuration_snapshot &) = delete;
  configuration_snapshot &operator=(const configuration_snapshot &) = delete;

  std::uint64_t version() const;
  /// Finds the grant for a key's SHA-256 digest in hexadecimal.
  const key_grant *findKey(std::string_view Digest) const;
  const customer_declaration *findCustomer(customer_id Id) const;
  /// Finds an adapter by "name@version" or, where the operator declared a
  /// default version, by "name".
  std::optional<adapter_view> findAdapter(std::string_view ModelName) const;
  std::optional<adapter_view> findAdapter(adapter_id Id) const;
  /// Finds the route with the longest path prefix that matches \p Path.
  const route_declaration *findRoute(std::string_view Path) const;
  const upstream_declaration *findUpstream(upstream_id Id) const;
  /// Returns the engines that serve \p Model, or the upstreams of a route.
  std::span<const upstream_declaration *const>
  enginesOfModel(std::string_view Model) const;
  std::span<const upstream_declaration *const>
  upstreamsOfRoute(std::string_view RouteName) const;
  std::span<const customer_declaration> customers() const;
  std::span<const upstream_declaration> upstreams() const;
  std::span<const zone_declaration> zones() const;
  const policy_declaration &policy() const;
  /// Returns the sorted "name@version" of the adapters \p Customer may use.
  std::vector<std::string> adapterNamesFor(customer_id Customer) const;
  /// Returns the number of adapter versions, or the memory used by their table.
  std::size_t adapterCount() const;
  std::size_t adapterTableBytes() const;

private:
  struct state;
  std::unique_ptr<const state> State;
};

using snapshot_pointer = std::shared_ptr<const configuration_snapshot>;

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBCONFIGURATION_CONFIGURATION_SNAPSHOT_H
