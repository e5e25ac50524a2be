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

#include <nlohmann/json_fwd.hpp>

namespace spindle {

/// The identity of this host towards other hosts.
struct host_identity {
  std::string Name;
  std::string Zone;
  endpoint Link;
  std::uint64_t Incarnation = 0;
  host_link::Sender Sender;
};

/// A host's registration at the platform.
struct registered_host {
  std::string Name;
  std::string Zone;
  /// None if the registration can't be parsed.
  std::optional<endpoint> Link;
  std::uint64_t Revision = 0;
  /// The platform's era when the host's process first read it; none if the
  /// host states no eras, and uses bare revisions as fencing tokens.
  std::optional<std::uint64_t> Era;
};

/// The registrations of hosts at the platform, and this host's part in the
/// election of its zone's leader. The leader holds an object whose version is
/// its fencing token. The platform may begin a new era from an earlier copy,
/// which shows earlier leaders as current, or none: the next leader gives no
/// orders until the others have had the time to detect it. Thread-safe in every
/// method.
class zone_leadership {
public:
  /// When other hosts were last in contact with this one; see maintain().
  struct contact_times {
    /// When the zone's leader last replied to this host.
    time_point Leader;
    /// Whether \p Host has reported to this one since \p Since.
    std::function<bool(std::string_view Host, time_point Since)>
        HasReportedSince;
  };

  /// \p Clock, \p Platform and \p Members must outlive the object.
  zone_leadership(host_identity Self, const runtime_clock &Clock,
                  const platform_port &Platform, object_mirror &Members);

  /// Registers this host, takes over leadership if it is free, and, as leader,
  /// removes hosts that are lost. Blocks the fiber during calls to the
  /// platform.
  void maintain(const contact_times &Contacts);
  /// Releases leadership and removes the registration. A leader without a
  /// possible successor stays leader unless \p Force is set. Returns whether
  /// the host has left. Blocks the fiber.
  bool leave(bool Force);

  /// The fencing token for orders in \p Zone, if this host may give orders
  /// there. While a host of the zone states no eras, it is the revision
  /// alone, so that an engine does not refuse that host's tokens as lower.
  std::optional<std::uint64_t> fencingToken(std::string_view Zone) const;
  /// Records that an engine has seen a higher token than \p RejectedToken. Ends
  /// leadership, unless the refused token was a bare revision and this host's
  /// copy is so recent that no successor can have given the higher one.
  void markFenced(std::uint64_t RejectedToken);
  bool isLeader() const;
  /// The endpoint of a zone's leader; none if the zone has no leader.
  std::optional<endpoint> leaderOf(std::string_view Zone) const;
  /// The endpoints of other zones' leaders, by zone.
  std::map<std::string, endpoint> otherLeaders() const;
  std::vector<registered_host> hosts() const;

private:
  struct leader_record {
    std::string Host;
    std::string Link;
    std::uint64_t Incarnation = 0;
    bool Released = false;
    /// Whether it was released before its holder could give orders, so that
    /// orders of the leader before may still be under way.
    bool ReleasedEarly = false;
    std::uint64_t Revision = 0;
    /// The era of the copy that the condition of its write was read from; none
    /// if the writer states no eras.
    std::optional<std::uint64_t> Era;

    /// Whether it was written in another era than it is read in, so that a
    /// later leader may have been lost, or the condition may have matched a
    /// revision that was given out again.
    bool isOfOtherHistory() const;
  };

  std::optional<leader_record> readLeader(std::string_view Zone) const;
  nlohmann::json makeLeaderBody(std::uint64_t Era) const;
  void registerHost();
  void releaseLeadership();
  void removeRegistration();
  bool hasSuccessor() const;
  void removeLostHosts(const contact_times &Contacts);
  bool mayTakeLeadership(const std::optional<leader_record> &Leader,
                         time_point LeaderRepliedAt) const;
  bool mayHavePredecessor(const std::optional<leader_record> &Leader,
                          std::uint64_t Era) const;
  bool wasRestored(std::uint64_t Era) const;
  void noteRunning();
  bool noteEra();
  void chooseTokenForm(const std::optional<leader_record> &Leader);
  void takeLeadership(const std::optional<leader_record> &Leader);
  std::optional<leader_record> updateLeader();

  const host_identity Self;
  const runtime_clock &Clock;
  const platform_port &Platform;
  object_mirror &Members;
  /// Guards ParsedHosts. Never locked while Mutex is held.
  mutable std::mutex ParsedMutex;
  /// The registered hosts by object name, so that only changed ones are parsed.
  mutable std::map<std::string, registered_host> ParsedHosts;
  mutable std::mutex Mutex;
  bool Leaving = false;
  /// Set while this host is its zone's leader.
  std::optional<std::uint64_t> Token;
  time_point LeaderSince;
  /// When this host was leader, as far as its copy was complete.
  time_point HeldAt;
  /// Whether another host may give orders when this one's last takeover takes
  /// effect.
  bool PredecessorMayBeAlive = false;
  time_point OrdersAllowedFrom;
  std::uint64_t FencedToken = 0;
  /// Whether orders carry the era in their token. Never unset, so that the
  /// tokens of this host don't go down.
  bool TokenHasEra = false;
  /// The platform's era when this host first read it.
  std::optional<std::uint64_t> FirstEra;
  /// When the leader's current process was first seen.
  time_point LeaderSeenAt;
  std::uint64_t LeaderIncarnation = 0;
  time_point LastRunAt;
  /// When the process started, or ran again after a pause.
  time_point RunningSince;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_ZONE_LEADERSHIP_H
