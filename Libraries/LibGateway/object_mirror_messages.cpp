// The part of object_mirror that writes messages to peers and merges theirs.

#include "LibGateway/object_mirror.h"

#include "LibLog/log.h"
#include "LibPlatform/platform_version.h"

#include <algorithm>
#include <set>

namespace spindle {

static std::int64_t countMilliseconds(nanoseconds Time) {
  return std::chrono::duration_cast<milliseconds>(Time).count();
}

/// Whether this copy may be relayed. One of an unknown era is not relayed any
/// more once a peer can send one of a known era.
/// Precondition: Mutex is held.
bool object_mirror::mayRelay() const {
  return Initialized && (EraKnown || !PeerStatesEra);
}

/// Precondition: Mutex is held.
mirror_position object_mirror::ownPosition() const {
  if (EraKnown)
    return {revisionOf(Cursor), eraOf(Cursor)};
  // A peer whose copy's era is known sends all of it to a host with nothing.
  if (PeerStatesEra)
    return {0, 0};
  return {Cursor, std::nullopt};
}

mirror_position object_mirror::position() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return ownPosition();
}

std::uint64_t object_mirror::versionOf(const mirror_position &Peer) const {
  if (Peer.Revision == 0)
    return 0;
  const std::lock_guard<std::mutex> Lock(Mutex);
  return makeVersion(Peer.Era.value_or(eraOf(Cursor)), Peer.Revision)
      .value_or(0);
}

/// Writes what is known of the platform, without objects.
/// Precondition: Mutex is held.
void object_mirror::writeState(std::uint64_t PeerCursor,
                               host_link::MirroredKind &Message) const {
  const mirror_position Position = ownPosition();
  Message.set_kind(Kind);
  Message.set_cursor(Position.Revision);
  if (Position.Era)
    Message.set_era(*Position.Era);
  // A peer in an earlier era has nothing of this one.
  const bool IsSameEra = eraOf(PeerCursor) == eraOf(Cursor);
  if (mayRelay() && (IsSameEra || PeerCursor < Cursor))
    Message.set_base(IsSameEra ? revisionOf(PeerCursor) : 0);
  Message.set_heard_ms(countMilliseconds(Clock.now() - LastResponseAt));
  Message.set_available_ms(countMilliseconds(LastResponseAt - AvailableSince));
}

/// Precondition: Mutex is held.
void object_mirror::writeObjects(std::uint64_t PeerCursor,
                                 host_link::MirroredKind &Message) const {
  const bool IsIncremental =
      PeerCursor > 0 && PeerCursor >= DeletionsKnownSince;
  Message.set_complete(!IsIncremental);
  if (IsIncremental)
    Message.set_since(revisionOf(PeerCursor));
  for (const auto &[Name, Object] : Objects) {
    const bool IsNewer = Object.Version > PeerCursor;
    if (IsIncremental && !IsNewer)
      continue;
    host_link::MirroredObject &Written = *Message.add_objects();
    Written.set_name(Name);
    Written.set_revision(revisionOf(Object.Version));
    if (IsNewer)
      Written.set_body(Object.Body);
  }
  if (!IsIncremental)
    return;
  for (const deleted_object &Deletion : Deletions) {
    if (Deletion.Version <= PeerCursor)
      continue;
    host_link::MirroredObject &Written = *Message.add_gone();
    Written.set_name(Deletion.Name);
    Written.set_revision(revisionOf(Deletion.Version));
  }
}

// A leader on a slow link sends an object of this size to all hosts of its zone
// within the time limit of a call.
static constexpr std::size_t MaxSmallBytes = 32'768;

/// Precondition: Mutex is held.
bool object_mirror::hasLargeChangeSince(std::uint64_t PeerCursor) const {
  return std::any_of(Objects.begin(), Objects.end(),
                     [PeerCursor](const auto &Entry) {
                       return Entry.second.Version > PeerCursor &&
                              Entry.second.Body.size() > MaxSmallBytes;
                     });
}

