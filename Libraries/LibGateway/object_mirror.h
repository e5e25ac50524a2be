#ifndef PARSLEYSPINDLE_LIBGATEWAY_OBJECT_MIRROR_H
#define PARSLEYSPINDLE_LIBGATEWAY_OBJECT_MIRROR_H

#include "LibCore/runtime_clock.h"
#include "LibGateway/platform_availability.h"
#include "LibPeer/Generated/host_link.pb.h"
#include "LibPlatform/platform_port.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace spindle {

struct mirror_settings {
  /// How long the platform may hold a poll for changes open. A poll may return
  /// nothing although there are changes, or wait on a dead connection, so this
  /// bounds their delay.
  milliseconds PollTimeout{1'000};
  /// The interval between two polls while another host relays changes, and the
  /// interval of the checks whether it still does.
  milliseconds PollIntervalIfRelayed{3'000};
  milliseconds RelayCheckInterval{200};
  /// The relaying host gets a response from the platform at least this often:
  /// a poll of PollTimeout and an exchange with that host.
  milliseconds RelayMaxAge{1'300};
  /// The pause after a poll, so that a kind that changes often costs few calls.
  milliseconds PauseAfterPoll{0};
  milliseconds PauseAfterFailure{250};
  /// The platform counts as unavailable if no response is known for this long.
  /// Longer than the time between two polls of a host that relays, and shorter
  /// than the time after which a registration expires.
  milliseconds OutageAfter{1'700};
  milliseconds MaxPauseAfterFailure{1'000};
  /// A copy that was last complete longer ago may lack a change that must be in
  /// force. Longer than undisturbed hosts need to learn that they have all.
  milliseconds MaxAge{1'800};
};

/// Settings of a mirror that shows each change within \p ChangeDelay, as long
/// as the platform or the relaying host responds. A longer delay costs fewer
/// calls. Thread-safe.
mirror_settings makeMirrorSettings(milliseconds ChangeDelay,
                                   milliseconds PauseAfterPoll);

/// How far a copy is, as hosts state it to each other.
struct mirror_position {
  std::uint64_t Revision = 0;
  /// The era of the revision. Hosts of an earlier version of the code state
  /// none.
  std::optional<std::uint64_t> Era;
};

/// A copy of the platform's objects of one kind. It is updated by polls for
/// changes, or by what peers relay while the platform can't be reached.
///
/// Versions are those of platform_version.h. All objects, deletions and the
/// cursor are of one era: of a later era, only all objects together are taken,
/// and of an earlier one nothing. Messages state revisions and their era. One
/// without an era is from a host of an earlier version of the code, which may
/// have objects from before a restore: only a mirror without objects takes it,
/// and does not count as confirmed until the platform or a peer that states an
/// era has sent it all objects.
///
/// Thread-safe in every method; only poll() blocks the fiber.
class object_mirror {
public:
  /// \p Clock and \p Platform must outlive the mirror.
  object_mirror(const runtime_clock &Clock, const platform_port &Platform,
                std::string Kind, mirror_settings Settings);

  /// Sets the function that runs after each change, on the fiber that applied
  /// the change. Call it before the first poll().
  void onChange(std::function<void()> Hook) { OnChange = std::move(Hook); }
  /// Sets the function that returns whether another host relays changes to this
  /// one. Call it before the first poll().
  void setRelayPredicate(std::function<bool()> Ask) {
    IsRelayed = std::move(Ask);
  }
  /// Lists the kind, or waits for changes. Returns the pause until the next
  /// poll. Never throws for a platform that doesn't respond.
  milliseconds poll();
  /// Whether the objects were ever read, from the platform or a peer.
  bool isInitialized() const;
  std::vector<platform_object> objects() const;
  std::optional<platform_object> find(std::string_view Name) const;
  /// Applies a write of this host without waiting for the next poll. A write in
  /// another era than the copy's is left to the next list.
  void applyOwnWrite(const platform_object &Object);
  /// How long ago this copy had all objects that the platform had, at the
  /// latest.
  nanoseconds age() const;
  /// Whether this copy has each change that must be in force.
  bool isConfirmed() const { return age() <= Settings.MaxAge; }
  /// Whether the platform responded to the last poll.
  bool isPlatformReachable() const;
  /// Whether the platform responds to this host or to a peer that relays, and
  /// since when.
  platform_availability availability() const;
  const std::string &kind() const { return Kind; }

  /// The version up to which all changes are known.
  std::uint64_t cursor() const;
  /// How far this copy is, to be stated to a peer.
  mirror_position position() const;
  /// The version that a peer has by the position that it states; 0 if it has
  /// nothing. A position without an era counts as one of this copy's era.
  std::uint64_t versionOf(const mirror_position &Peer) const;
  /// Writes what a peer at \p PeerCursor lacks: the changes since then, or all
  /// objects if those changes are no longer known.
  void writeChangesSince(std::uint64_t PeerCursor,
                         host_link::MirroredKind &Message) const;
  /// The same for a message that must arrive soon: of changes with a large
  /// object it only states that they exist.
  void writeSmallChangesSince(std::uint64_t PeerCursor,
                              host_link::MirroredKind &Message) const;
  /// Whether a peer has changes that it did not send, and the platform can't be
  /// reached to poll them.
  bool needsPeer() const;
  /// Applies what a peer sent if it is newer than this copy.
  void merge(const host_link::MirroredKind &Message);

private:
  /// A deleted object, and a version at which it was already deleted.
  struct deleted_object {
    std::string Name;
    std::uint64_t Version = 0;
  };
  /// The era of a message, as seen from this copy.
  enum class message_era { Earlier, Same, Later };

  bool isRelayCurrent() const;
  mirror_position ownPosition() const;
  bool mayRelay() const;
  bool hasLargeChangeSince(std::uint64_t PeerCursor) const;
  void writeState(std::uint64_t PeerCursor,
                  host_link::MirroredKind &Message) const;
  void writeObjects(std::uint64_t PeerCursor,
                    host_link::MirroredKind &Message) const;
  void recordDeletion(const std::string &Name, std::uint64_t Version);
  void beginWholeCopy(std::uint64_t Version, bool IsSameEra);
  message_era compareEra(const host_link::MirroredKind &Message) const;
  bool canMerge(const host_link::MirroredKind &Message, message_era Era) const;
  bool mergeObjects(const host_link::MirroredKind &Message, message_era Era);
  bool hasAllOf(const host_link::MirroredKind &Message) const;
  void mergeChanges(const host_link::MirroredKind &Message);
  void mergeAll(const host_link::MirroredKind &Message, message_era Era);
  void mergeObject(const host_link::MirroredObject &Remote, std::uint64_t Era);
  bool mergeLocked(const host_link::MirroredKind &Message);
  void listAll();
  milliseconds nextPollTimeout() const;
  void pollChanges();
  time_point lastKnownResponse() const;
  void recordResponse(time_point At);
  time_point respondedAt(const host_link::MirroredKind &Message) const;
  void recordRelayedResponse(const host_link::MirroredKind &Message);
  void recordSuccess();
  milliseconds recordFailure(const std::exception &Error);

  const runtime_clock &Clock;
  const platform_port &Platform;
  const std::string Kind;
  const mirror_settings Settings;
  std::function<void()> OnChange;
  std::function<bool()> IsRelayed;
  mutable std::mutex Mutex;
  std::map<std::string, platform_object, std::less<>> Objects;
  bool Initialized = false;
  bool MustList = true;
  bool PlatformReachable = true;
  std::uint64_t Cursor = 0;
  /// Unset if the objects came from a peer that states no era. The versions are
  /// then of era 0.
  bool EraKnown = true;
  /// Whether a peer has stated the era of objects while this copy's was
  /// unknown.
  bool PeerStatesEra = false;
  /// The version of the newest change seen, deletions included.
  std::uint64_t LastChange = 0;
  /// The newest change that a peer has and did not send.
  std::uint64_t WithheldChange = 0;
  /// The objects that were deleted after DeletionsKnownSince, the latest one
  /// last.
  std::deque<deleted_object> Deletions;
  std::uint64_t DeletionsKnownSince = 0;
  milliseconds FailurePause{0};
  time_point PollStartedAt;
  /// When a poll failed after one that succeeded.
  time_point LostSince;
  /// When the platform last responded to this host.
  time_point LastResponseAt;
  /// When the platform last responded to the host that relays to this one.
  time_point RelayResponseAt;
  /// When this copy had all objects that the platform had.
  time_point CompleteAt;
  /// When the platform responded again after its last outage.
  time_point AvailableSince;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_OBJECT_MIRROR_H
