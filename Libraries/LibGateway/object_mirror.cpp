#include "LibGateway/object_mirror.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"

#include <algorithm>
#include <set>

namespace spindle {

object_mirror::object_mirror(const runtime_clock &Clock,
                             const platform_port &Platform, std::string Kind,
                             mirror_settings Settings)
    : Clock(Clock), Platform(Platform), Kind(std::move(Kind)),
      Settings(Settings) {}

/// Whether another host passes on what it hears, and hears the platform.
/// Precondition: Mutex is held.
bool object_mirror::isTold() const {
  return IsRelayed && IsRelayed() &&
         Clock.now() - RelayHeardAt <= Settings.RelayMaxAge;
}

milliseconds object_mirror::poll() {
  bool List = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    List = MustList;
    const bool LookedLately =
        LookedAt != time_point() &&
        Clock.now() - LookedAt < Settings.PollIntervalIfRelayed;
    if (!List && Reachable && LookedLately && isTold())
      return Settings.RelayCheckInterval;
  }
  try {
    if (List) {
      listAll();
      return milliseconds(0);
    }
    lookForChanges();
    return Settings.PauseAfterChange;
  } catch (const spindle_error &Error) {
    return noteFailure(Error);
  }
}

void object_mirror::noteAnswer() {
  FailurePause = milliseconds(0);
  LookedAt = Clock.now();
  if (Reachable)
    return;
  Reachable = true;
  ReachableSince = Clock.now();
  logEvent(log_event::MirrorBack, {{"kind", Kind}});
}

milliseconds object_mirror::noteFailure(const std::exception &Error) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const spindle_error *const Known =
      dynamic_cast<const spindle_error *>(&Error);
  if (Known && Known->code() == result_code::PlatformTooOld) {
    MustList = true;
    return milliseconds(0);
  }
  FailurePause =
      std::min(Settings.MaxPauseAfterFailure,
               std::max(Settings.PauseAfterFailure, FailurePause * 2));
  if (Reachable)
    logEvent(log_event::MirrorLost, {{"kind", Kind}, {"reason", Error.what()}});
  Reachable = false;
  return FailurePause;
}

void object_mirror::listAll() {
  platform_list List = Platform.List(Kind);
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    noteAnswer();
    MustList = false;
    if (Known && List.Version < Cursor)
      return;
    Objects.clear();
    for (platform_object &Object : List.Objects) {
      std::string Name = Object.Name;
      Objects.insert_or_assign(std::move(Name), std::move(Object));
    }
    Known = true;
    Cursor = List.Version;
    LastChange = List.Version;
    Gone.clear();
    GoneKnownSince = List.Version;
  }
  if (Changed)
    Changed();
}

void object_mirror::lookForChanges() {
  std::uint64_t From = 0;
  bool Relayed = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    From = Cursor;
    Relayed = isTold();
  }
  const platform_changes News = Platform.Changes(
      Kind, From,
      Relayed ? Settings.PollTimeoutIfRelayed : Settings.PollTimeout);
  bool Any = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    noteAnswer();
    // A peer may have told of later changes in the meantime.
    if (News.Version < Cursor)
      return;
    for (const platform_event &Event : News.Events) {
      Any = true;
      if (Event.Change == platform_change::Deleted) {
        Objects.erase(Event.Object.Name);
        noteGone(Event.Object.Name, News.Version);
        continue;
      }
      Objects.insert_or_assign(Event.Object.Name, Event.Object);
      std::erase_if(Gone, [&Event](const gone_object &Each) {
        return Each.Name == Event.Object.Name;
      });
    }
    Cursor = News.Version;
    if (Any)
      LastChange = News.Version;
  }
  if (Any && Changed)
    Changed();
}

bool object_mirror::isInitialized() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Known;
}

std::vector<platform_object> object_mirror::objects() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<platform_object> All;
  All.reserve(Objects.size());
  for (const auto &[Name, Object] : Objects)
    All.push_back(Object);
  return All;
}

std::optional<platform_object>
object_mirror::find(std::string_view Name) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Objects.find(Name);
  if (Found == Objects.end())
    return std::nullopt;
  return Found->second;
}

void object_mirror::applyOwnWrite(const platform_object &Object) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  platform_object &Mine = Objects[Object.Name];
  if (Mine.Version < Object.Version)
    Mine = Object;
}