void object_mirror::writeChangesSince(std::uint64_t PeerCursor,
                                      host_link::MirroredKind &Message) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  writeState(PeerCursor, Message);
  if (mayRelay() && LastChange > PeerCursor)
    writeObjects(PeerCursor, Message);
}

void object_mirror::writeSmallChangesSince(
    std::uint64_t PeerCursor, host_link::MirroredKind &Message) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  writeState(PeerCursor, Message);
  if (!mayRelay() || LastChange <= PeerCursor)
    return;
  if (hasLargeChangeSince(PeerCursor))
    Message.set_withheld(revisionOf(LastChange));
  else
    writeObjects(PeerCursor, Message);
}

bool object_mirror::needsPeer() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return WithheldChange > Cursor && !PlatformReachable;
}

/// The version of a revision that a message of a readable era states.
static std::uint64_t versionIn(std::uint64_t Era, std::uint64_t Revision) {
  return makeVersion(Era, Revision).value_or(0);
}

/// Whether a message states only versions that exist.
static bool isReadable(const host_link::MirroredKind &Message) {
  const auto HasRevision = [](const host_link::MirroredObject &Object) {
    return Object.revision() <= MaxRevision;
  };
  return Message.era() <= MaxEra && Message.cursor() <= MaxRevision &&
         Message.since() <= MaxRevision && Message.base() <= MaxRevision &&
         Message.withheld() <= MaxRevision &&
         std::all_of(Message.objects().begin(), Message.objects().end(),
                     HasRevision) &&
         std::all_of(Message.gone().begin(), Message.gone().end(), HasRevision);
}

/// Precondition: Mutex is held.
object_mirror::message_era
object_mirror::compareEra(const host_link::MirroredKind &Message) const {
  if (!Message.has_era()) {
    const bool IsComparable = !EraKnown || eraOf(Cursor) == 0;
    return IsComparable ? message_era::Same : message_era::Earlier;
  }
  if (!EraKnown)
    return Message.cursor() > 0 ? message_era::Later : message_era::Earlier;
  if (Message.era() == eraOf(Cursor))
    return message_era::Same;
  return Message.era() < eraOf(Cursor) ? message_era::Earlier
                                       : message_era::Later;
}

/// Precondition: Mutex is held.
void object_mirror::mergeObject(const host_link::MirroredObject &Remote,
                                std::uint64_t Era) {
  const std::uint64_t Version = versionIn(Era, Remote.revision());
  platform_object &Local = Objects[Remote.name()];
  if (Local.Version < Version)
    Local = {Kind, Remote.name(), Version, Remote.body()};
}

/// Precondition: Mutex is held.
void object_mirror::mergeAll(const host_link::MirroredKind &Message,
                             message_era Era) {
  const bool WasKnown = Initialized && EraKnown;
  beginWholeCopy(versionIn(Message.era(), Message.cursor()),
                 Era == message_era::Same);
  EraKnown = WasKnown || Message.has_era();
  std::set<std::string, std::less<>> Names;
  for (const host_link::MirroredObject &Remote : Message.objects()) {
    Names.insert(Remote.name());
    mergeObject(Remote, Message.era());
  }
  std::erase_if(Objects, [&Names](const auto &Entry) {
    return !Names.contains(Entry.first);
  });
}

/// Precondition: Mutex is held.
void object_mirror::mergeChanges(const host_link::MirroredKind &Message) {
  for (const host_link::MirroredObject &Remote : Message.gone()) {
    const std::uint64_t Version = versionIn(Message.era(), Remote.revision());
    const auto Found = Objects.find(Remote.name());
    if (Found != Objects.end() && Found->second.Version <= Version)
      Objects.erase(Found);
    recordDeletion(Remote.name(), Version);
  }
  for (const host_link::MirroredObject &Remote : Message.objects()) {
    mergeObject(Remote, Message.era());
    std::erase_if(Deletions, [&Remote](const deleted_object &Deletion) {
      return Deletion.Name == Remote.name();
    });
  }
  Cursor = versionIn(Message.era(), Message.cursor());
  LastChange = Cursor;
}

