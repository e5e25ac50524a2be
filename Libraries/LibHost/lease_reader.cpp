#include "LibHost/lease_reader.h"

#include "LibLog/log.h"
#include "LibMembership/rendezvous.h"

#include <algorithm>
#include <optional>

namespace spindle {

/// Hosts per zone that do the work that any host of the zone could do.
static constexpr std::size_t MaintainersInZone = 2;

lease_reader::lease_reader(const runtime_clock &Clock,
                           const platform_port &Platform,
                           const membership_settings &Settings)
    : Clock(Clock), Platform(Platform), Settings(Settings),
      Observer(Settings.Lease) {}

platform_list lease_reader::readZone(const std::string &Zone) {
  const time_point SentAt = Clock.now();
  platform_list List = Platform.List(leaseKind(Zone));
  const time_point ReceivedAt = Clock.now();
  std::set<std::string> Missing;
  for (const auto &[Host, Record] : Observer.records())
    if (Record.Zone == Zone)
      Missing.insert(Host);
  for (const platform_object &Object : List.Objects) {
    Observer.observe(Object.Name, readLease(Object.Body), SentAt, ReceivedAt);
    Missing.erase(Object.Name);
  }
  for (const std::string &Host : Missing)
    Observer.observe(Host, std::nullopt, SentAt, ReceivedAt);
  return List;
}

void lease_reader::removeStale(const platform_list &List,
                               const machine_watcher &Machines,
                               const zone_table &Table) {
  for (const platform_object &Object : List.Objects) {
    const lease_record Record = readLease(Object.Body);
    if (Machines.contains(Object.Name))
      continue;
    const bool IsLost =
        Object.Name != Settings.Name &&
        Observer.leaseStatus(Object.Name, Record.Incarnation, 0, 0, Clock.now())
            .ShareExpired;
    if (!IsLost || Table.Hosts.count(Object.Name) != 0)
      continue;
    Platform.Remove(leaseKind(Settings.Zone), Object.Name, Object.Version);
  }
}

std::vector<std::string> lease_reader::liveHosts(bool IncludeSelf) const {
  std::vector<std::string> Live;
  for (const auto &[Host, Record] : Observer.records()) {
    const bool TakesWork = Record.Zone == Settings.Zone &&
                           Host != Settings.Name && !Record.Draining &&
                           Observer.isLive(Host);
    if (TakesWork)
      Live.push_back(Host);
  }
  if (IncludeSelf)
    Live.push_back(Settings.Name);
  return Live;
}

bool lease_reader::isMaintainer(
    const std::vector<std::string> &LiveHosts) const {
  std::vector<host_id> Others;
  for (const std::string &Host : LiveHosts)
    if (Host != Settings.Name)
      Others.push_back(host_id::ofName(Host));
  return rendezvousRank(hashName(Settings.Zone), host_id::ofName(Settings.Name),
                        Others) < MaintainersInZone;
}

void lease_reader::logLostHosts() {
  for (const auto &[Host, Record] : Observer.records()) {
    if (Observer.isLive(Host)) {
      LoggedLiveHosts.insert(Host);
      continue;
    }
    if (LoggedLiveHosts.erase(Host) != 0 && !Record.Stopped)
      logEvent(log_event::HostLost, {{"host", Host}, {"zone", Record.Zone}});
  }
}

void lease_reader::addHosts(host_view &View) const {
  for (const auto &[Host, Record] : Observer.records()) {
    if (Host == Settings.Name || !Observer.isLive(Host))
      continue;
    View.Peers.push_back(
        {host_id::ofName(Host), Host, zone_id::ofName(Record.Zone), Record.Link,
         Record.Incarnation, Record.ConfigurationVersion, Record.Draining});
  }
  for (const std::string &Host : Observer.lapsedHosts())
    if (Host != Settings.Name)
      View.LapsedHosts.push_back(
          {host_id::ofName(Host), Observer.records().at(Host).Incarnation});
  const zone_id Own = zone_id::ofName(Settings.Zone);
  std::stable_partition(
      View.Peers.begin(), View.Peers.end(),
      [Own](const peer_host &Peer) { return Peer.Zone == Own; });
  View.FleetHosts = static_cast<std::uint32_t>(View.Peers.size() + 1);
  for (const auto &[Host, Incarnation] : Observer.goneIncarnations())
    View.GoneIncarnations[host_id::ofName(Host)] = Incarnation;
}

} // namespace spindle
