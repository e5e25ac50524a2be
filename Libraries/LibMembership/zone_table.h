#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_TABLE_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_TABLE_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spindle {

/// The whole fleet's rates, of which tables hold parts.
inline constexpr std::uint32_t WholePartsPerMillion = 1'000'000;

/// A host's part of every customer's rate.
struct host_share {
  std::uint32_t PartsPerMillion = 0;
  std::uint64_t Generation = 0;
  std::uint64_t Incarnation = 0;
  std::uint64_t ShareTerm = 0;

  bool operator==(const host_share &) const = default;
};

/// Who owns an engine. The fencing number stays when nobody does.
struct engine_claim {
  /// Empty: nobody.
  std::string Owner;
  std::uint64_t Incarnation = 0;
  std::uint64_t LeaseTerm = 0;
  std::uint64_t Fence = 0;

  bool operator==(const engine_claim &) const = default;
};

/// What the hosts of a zone have divided among them. One object a zone,
/// changed by compare-and-set only. Precondition of every change: Unallocated
/// and all hosts' parts add up to Budget.
struct zone_table {
  /// The newest configuration that changed the budget.
  std::uint64_t ConfigurationVersion = 0;
  std::uint32_t Budget = 0;
  std::uint32_t Unallocated = 0;
  std::map<std::string, host_share> Hosts;
  std::map<std::string, engine_claim> Engines;
  /// The last write's own mark.
  std::string Nonce;

  bool operator==(const zone_table &) const = default;
};

/// A zone's part of the fleet's rates.
struct zone_grant {
  std::uint32_t PartsPerMillion = 0;
  std::uint64_t ConfigurationVersion = 0;

  bool operator==(const zone_grant &) const = default;
};

/// How the fleet's rates are divided among zones. One object, changed by
/// compare-and-set only, when the zones' weights change. A zone's grant is
/// never less than its table's budget.
struct fleet_table {
  std::uint32_t Unallocated = WholePartsPerMillion;
  std::map<std::string, zone_grant> Zones;
  std::string Nonce;

  bool operator==(const fleet_table &) const = default;
};

/// The name of the fleet's table, beside which zones' names stand.
inline constexpr std::string_view FleetTableName = "_fleet";

std::string writeZoneTable(const zone_table &Table);
/// \throws spindle_error Internal. Thread-safe.
zone_table readZoneTable(std::string_view Text);
std::string writeFleetTable(const fleet_table &Table);
/// \throws spindle_error Internal. Thread-safe.
fleet_table readFleetTable(std::string_view Text);

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_ZONE_TABLE_H
