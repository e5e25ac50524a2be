#include "LibHost/lease_keeper.h"

#include "LibCore/result_code.h"

namespace spindle {

lease_keeper::lease_keeper(const runtime_clock &Clock,
                           const platform_port &Platform,
                           const membership_settings &Settings)
    : Clock(Clock), Platform(Platform), Settings(Settings),
      LeaseTerm(Settings.Lease.Duration),
      ShareTerm(Settings.Lease.ShareDuration) {}

lease_record lease_keeper::nextRecord(const lease_condition &Condition,
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

std::uint64_t lease_keeper::write(const lease_record &Record) {
  const std::string Kind = leaseKind(Settings.Zone);
  const std::string Body = writeLease(Record);
  if (Version)
    return Platform.Update(Kind, Settings.Name, *Version, Body);
  return Platform.Create(Kind, Settings.Name, Body);
}

void lease_keeper::renew(const lease_condition &Condition) {
  if (!Looked || !Attempts.empty())
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
    // Refused by the rate: it surely took no effect, and each call less helps.
    if (Error.code() == result_code::PlatformRateLimited) {
      Attempts.erase(Record.Nonce);
      throw;
    }
    readBack();
    // The write was not made, or another one was: the caller tries again.
    if (!Replaced && Last != Record)
      throw;
  }
}

void lease_keeper::confirm(const lease_record &Record,
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
  Started = true;
  // No other attempt can take effect any more: the version has moved.
  Attempts.clear();
}

/// Reads what stands at the platform, and finds out which attempt that is.
void lease_keeper::readBack() {
  const std::optional<platform_object> Object =
      Platform.Get(leaseKind(Settings.Zone), Settings.Name);
  Looked = true;
  if (!Object) {
    Version.reset();
    return;
  }
  const lease_record Record = readLease(Object->Body);
  if (Record.Incarnation == Settings.Incarnation) {
    confirm(Record, Object->Version);
    return;
  }
  if (Started) {
    Replaced = true;
    LeaseTerm.end();
    ShareTerm.end();
    return;
  }
  Version = Object->Version;
  takeOver(Record);
}

/// Notes whether the earlier process of this host has surely ended: it has
/// said so, or it listened where this process listens now, on the same
/// running kernel.
void lease_keeper::takeOver(const lease_record &Earlier) {
  const bool SameMachine = !Settings.Boot.empty() &&
                           Earlier.Boot == Settings.Boot &&
                           Earlier.Link == Settings.Link;
  if (Earlier.Stopped || SameMachine)
    EndedIncarnation = Earlier.Incarnation;
}

} // namespace spindle
