#ifndef PARSLEYSPINDLE_LIBFLEETMODEL_HOST_GROUP_H
#define PARSLEYSPINDLE_LIBFLEETMODEL_HOST_GROUP_H

#include "LibFleetModel/engine_group.h"
#include "LibFleetModel/zone_model.h"
#include "LibGateway/fleet_table.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace spindle {

/// The service that all engines of a run belong to.
inline constexpr const char *ServiceName = "engines";

/// The name of a zone by its index.
std::string zoneName(std::size_t Zone);

/// All hosts of a run, by index, and what they receive from each other and
/// from the platform. Not thread-safe.
class host_group {
public:
  struct member {
    std::size_t Zone = 0;
    std::unique_ptr<fleet_table> Table;
  };

  /// \p Clock must outlive the object.
  explicit host_group(const runtime_clock &Clock) : Clock(Clock) {}

  /// Adds a host that chooses engines by \p Rank and expects \p CacheTokens of
  /// prompts to stay cached on an engine.
  void add(std::size_t Zone, const upstream_ranking &Rank,
           std::int64_t CacheTokens);
  std::size_t size() const { return Members.size(); }
  std::size_t zoneOf(std::size_t Host) const { return Members[Host].Zone; }
  fleet_table &tableOf(std::size_t Host) const { return *Members[Host].Table; }

  /// Delivers the hosts' loads to each other: those of a host of the same zone
  /// one exchange later, those of other zones two exchanges later.
  void exchangeLoads();
  /// Delivers all hosts' uses of adapters to the zones, and the zones'
  /// available slots to all hosts.
  void exchangeSlots(std::span<const std::unique_ptr<zone_model>> Zones);
  /// Delivers the registrations of the engines to all hosts.
  void applyEngines(const engine_group &Engines,
                    std::span<const std::unique_ptr<zone_model>> Zones,
                    std::uint32_t BatchSlots);

private:
  /// The loads of one host, and of all.
  using host_loads = std::vector<host_link::UpstreamLoad>;
  using group_loads = std::vector<host_loads>;

  const runtime_clock &Clock;
  std::vector<member> Members;
  /// All hosts' loads at the last exchanges, oldest first.
  std::deque<group_loads> RecentLoads;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBFLEETMODEL_HOST_GROUP_H
