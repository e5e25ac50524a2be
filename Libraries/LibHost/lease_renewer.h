#ifndef PARSLEYSPINDLE_LIBHOST_LEASE_RENEWER_H
#define PARSLEYSPINDLE_LIBHOST_LEASE_RENEWER_H

#include "LibHost/membership_agent.h"
#include "LibMembership/lease_record.h"
#include "LibMembership/lease_term.h"

#include <map>
#include <optional>
#include <string>

namespace spindle {

/// What a renewal publishes about this host.
struct lease_condition {
  std::uint64_t ConfigurationVersion = 0;
  bool Draining = false;
  bool Stopped = false;
};

/// Renews this host's own lease at the platform. The response may be lost after
/// the write took effect, so each renewal carries a nonce, and the lease is
/// read back for it before the renewal counts as failed.
///
/// Not thread-safe.
class lease_renewer {
public:
  /// \p Clock must outlive the renewer.
  lease_renewer(const runtime_clock &Clock, const platform_port &Platform,
                const membership_settings &Settings);

  /// Writes the lease. \throws spindle_error if the write was not confirmed.
  void renew(const lease_condition &Condition);
  const lease_term &leaseTerm() const { return LeaseTerm; }
  const lease_term &shareTerm() const { return ShareTerm; }
  /// Whether a renewal of this process was ever confirmed.
  bool everConfirmed() const { return EverConfirmed; }
  bool drainRequested() const { return Last && Last->DrainRequested; }
  /// Whether another process with this host's name has taken over the lease.
  bool replaced() const { return Replaced; }

private:
  struct attempt {
    time_point SentAt;
    std::uint64_t LeaseTerm;
    std::uint64_t ShareTerm;
  };

  void readBack();
  void recordPredecessor(const lease_record &Predecessor);
  void confirm(const lease_record &Record, std::uint64_t Version);
  lease_record nextRecord(const lease_condition &Condition, time_point Now);
  std::uint64_t write(const lease_record &Record);

  const runtime_clock &Clock;
  const platform_port Platform;
  const membership_settings Settings;
  lease_term LeaseTerm;
  lease_term ShareTerm;
  /// The version of the platform's object; nullopt if there is none.
  std::optional<std::uint64_t> Version;
  /// This process's record as last confirmed.
  std::optional<lease_record> Last;
  std::map<std::string, attempt> Attempts;
  std::uint64_t EndedIncarnation = 0;
  std::uint64_t Renewals = 0;
  bool HasReadLease = false;
  bool EverConfirmed = false;
  bool Replaced = false;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBHOST_LEASE_RENEWER_H
