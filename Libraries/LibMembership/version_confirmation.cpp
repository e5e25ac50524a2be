#include "LibMembership/version_confirmation.h"

namespace spindle {

void version_confirmation::observe(
    const std::map<std::string, lease_record> &Leases,
    const std::set<std::string> &Listed, time_point SentAt,
    time_point ReceivedAt) {
  Machines = Listed;
  LastRead = SentAt;
  for (const auto &[Host, Record] : Leases) {
    const auto [Place, IsNew] =
        Sightings.try_emplace(Host, sighting{Record, ReceivedAt, false});
    sighting &Sighting = Place->second;
    const bool IsRenewed = Sighting.Record.Renewals != Record.Renewals ||
                           Sighting.Record.Incarnation != Record.Incarnation;
    if (IsRenewed)
      Sighting.FirstSeen = ReceivedAt;
    Sighting.Record = Record;
  }
  for (auto &[Host, Sighting] : Sightings)
    Sighting.Listed = Listed.count(Host) != 0;
}

confirmation_state
version_confirmation::stateOf(const sighting &Sighting) const {
  if (Sighting.Record.Stopped)
    return confirmation_state::Gone;
  if (Sighting.Record.ConfigurationVersion >= Version)
    return confirmation_state::Confirmed;
  if (LastRead - Sighting.FirstSeen < Settings.Duration + Settings.Margin)
    return confirmation_state::Missing;
  return Sighting.Listed ? confirmation_state::PastLease
                         : confirmation_state::Gone;
}

std::vector<host_confirmation> version_confirmation::hosts() const {
  std::vector<host_confirmation> Hosts;
  for (const auto &[Host, Sighting] : Sightings)
    Hosts.push_back({Host, Sighting.Record.Zone, stateOf(Sighting),
                     Sighting.Record.ConfigurationVersion});
  // A listed machine without a lease may have started during an outage.
  for (const std::string &Host : Machines)
    if (Sightings.count(Host) == 0)
      Hosts.push_back({Host, "", confirmation_state::Missing, 0});
  return Hosts;
}

bool version_confirmation::inForce(
    std::optional<seconds> IsolationLimit) const {
  for (const std::string &Host : Machines)
    if (Sightings.count(Host) == 0)
      return false;
  for (const auto &[Host, Sighting] : Sightings) {
    const confirmation_state State = stateOf(Sighting);
    if (State == confirmation_state::Missing)
      return false;
    if (State != confirmation_state::PastLease)
      continue;
    const nanoseconds Silent = LastRead - Sighting.FirstSeen;
    if (!IsolationLimit ||
        Silent < Settings.Duration + Settings.Margin + *IsolationLimit)
      return false;
  }
  return true;
}

} // namespace spindle
