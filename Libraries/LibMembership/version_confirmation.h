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
  /// The host has the version in force.
  Confirmed,
  /// It has not told so yet.
  Missing,
  /// It is past its lease; it may be cut off and still serve.
  PastLease,
  /// It has stopped, or its machine is gone.
  Gone
};

/// Whether a host has put a version in force.
struct host_confirmation {
  std::string Host;
  std::string Zone;
  confirmation_state State = confirmation_state::Missing;
  std::uint64_t Version = 0;
};

/// Follows which hosts have a version of the configuration in force, for an
/// operator who has changed it. Counts leases on its own clock.
///
/// Not thread-safe.
class version_confirmation {
public:
  version_confirmation(std::uint64_t Version, lease_settings Settings)
      : Version(Version), Settings(Settings) {}

  /// Notes what stands at the platform, read by calls sent at \p SentAt and
  /// answered at \p ReceivedAt.
  void observe(const std::map<std::string, lease_record> &Leases,
               const std::set<std::string> &Machines, time_point SentAt,
               time_point ReceivedAt);
  /// One for each host, by name.
  std::vector<host_confirmation> hosts() const;
  /// Whether no host can act by an older version: every one has confirmed, is
  /// gone, or has been past its lease for longer than \p IsolationLimit, after
  /// which it refuses. Without a limit, a host past its lease counts as not
  /// confirmed as long as its machine is listed, since it may go on serving.
  bool inForce(std::optional<seconds> IsolationLimit) const;

private:
  struct sighting {
    lease_record Record;
    time_point FirstSeen;
    bool Listed = false;
  };

  confirmation_state stateOf(const sighting &Sighting) const;

  std::uint64_t Version;
  lease_settings Settings;
  std::map<std::string, sighting> Sightings;
  std::set<std::string> Machines;
  time_point LastRead{};
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBMEMBERSHIP_VERSION_CONFIRMATION_H
