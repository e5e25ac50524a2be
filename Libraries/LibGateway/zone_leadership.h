#ifndef PARSLEYSPINDLE_LIBGATEWAY_ZONE_LEADERSHIP_H
#define PARSLEYSPINDLE_LIBGATEWAY_ZONE_LEADERSHIP_H

#include "LibCore/endpoint.h"
#include "LibCore/runtime_clock.h"
#include "LibGateway/object_mirror.h"
#include "LibPeer/Generated/host_link.pb.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace spindle {

/// Who this host is.
struct host_identity {
  std::string Name;
  std::string Zone;
  endpoint Link;
  std::uint64_t Incarnation = 0;
  host_link::Sender Sender;
};

/// A host as it registered itself.
struct registered_host {
  std::string Name;
  std::string Zone;
  /// None if the registration can't be read.
  std::optional<endpoint> Link;
  std::uint64_t Revision = 0;
};

/// The register of hosts at the platform, and this host's part in who leads
/// its zone. The lead holds an object whose revision is its fencing token.
/// Thread-safe in every method.
class zone_leadership {
public:
  /// What keep() needs to know of the exchange with other hosts.
  struct contact_times {
    /// When the zone's lead answered this host last.
    time_point Leader;
    /// Whether a host has told this one anything since then.
    std::function<bool(std::string_view Host, time_point Since)>
        HasReportedSince;
  };

  /// \p Clock, \p Platform and \p Members must outlive the object.
  zone_leadership(host_identity Self, const runtime_clock &Clock,
                  const platform_port &Platform, object_mirror &Members);

  /// Registers this host, takes the lead if it is free, and, as lead, removes
  /// hosts that are gone. Blocks the fiber while the platform is asked.
  void maintain(const contact_times &Contacts);
  /// Gives the lead and the registration back. A lead stays the lead while
  /// there is nobody to follow it, unless this is its \p Force. Returns
  /// whether the host has left. Blocks the fiber.
  bool leave(bool Force);

  /// The fencing token for orders in \p Zone, if this host may order there.
  std::optional<std::uint64_t> fencingToken(std::string_view Zone) const;
  /// Notes that an engine has seen a higher token than \p Token.
  void markFenced(std::uint64_t RejectedToken);
  bool isLeader() const;
  /// Where the lead of a zone can be asked; none if the zone has none.
  std::optional<endpoint> leaderOf(std::string_view Zone) const;
  /// Where the leads of other zones can be asked, by zone.
  std::map<std::string, endpoint> otherLeaders() const;
  std::vector<registered_host> hosts() const;

private:
  struct leader_record {
    std::string Host;
    std::string Link;
    std::uint64_t Incarnation = 0;
    bool Released = false;
    std::uint64_t Revision = 0;
  };

  std::optional<leader_record> readLeader(std::string_view Zone) const;
  std::string serializeLeader(bool Released) const;
  void registerHost();
  void releaseLeadership();
  bool hasSuccessor() const;
  void removeLostHosts(const contact_times &Contacts);
  bool mayTakeLeadership(const std::optional<leader_record> &Leader,
                         time_point LeaderRepliedAt) const;
  void takeLeadership(const std::optional<leader_record> &Leader);
  void updateLeader(const std::optional<leader_record> &Leader);

  const host_identity Self;
  const runtime_clock &Clock;
  const platform_port &Platform;
  object_mirror &Members;
  mutable std::mutex Mutex;
  bool Leaving = false;
  /// Set while this host is its zone's lead.
  std::optional<std::uint64_t> Token;
  time_point LeaderSince;
  time_point OrdersAllowedFrom;
  std::uint64_t FencedToken = 0;
  /// When the lead's present process was seen first.
  time_point LeaderSeenAt;
  std::uint64_t LeaderIncarnation = 0;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ZONE_LEADERSHIP_H
