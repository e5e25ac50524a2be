#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_TABLE_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_TABLE_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spindle {

/// The fleet's total rates, which the tables divide.
inline constexpr std::uint32_t TotalPartsPerMillion = 1'000'000;

/// A host's share of every customer's rate.
struct host_share {
  std::uint32_t PartsPerMillion = 0;
  std::uint64_t Generation = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t ShareTerm = 0;

  bool operator==(const host_share &) const = default;
};

/// The owner of an engine. The fencing token is kept when there is none.
struct engine_claim {
  /// Empty if the engine has no owner.
  std::string Owner;
  std::uint64_t Incarnation = 0;
  std::uint64_t LeaseTerm = 0;
  std::uint64_t Fence = 0;

  bool operator==(const engine_claim &) const = default;
};

/// The division of a zone's budget and engines among its hosts. One object per
/// zone, modified only by compare-and-set. Invariant: Unallocated and the
/// shares of all hosts add up to Budget.
struct zone_table {
  /// The latest configuration that changed the budget.
  std::uint64_t ConfigurationVersion = 0;
  std::uint32_t Budget = 0;
  std::uint32_t Unallocated = 0;
  std::map<std::string, host_share> Hosts;
  std::map<std::string, engine_claim> Engines;
  /// Unique to each write, so that its writer recognises it.
  std::string Nonce;

  bool operator==(const zone_table &) const = default;
};

/// A zone's share of the fleet's rates.
struct zone_grant {
  std::uint32_t PartsPerMillion = 0;
  std::uint64_t ConfigurationVersion = 0;

  bool operator==(const zone_grant &) const = default;
};

/// The division of the fleet's rates among zones. A single object, modified
/// only by compare-and-set when the weights of zones change. A zone's grant is
/// never less than the budget in its table.
struct zone_grants {
  std::uint32_t Unallocated = TotalPartsPerMillion;
  std::map<std::string, zone_grant> Zones;
  std::string Nonce;

  bool operator==(const zone_grants &) const = default;
};

/// The name of the stored zone grants; zone tables are named for their zones.
inline constexpr std::string_view FleetTableName = "_fleet";

std::string writeZoneTable(const zone_table &Table);
/// \throws spindle_error Internal. Thread-safe.
zone_table readZoneTable(std::string_view Text);
std::string writeZoneGrants(const zone_grants &Table);
/// \throws spindle_error Internal. Thread-safe.
zone_grants readZoneGrants(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_TABLE_H
