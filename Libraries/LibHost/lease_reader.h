#ifndef PARSLEYSPINDLE_LIBHOST_LEASE_READER_H
#define PARSLEYSPINDLE_LIBHOST_LEASE_READER_H

#include "LibHost/machine_watcher.h"
#include "LibHost/membership_agent.h"
#include "LibMembership/lease_observer.h"
#include "LibMembership/zone_table.h"

#include <set>
#include <string>
#include <vector>

namespace spindle {

/// Reads the leases of other hosts from the platform and determines which of
/// them hold theirs. Not thread-safe.
class lease_reader {
public:
  /// \p Clock must outlive the reader.
  lease_reader(const runtime_clock &Clock, const platform_port &Platform,
               const membership_settings &Settings);

  lease_observer &observer() { return Observer; }
  /// Reads the leases of one zone and returns the list.
  /// \throws spindle_error if the platform does not answer.
  platform_list readZone(const std::string &Zone);
  /// Removes the leases of the own zone whose hosts have stopped, have no
  /// machine in \p Machines and nothing in \p Table.
  /// \throws spindle_error if the platform does not answer.
  void removeStale(const platform_list &List, const machine_watcher &Machines,
                   const zone_table &Table);
  /// The hosts of the own zone that hold their lease and take work; this host
  /// if \p IncludeSelf.
  std::vector<std::string> liveHosts(bool IncludeSelf) const;
  /// Whether this host does the work that any host of the zone could do.
  bool isMaintainer(const std::vector<std::string> &LiveHosts) const;
  /// Logs hosts that held their lease at the last call and no longer do.
  void logLostHosts();
  /// Adds the other hosts to a view.
  void addHosts(host_view &View) const;

private:
  const runtime_clock &Clock;
  const platform_port Platform;
  const membership_settings Settings;
  lease_observer Observer;
  std::set<std::string> LoggedLiveHosts;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_LEASE_READER_H
