#ifndef PARSLEYSPINDLE_LIBGATEWAY_OBJECT_MIRROR_H
#define PARSLEYSPINDLE_LIBGATEWAY_OBJECT_MIRROR_H

#include "LibCore/runtime_clock.h"
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
  /// How long the platform may hold a look at changes open. A look may hear
  /// nothing although there are changes, so this bounds how late they come.
  milliseconds PollTimeout{1'000};
  /// The same while another host tells of what this one does not hear.
  milliseconds PollTimeoutIfRelayed{5'000};
  /// Between two looks while another host tells, and how often it is asked
  /// whether that one still does.
  milliseconds PollIntervalIfRelayed{3'000};
  milliseconds RelayCheckInterval{200};
  /// The other host hears the platform at least so often: a look of PollTimeout
  /// and an exchange with it.
  milliseconds RelayMaxAge{1'300};
  /// The pause after changes came, so that a busy kind costs few calls.
  milliseconds PauseAfterPoll{0};
  milliseconds PauseAfterFailure{250};
  milliseconds MaxPauseAfterFailure{1'000};
};

/// A copy of the platform's objects of one kind, kept up to date by looks at
/// their changes, or by what peers tell of theirs while the platform can't be
/// reached. Thread-safe in every method; only step() blocks the fiber.
class object_mirror {
public:
  /// \p Clock and \p Platform must outlive the mirror.
  object_mirror(const runtime_clock &Clock, const platform_port &Platform,
                std::string Kind, mirror_settings Settings);

  /// What runs after each change, on the fiber that brought it. Set it before
  /// the first step.
  void onChange(std::function<void()> Hook) { OnChange = std::move(Hook); }
  /// Tells whether another host passes on what it hears. Set it before the
  /// first step.
  void setRelayPredicate(std::function<bool()> Ask) {
    IsRelayed = std::move(Ask);
  }
  /// Lists the kind, or waits for changes. Returns the pause until the next
  /// step. Never throws for a platform that doesn't answer.
  milliseconds poll();
  /// Whether the objects were ever read, from the platform or a peer.
  bool isInitialized() const;
  std::vector<platform_object> objects() const;
  std::optional<platform_object> find(std::string_view Name) const;
  /// Tells of a write of this host, so that it need not wait for the look.
  void applyOwnWrite(const platform_object &Object);
  /// Whether the platform answered the last step.
  bool isPlatformReachable() const;
  /// When the platform answered again after it had not, or the epoch.
  time_point platformReachableSince() const;
  const std::string &kind() const { return Kind; }

  /// The revision up to which all changes are known.
  std::uint64_t cursor() const;
  /// Writes what a peer lacks that knows all up to \p PeerCursor: the changes
  /// since then, or everything if they are not known any more.
  void writeChangesSince(std::uint64_t PeerCursor,
                         host_link::MirroredKind &Message) const;
  /// Takes over what a peer knows better.
  void merge(const host_link::MirroredKind &Message);

private:
  /// An object that is gone, and a revision at which it was.
  struct deleted_object {
    std::string Name;
    std::uint64_t Revision = 0;
  };

  bool isRelayCurrent() const;
  void recordDeletion(const std::string &Name, std::uint64_t Revision);
  void mergeChanges(const host_link::MirroredKind &Message);
  void mergeAll(const host_link::MirroredKind &Message);
  void mergeObject(const host_link::MirroredObject &Remote);
  void listAll();
  void pollChanges();
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
  time_point PlatformReachableSince;
  std::uint64_t Cursor = 0;
  /// The newest change that was seen, deletions included.
  std::uint64_t LastChange = 0;
  /// The objects that were removed after DeletionsKnownSince, the last one
  /// last.
  std::deque<deleted_object> Deletions;
  std::uint64_t DeletionsKnownSince = 0;
  milliseconds FailurePause{0};
  /// When the last look ended.
  time_point LastResponseAt;
  /// When the platform answered the host that tells this one.
  time_point RelayResponseAt;
};

} // namespace spindle

#endif // PARSLEYSPINDLE_LIBGATEWAY_OBJECT_MIRROR_H
