#include "LibMembership/lease_observer.h"

namespace spindle {

void lease_observer::observe(const std::string &Host,
                             const std::optional<lease_record> &Record,
                             time_point SentAt, time_point ReceivedAt) {
  const auto Known = Records.find(Host);
  if (Known != Records.end() &&
      (!Record || Record->Incarnation != Known->second.Incarnation))
    Replaced.emplace(process{Host, Known->second.Incarnation}, ReceivedAt);
  if (!Record) {
    Records.erase(Host);
    Observations.erase(Host);
    return;
  }
  const bool IsNew = Known == Records.end() ||
                     Known->second.Incarnation != Record->Incarnation;
  const bool IsRenewed = IsNew || Known->second.Renewals != Record->Renewals;
  observation &Observation = Observations[Host];
  if (IsNew)
    Observation = {};
  if (IsRenewed)
    Observation.FirstSeen = ReceivedAt;
  Observation.LastConfirmed = SentAt;
  Records[Host] = *Record;
}

void lease_observer::observeMachines(const std::set<std::string> &Listed) {
  Machines = Listed;
  for (auto &[Host, Observation] : Observations) {
    Observation.IsListed = Listed.count(Host) != 0;
    Observation.WasListed = Observation.WasListed || Observation.IsListed;
  }
}

lease_status lease_observer::statusForAge(nanoseconds Age, bool Gone) const {
  lease_status Status;
  Status.LeaseExpired = Age >= Settings.Duration + Settings.Margin;
  Status.Gone = Gone && Status.LeaseExpired;
  Status.ShareExpired =
      Status.Gone || Age >= Settings.ShareDuration + Settings.Margin;
  return Status;
}

lease_status lease_observer::statusOfReplaced(const process &Process,
                                              time_point Now) {
  const auto Current = Records.find(Process.first);
  const bool HasEnded = Current != Records.end() &&
                        Current->second.EndedIncarnation == Process.second;
  if (HasEnded)
    return {true, true, true};
  // NOTE: The process can't renew its lease any more because its record was
  // replaced by a conditional write; its age counts from when this host learned
  // of that. Its machine or process is gone, as the platform has given its name
  // to another one. It may still wake from a pause for a moment, so its share
  // is not free before the lease on the share has expired.
  const auto [Since, IsNew] = Replaced.emplace(Process, Now);
  lease_status Status = statusForAge(Now - Since->second, false);
  Status.Gone = Status.LeaseExpired;
  return Status;
}

lease_status lease_observer::leaseStatus(const std::string &Host,
                                         std::uint64_t Incarnation,
                                         std::uint64_t LeaseTerm,
                                         std::uint64_t ShareTerm,
                                         time_point Now) {
  const auto Found = Records.find(Host);
  if (Found == Records.end() || Found->second.Incarnation != Incarnation)
    return statusOfReplaced({Host, Incarnation}, Now);
  const lease_record &Record = Found->second;
  if (Record.Stopped)
    return {true, true, true};
  const observation &Observation = Observations.at(Host);
  const nanoseconds Age = Observation.LastConfirmed - Observation.FirstSeen;
  const bool MachineGone = Observation.WasListed && !Observation.IsListed;
  lease_status Status = statusForAge(Age, MachineGone);
  // A claim under a later term than the record's proves a later renewal.
  if (LeaseTerm > Record.LeaseTerm)
    Status = {};
  if (ShareTerm > Record.ShareTerm)
    Status.ShareExpired = false;
  return Status;
}

bool lease_observer::isLive(const std::string &Host) const {
  const auto Found = Records.find(Host);
  if (Found == Records.end() || Found->second.Stopped)
    return false;
  const observation &Observation = Observations.at(Host);
  return Observation.LastConfirmed - Observation.FirstSeen <
         Settings.Duration + Settings.Margin;
}

std::vector<std::string> lease_observer::lapsedHosts() const {
  const std::map<std::string, std::uint64_t> Gone = goneIncarnations();
  std::vector<std::string> Lapsed;
  for (const auto &[Host, Record] : Records) {
    const auto Ended = Gone.find(Host);
    const bool HasEnded =
        Ended != Gone.end() && Ended->second == Record.Incarnation;
    if (!HasEnded && !isLive(Host))
      Lapsed.push_back(Host);
  }
  return Lapsed;
}

std::map<std::string, std::uint64_t> lease_observer::goneIncarnations() const {
  std::map<std::string, std::uint64_t> Gone;
  for (const auto &[Host, Record] : Records) {
    const observation &Observation = Observations.at(Host);
    const bool MachineGone =
        Observation.WasListed && !Observation.IsListed && !isLive(Host);
    if (Record.Stopped || MachineGone)
      Gone[Host] = Record.Incarnation;
    else if (Record.EndedIncarnation != 0)
      Gone[Host] = Record.EndedIncarnation;
  }
  for (const auto &[Process, Since] : Replaced) {
    const auto Current = Observations.find(Process.first);
    if (Current == Observations.end() || Gone.count(Process.first) != 0)
      continue;
    const nanoseconds Age = Current->second.LastConfirmed - Since;
    if (Age >= Settings.Duration + Settings.Margin)
      Gone[Process.first] = Process.second;
  }
  return Gone;
}

} // namespace spindle