/// When the platform responded to the sender of a message.
time_point
object_mirror::respondedAt(const host_link::MirroredKind &Message) const {
  return Clock.now() - milliseconds(Message.heard_ms());
}

/// Precondition: Mutex is held.
void object_mirror::recordRelayedResponse(
    const host_link::MirroredKind &Message) {
  const time_point At = respondedAt(Message);
  recordResponse(At);
  RelayResponseAt = std::max(RelayResponseAt, At);
  // A gap in what this host knows is no outage if a peer had responses
  // meanwhile.
  if (Clock.now() - At <= Settings.OutageAfter)
    AvailableSince =
        std::min(AvailableSince, At - milliseconds(Message.available_ms()));
}

/// Whether the objects of a message are new to this copy, and all are there
/// that it lacks.
/// Precondition: Mutex is held.
bool object_mirror::canMerge(const host_link::MirroredKind &Message,
                             message_era Era) const {
  const bool IsSameEra = Era == message_era::Same;
  if (IsSameEra && versionIn(Message.era(), Message.cursor()) <= Cursor)
    return false;
  // A message has no bodies of objects up to its base.
  if (Message.complete())
    return Message.base() == 0 ||
           (IsSameEra && versionIn(Message.era(), Message.base()) <= Cursor);
  // Changes that start after this mirror's cursor would leave a gap.
  return Initialized && IsSameEra && Message.since() > 0 &&
         versionIn(Message.era(), Message.since()) <= Cursor;
}

/// Merges the objects of a message, and returns whether it had any that are
/// new. Precondition: Mutex is held.
bool object_mirror::mergeObjects(const host_link::MirroredKind &Message,
                                 message_era Era) {
  if (!canMerge(Message, Era))
    return false;
  if (Message.complete())
    mergeAll(Message, Era);
  else
    mergeChanges(Message);
  // The platform may have been restored since a host of unknown era read it.
  MustList = !EraKnown;
  return true;
}

/// Whether this copy has all that the sender of a merged message has.
/// Precondition: Mutex is held, and the message is of this copy's era.
bool object_mirror::hasAllOf(const host_link::MirroredKind &Message) const {
  if (!Initialized || !EraKnown || !Message.has_base())
    return false;
  if (versionIn(Message.era(), Message.cursor()) <= Cursor)
    return true;
  const bool StatesNoChange =
      !Message.complete() && Message.since() == 0 && Message.withheld() == 0;
  return StatesNoChange && versionIn(Message.era(), Message.base()) <= Cursor;
}

/// Returns whether the message had new objects.
/// Precondition: Mutex is held.
bool object_mirror::mergeLocked(const host_link::MirroredKind &Message) {
  const message_era Era = compareEra(Message);
  if (!isReadable(Message) || Era == message_era::Earlier)
    return false;
  if (!EraKnown && Message.has_era())
    PeerStatesEra = true;
  if (Message.withheld() > 0)
    WithheldChange =
        std::max(WithheldChange, versionIn(Message.era(), Message.withheld()));
  const bool HasNew = mergeObjects(Message, Era);
  if (Initialized && compareEra(Message) != message_era::Same) {
    // The platform was restored, and the sender did not send all objects.
    MustList = true;
    return false;
  }
  recordRelayedResponse(Message);
  if (hasAllOf(Message))
    CompleteAt = std::max(CompleteAt, respondedAt(Message));
  return HasNew;
}

void object_mirror::merge(const host_link::MirroredKind &Message) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (!mergeLocked(Message))
      return;
  }
  logEvent(log_event::MirrorRelayed,
           {{"kind", Kind}, {"revision", std::to_string(Message.cursor())}});
  if (OnChange)
    OnChange();
}

} // namespace spindle
