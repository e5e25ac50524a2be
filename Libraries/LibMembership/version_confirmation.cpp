#include "LibMembership/version_confirmation.h"

namespace spindle {

void version_confirmation::observe(
    const std::map<std::string, lease_record> &Leases,
    const std::set<std::string> &Listed, time_point SentAt,
    time_point ReceivedAt) {
  Machines = Listed;
  LastRead = SentAt;
  for (const auto &[Host, Record] : Leases) {
    const auto [Entry, IsNew] =
        Observations.try_emplace(Host, observation{Record, ReceivedAt, false});
    observation &Observation = Entry->second;
    const bool IsRenewed = Observation.Record.Renewals != Record.Renewals ||
                           Observation.Record.Incarnation != Record.Incarnation;
    if (IsRenewed)
      Observation.FirstSeen = ReceivedAt;
    Observation.Record = Record;
  }
  for (auto &[Host, Observation] : Observations)
    Observation.Listed = Listed.count(Host) != 0;
}

confirmation_state
version_confirmation::stateOf(const observation &Observation) const {
  if (Observation.Record.Stopped)
    return confirmation_state::Gone;
  if (Observation.Record.ConfigurationVersion >= Version)
    return confirmation_state::Confirmed;
  if (LastRead - Observation.FirstSeen < Settings.Duration + Settings.Margin)
    return confirmation_state::Missing;
  return Observation.Listed ? confirmation_state::LeaseExpired
                            : confirmation_state::Gone;
}

std::vector<host_confirmation> version_confirmation::hosts() const {
  std::vector<host_confirmation> Hosts;
  for (const auto &[Host, Observation] : Observations)
    Hosts.push_back({Host, Observation.Record.Zone, stateOf(Observation),
                     Observation.Record.ConfigurationVersion});
  // A listed machine without a lease may have started during an outage.
  for (const std::string &Host : Machines)
    if (Observations.count(Host) == 0)
      Hosts.push_back({Host, "", confirmation_state::Missing, 0});
  return Hosts;
}

bool version_confirmation::inForce(
    std::optional<seconds> IsolationLimit) const {
  for (const std::string &Host : Machines)
    if (Observations.count(Host) == 0)
      return false;
  for (const auto &[Host, Observation] : Observations) {
    const confirmation_state State = stateOf(Observation);
    if (State == confirmation_state::Missing)
      return false;
    if (State != confirmation_state::LeaseExpired)
      continue;
    const nanoseconds SinceRenewal = LastRead - Observation.FirstSeen;
    if (!IsolationLimit ||
        SinceRenewal < Settings.Duration + Settings.Margin + *IsolationLimit)
      return false;
  }
  return true;
}

} // namespace spindle
