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

/// What a host may conclude of another host's process.
struct lease_judgement {
  /// The process is surely past its lease: it owns nothing any more.
  bool LeaseLost = false;
  /// It is surely past the longer lease on its share.
  bool ShareLost = false;
  /// It has ended, or its machine is gone.
  bool Gone = false;
};

/// Concludes from what is read at the platform whether other hosts' leases
/// hold. It trusts its own monotonic clock only: a lease is lost when two
/// reads, far enough apart, show the same renewal.
///
/// Not thread-safe.
class lease_observer {
public:
  explicit lease_observer(lease_settings Settings) : Settings(Settings) {}

  /// Notes a host's record as read by a call that was sent at \p SentAt and
  /// answered at \p ReceivedAt; nullopt: there is none.
  void observe(const std::string &Host,
               const std::optional<lease_record> &Record, time_point SentAt,
               time_point ReceivedAt);
  /// Notes which hosts the platform's list of machines names. A host that was
  /// named while its present incarnation ran and is named no more is gone.
  void observeMachines(const std::set<std::string> &Listed);

  /// Judges the process \p Incarnation of \p Host, as far as it acts under
  /// \p LeaseTerm and \p ShareTerm. The first question about a process whose
  /// record was replaced starts its observation, at \p Now.
  lease_judgement judge(const std::string &Host, std::uint64_t Incarnation,
                        std::uint64_t LeaseTerm, std::uint64_t ShareTerm,
                        time_point Now);
  /// Whether the host's present process holds its lease, as far as is known.
  bool isLive(const std::string &Host) const;
  /// Hosts whose present process has lost its lease, has not stopped in order
  /// and is not known to have ended.
  std::vector<std::string> lapsedHosts() const;
  /// The records as last read.
  const std::map<std::string, lease_record> &records() const { return Records; }
  /// Processes that have ended: (host, the last incarnation that has).
  std::map<std::string, std::uint64_t> goneIncarnations() const;

private:
  struct observation {
    time_point FirstSeen;
    time_point LastConfirmed;
    bool WasListed = false;
    bool IsListed = false;
  };
  using process = std::pair<std::string, std::uint64_t>;

  lease_judgement judgeAge(nanoseconds Age, bool Gone) const;
  lease_judgement judgeReplaced(const process &Process, time_point Now);

  lease_settings Settings;
  std::map<std::string, lease_record> Records;
  std::map<std::string, observation> Observations;
  /// Processes that no record stands for: since when that is known.
  std::map<process, time_point> Replaced;
  std::set<std::string> Machines;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_LEASE_OBSERVER_H
