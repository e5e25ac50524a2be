#ifndef PARSLEYSPINDLE_LIBHOST_ZONE_KEEPER_H
#define PARSLEYSPINDLE_LIBHOST_ZONE_KEEPER_H

#include "LibHost/lease_keeper.h"
#include "LibMembership/zone_decision.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace spindle {

/// Adds the owners that a zone's table names to a view.
void addOwners(host_view &View, const zone_table &Table);

/// Reads and writes the table of this host's zone, and knows what of it this
/// host may use: what it stopped using is not used again unless a later
/// version of the table says so, because a write whose answer was lost may
/// still take effect.
///
/// Not thread-safe.
class zone_keeper {
public:
  /// \p Clock must outlive the keeper.
  zone_keeper(const runtime_clock &Clock, const platform_port &Platform,
              const membership_settings &Settings);

  /// \throws spindle_error if the platform does not answer.
  void readTable();
  /// Decides by what was read, stops using what is given up, calls
  /// \p Publish so that everyone stops, and writes.
  /// \throws spindle_error if the write was not confirmed.
  void decideAndWrite(zone_decision_input Facts, bool Draining,
                      const std::function<void()> &Publish);
  /// Adds to \p View what this host has by the table and its leases at
  /// \p Now.
  void addOwnZone(host_view &View, const lease_keeper &Lease,
                  time_point Now) const;

  const zone_table &table() const { return Table; }
  /// Whether the table, as last read, names this process.
  bool ownsEngines() const;
  bool holdsShare() const;
  /// Whether an engine is to be given up by now.
  bool hasWork(time_point Now) const;

private:
  /// An engine on which this host acts no more.
  struct stopped_engine {
    std::uint64_t Fence = 0;
    time_point Since;
  };

  bool isOwn(const engine_claim &Claim) const;
  void adopt(zone_table NewTable, std::uint64_t NewVersion);
  void chooseReleases(const zone_decision_input &Facts, bool Draining);
  void workOnFleet(zone_decision_input &Facts);
  fleet_table readFleet();
  void logChanges(const zone_table &Written) const;

  const runtime_clock &Clock;
  const platform_port Platform;
  const membership_settings Settings;
  zone_table Table;
  /// The table's version at the platform; none: it does not exist.
  std::optional<std::uint64_t> Version;
  /// The zone's grant as last read.
  zone_grant Grant;
  std::optional<std::uint64_t> FleetVersion;
  /// The most of the share that may be used while a write from PendingBase
  /// may still take effect.
  std::optional<std::uint32_t> ShareLimit;
  std::uint64_t PendingBase = 0;
  std::map<std::string, stopped_engine> Stopped;
  std::map<std::string, time_point> NotPreferredSince;
  std::uint64_t Writes = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_ZONE_KEEPER_H
