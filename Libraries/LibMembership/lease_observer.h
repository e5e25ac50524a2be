#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_OBSERVER_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_OBSERVER_H

#include "LibMembership/lease_record.h"
#include "LibSettings/lease_settings.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace spindle {

/// What a host may safely assume about another host's process.
struct lease_status {
  /// The lease has certainly expired: the process no longer owns engines.
  bool LeaseExpired = false;
  /// The longer lease on the process's share has certainly expired.
  bool ShareExpired = false;
  /// The process has ended, or its machine is gone.
  bool Gone = false;
};

/// Determines whether other hosts hold their leases from the records read from
/// the platform. Relies only on its own monotonic clock: a lease has expired
/// when two reads, far enough apart, show the same renewal.
///
/// Not thread-safe.
class lease_observer {
public:
  explicit lease_observer(lease_settings Settings) : Settings(Settings) {}

  /// Records a host's lease record, or nullopt if there is none, as read by a
  /// call sent at \p SentAt whose response arrived at \p ReceivedAt.
  void observe(const std::string &Host,
               const std::optional<lease_record> &Record, time_point SentAt,
               time_point ReceivedAt);
  /// Records which hosts are in the platform's list of machines. A host that
  /// was listed during its current incarnation and no longer is, is gone.
  void observeMachines(const std::set<std::string> &Listed);

  /// Returns the status of the process \p Incarnation of \p Host with regard to
  /// claims made under \p LeaseTerm and \p ShareTerm. The first call for a
  /// process whose record was replaced starts its observation at \p Now.
  lease_status leaseStatus(const std::string &Host, std::uint64_t Incarnation,
                           std::uint64_t LeaseTerm, std::uint64_t ShareTerm,
                           time_point Now);
  /// Whether the host's current process holds its lease, as far as is known.
  bool isLive(const std::string &Host) const;
  /// Hosts whose current process has lost its lease, did not stop cleanly and
  /// is not known to have ended.
  std::vector<std::string> lapsedHosts() const;
  /// The records as last read.
  const std::map<std::string, lease_record> &records() const { return Records; }
  /// The last incarnation that has ended, for each host that has one.
  std::map<std::string, std::uint64_t> goneIncarnations() const;

private:
  struct observation {
    time_point FirstSeen;
    time_point LastConfirmed;
    bool WasListed = false;
    bool IsListed = false;
  };
  using process = std::pair<std::string, std::uint64_t>;

  lease_status statusForAge(nanoseconds Age, bool Gone) const;
  lease_status statusOfReplaced(const process &Process, time_point Now);

  lease_settings Settings;
  std::map<std::string, lease_record> Records;
  std::map<std::string, observation> Observations;
  /// Processes without a record, with the time when this host learned of it.
  std::map<process, time_point> Replaced;
  std::set<std::string> Machines;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_OBSERVER_H