bool object_mirror::isPlatformReachable() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Reachable;
}

time_point object_mirror::platformReachableSince() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return ReachableSince;
}

std::uint64_t object_mirror::cursor() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Cursor;
}

/// Precondition: Mutex is held.
void object_mirror::noteGone(const std::string &Name, std::uint64_t Revision) {
  static constexpr std::size_t MostKept = 1'000;
  Gone.push_back({Name, Revision});
  if (Gone.size() <= MostKept)
    return;
  GoneKnownSince = std::max(GoneKnownSince, Gone.front().Revision);
  Gone.pop_front();
}

void object_mirror::writeChangesSince(std::uint64_t PeerCursor,
                                      host_link::MirroredKind &Message) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Message.set_kind(Kind);
  Message.set_cursor(Cursor);
  Message.set_heard_ms(
      std::chrono::duration_cast<milliseconds>(Clock.now() - LookedAt).count());
  if (!Known || LastChange <= PeerCursor)
    return;
  const bool OnlyChanges = PeerCursor > 0 && PeerCursor >= GoneKnownSince;
  Message.set_complete(!OnlyChanges);
  if (OnlyChanges)
    Message.set_since(PeerCursor);
  for (const auto &[Name, Object] : Objects) {
    const bool IsNews = Object.Version > PeerCursor;
    if (OnlyChanges && !IsNews)
      continue;
    host_link::MirroredObject &Written = *Message.add_objects();
    Written.set_name(Name);
    Written.set_revision(Object.Version);
    if (IsNews)
      Written.set_body(Object.Body);
  }
  if (!OnlyChanges)
    return;
  for (const gone_object &Each : Gone) {
    if (Each.Revision <= PeerCursor)
      continue;
    host_link::MirroredObject &Written = *Message.add_gone();
    Written.set_name(Each.Name);
    Written.set_revision(Each.Revision);
  }
}

/// Precondition: Mutex is held.
void object_mirror::take(const host_link::MirroredObject &Told) {
  platform_object &Mine = Objects[Told.name()];
  if (Mine.Version < Told.revision())
    Mine = {Kind, Told.name(), Told.revision(), Told.body()};
}

/// Precondition: Mutex is held.
void object_mirror::mergeAll(const host_link::MirroredKind &Message) {
  std::set<std::string, std::less<>> Named;
  for (const host_link::MirroredObject &Told : Message.objects()) {
    Named.insert(Told.name());
    take(Told);
  }
  std::erase_if(Objects, [&Named](const auto &Entry) {
    return !Named.contains(Entry.first);
  });
  Gone.clear();
  GoneKnownSince = Message.cursor();
}

/// Precondition: Mutex is held.
void object_mirror::mergeChanges(const host_link::MirroredKind &Message) {
  for (const host_link::MirroredObject &Told : Message.gone()) {
    const auto Found = Objects.find(Told.name());
    if (Found != Objects.end() && Found->second.Version <= Told.revision())
      Objects.erase(Found);
    noteGone(Told.name(), Told.revision());
  }
  for (const host_link::MirroredObject &Told : Message.objects()) {
    take(Told);
    std::erase_if(Gone, [&Told](const gone_object &Each) {
      return Each.Name == Told.name();
    });
  }
}

void object_mirror::merge(const host_link::MirroredKind &Message) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    RelayHeardAt =
        std::max(RelayHeardAt, Clock.now() - milliseconds(Message.heard_ms()));
    const bool OnlyChanges = !Message.complete() && Message.since() > 0;
    if (!Message.complete() && !OnlyChanges)
      return;
    if (Message.cursor() <= Cursor)
      return;
    // Changes from after what is known here leave a gap.
    if (OnlyChanges && (!Known || Message.since() > Cursor))
      return;
    if (OnlyChanges)
      mergeChanges(Message);
    else
      mergeAll(Message);
    Known = true;
    MustList = false;
    Cursor = Message.cursor();
    LastChange = Message.cursor();
  }
  logEvent(log_event::MirrorRelayed,
           {{"kind", Kind}, {"revision", std::to_string(Message.cursor())}});
  if (Changed)
    Changed();
}

} // namespace spindle
