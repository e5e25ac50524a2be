#include "LibHost/lease_renewer.h"

#include "LibCore/result_code.h"

namespace spindle {

lease_renewer::lease_renewer(const runtime_clock &Clock,
                             const platform_port &Platform,
                             const membership_settings &Settings)
    : Clock(Clock), Platform(Platform), Settings(Settings),
      LeaseTerm(Settings.Lease.Duration),
      ShareTerm(Settings.Lease.ShareDuration) {}

lease_record lease_renewer::nextRecord(const lease_condition &Condition,
                                       time_point Now) {
  lease_record Record;
  Record.Zone = Settings.Zone;
  Record.Link = Settings.Link;
  Record.Boot = Settings.Boot;
  Record.Incarnation = Settings.Incarnation;
  Record.EndedIncarnation = EndedIncarnation;
  Record.Renewals = ++Renewals;
  Record.LeaseTerm = LeaseTerm.termAt(Now);
  Record.ShareTerm = ShareTerm.termAt(Now);
  Record.Nonce =
      std::to_string(Settings.Incarnation) + "-" + std::to_string(Renewals);
  Record.ConfigurationVersion = Condition.ConfigurationVersion;
  Record.Draining = Condition.Draining;
  Record.DrainRequested = drainRequested();
  Record.Stopped = Condition.Stopped;
  Record.RenewedAt = Clock.wallNow();
  return Record;
}

std::uint64_t lease_renewer::write(const lease_record &Record) {
  const std::string Kind = leaseKind(Settings.Zone);
  const std::string Body = writeLease(Record);
  if (Version)
    return Platform.Update(Kind, Settings.Name, *Version, Body);
  return Platform.Create(Kind, Settings.Name, Body);
}

void lease_renewer::renew(const lease_condition &Condition) {
  if (!HasReadLease || !Attempts.empty())
    readBack();
  if (Replaced)
    return;
  const time_point Now = Clock.now();
  const lease_record Record = nextRecord(Condition, Now);
  Attempts[Record.Nonce] = {Now, Record.LeaseTerm, Record.ShareTerm};
  LeaseTerm.noteRenewalSent(Now);
  ShareTerm.noteRenewalSent(Now);
  try {
    confirm(Record, write(Record));
  } catch (const spindle_error &Error) {
    // A rate-limited write had no effect, so there is nothing to read back, and
    // every call avoided relieves the platform.
    if (Error.code() == result_code::PlatformRateLimited) {
      Attempts.erase(Record.Nonce);
      throw;
    }
    readBack();
    // The write took no effect, or another one did: the caller tries again.
    if (!Replaced && Last != Record)
      throw;
  }
}

void lease_renewer::confirm(const lease_record &Record,
                            std::uint64_t NewVersion) {
  Version = NewVersion;
  Last = Record;
  const auto Found = Attempts.find(Record.Nonce);
  if (Found == Attempts.end())
    return;
  const time_point Now = Clock.now();
  const attempt &Attempt = Found->second;
  LeaseTerm.confirm(Attempt.LeaseTerm, Attempt.SentAt, Now);
  ShareTerm.confirm(Attempt.ShareTerm, Attempt.SentAt, Now);
  EverConfirmed = true;
  // No other attempt can still take effect, because the object's version has
  // changed.
  Attempts.clear();
}

/// Reads the lease from the platform and determines which attempt wrote it.
void lease_renewer::readBack() {
  const std::optional<platform_object> Object =
      Platform.Get(leaseKind(Settings.Zone), Settings.Name);
  HasReadLease = true;
  if (!Object) {
    Version.reset();
    return;
  }
  const lease_record Record = readLease(Object->Body);
  if (Record.Incarnation == Settings.Incarnation) {
    confirm(Record, Object->Version);
    return;
  }
  if (EverConfirmed) {
    Replaced = true;
    LeaseTerm.end();
    ShareTerm.end();
    return;
  }
  Version = Object->Version;
  recordPredecessor(Record);
}

/// Records the earlier process of this host as ended if that is certain: its
/// lease says that it stopped, or it listened on this process's endpoint under
/// the same running kernel.
void lease_renewer::recordPredecessor(const lease_record &Predecessor) {
  const bool SameMachine = !Settings.Boot.empty() &&
                           Predecessor.Boot == Settings.Boot &&
                           Predecessor.Link == Settings.Link;
  if (Predecessor.Stopped || SameMachine)
    EndedIncarnation = Predecessor.Incarnation;
}

} // namespace spindle
