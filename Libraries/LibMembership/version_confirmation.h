#ifndef PARSLEYSPINDLE_LIBMEMBERSHIP_VERSION_CONFIRMATION_H
#define PARSLEYSPINDLE_LIBMEMBERSHIP_VERSION_CONFIRMATION_H

#include "LibMembership/lease_record.h"
#include "LibSettings/lease_settings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace spindle {

enum class confirmation_state {
  /// The host has reported that it applies the version or a later one.
  Confirmed,
  /// It has not reported that yet.
  Missing,
  /// Its lease has expired; it may be disconnected and still serve requests.
  LeaseExpired,
  /// It has stopped, or its machine is gone.
  Gone
};

/// Whether a host applies a version of the configuration.
struct host_confirmation {
  std::string Host;
  std::string Zone;
  confirmation_state State = confirmation_state::Missing;
  std::uint64_t Version = 0;
};

/// Tracks which hosts apply a version of the configuration, for an operator who
/// has changed it. Measures the age of leases with its own clock.
///
/// Not thread-safe.
class version_confirmation {
public:
  version_confirmation(std::uint64_t Version, lease_settings Settings)
      : Version(Version), Settings(Settings) {}

  /// Records the state of the platform, as read by calls sent at \p SentAt
  /// whose responses arrived at \p ReceivedAt.
  void observe(const std::map<std::string, lease_record> &Leases,
               const std::set<std::string> &Machines, time_point SentAt,
               time_point ReceivedAt);
  /// Returns the state of each known host.
  std::vector<host_confirmation> hosts() const;
  /// Whether no host can apply an older version any more: each host has
  /// confirmed, is gone, or its lease expired longer ago than
  /// \p IsolationLimit, after which it refuses requests. Without a limit, a
  /// host with an expired lease counts as unconfirmed while its machine is
  /// listed, since it may continue to serve requests.
  bool inForce(std::optional<seconds> IsolationLimit) const;

private:
  struct observation {
    lease_record Record;
    time_point FirstSeen;
    bool Listed = false;
  };

  confirmation_state stateOf(const observation &Observation) const;

  std::uint64_t Version;
  lease_settings Settings;
  std::map<std::string, observation> Observations;
  std::set<std::string> Machines;
  time_point LastRead{};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_VERSION_CONFIRMATION_H
