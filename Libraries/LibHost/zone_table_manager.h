#ifndef PARSLEYSPINDLE_LIBHOST_ZONE_TABLE_MANAGER_H
#define PARSLEYSPINDLE_LIBHOST_ZONE_TABLE_MANAGER_H

#include "LibHost/lease_renewer.h"
#include "LibMembership/zone_decision.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace spindle {

/// Adds the engine owners of a zone's table to a view.
void addOwners(host_view &View, const zone_table &Table);

/// Reads and writes the table of this host's zone, and tracks which engines and
/// how much of the share this host may use. What it stopped using is not used
/// again until a later version of the table grants it, because a write whose
/// response was lost may still take effect.
///
/// Not thread-safe.
class zone_table_manager {
public:
  /// \p Clock must outlive the manager.
  zone_table_manager(const runtime_clock &Clock, const platform_port &Platform,
                     const membership_settings &Settings);

  /// \throws spindle_error if the platform does not answer.
  void readTable();
  /// Decides the next table from the one read, stops using what this host gives
  /// up, calls \p Publish so that all users of the view stop too, and writes.
  /// \throws spindle_error if the write was not confirmed.
  void decideAndWrite(zone_decision_input Facts, bool Draining,
                      const std::function<void()> &Publish);
  /// Adds to \p View what the table and the leases grant this host at \p Now,
  /// and the owners of the zone's other engines.
  void addOwnZone(host_view &View, const lease_renewer &Lease,
                  time_point Now) const;

  const zone_table &table() const { return Table; }
  /// Whether the table, as last read, names this process as an owner.
  bool ownsEngines() const;
  bool holdsShare() const;
  /// Whether an engine is due to be released at \p Now.
  bool hasPendingRelease(time_point Now) const;

private:
  /// An engine that this host still owns but no longer acts on.
  struct inactive_engine {
    std::uint64_t Fence = 0;
    time_point Since;
  };

  bool isOwn(const engine_claim &Claim) const;
  void adopt(zone_table NewTable, std::uint64_t NewVersion);
  void chooseReleases(const zone_decision_input &Facts, bool Draining);
  void updateZoneGrant(zone_decision_input &Facts);
  zone_grants readFleet();
  void logChanges(const zone_table &Written) const;

  const runtime_clock &Clock;
  const platform_port Platform;
  const membership_settings Settings;
  zone_table Table;
  /// The table's version at the platform; nullopt if there is no table.
  std::optional<std::uint64_t> Version;
  /// The zone's grant as last read.
  zone_grant Grant;
  std::optional<std::uint64_t> FleetVersion;
  /// Upper limit of the share that may be used while a write based on version
  /// PendingBase may still take effect.
  std::optional<std::uint32_t> ShareLimit;
  std::uint64_t PendingBase = 0;
  std::map<std::string, inactive_engine> InactiveEngines;
  std::map<std::string, time_point> NotPreferredSince;
  std::uint64_t Writes = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_ZONE_TABLE_MANAGER_H
