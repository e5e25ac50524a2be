#include "LibGateway/object_mirror.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"
#include "LibPlatform/platform_version.h"

#include <algorithm>

namespace spindle {

static std::string countText(nanoseconds Time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(Time).count());
}

mirror_settings makeMirrorSettings(milliseconds ChangeDelay,
                                   milliseconds PauseAfterPoll) {
  static constexpr milliseconds MinDelay{1'000};
  static constexpr milliseconds MaxDelay{5'000};
  static constexpr milliseconds MinPollTimeout{1'000};
  static constexpr milliseconds OutageMargin{200};
  static constexpr milliseconds AgeMargin{500};
  const milliseconds Delay = std::clamp(ChangeDelay, MinDelay, MaxDelay);
  mirror_settings Settings;
  Settings.PollTimeout = std::max(MinPollTimeout, Delay / 3);
  Settings.RelayMaxAge = Delay * 13 / 20;
  Settings.PollIntervalIfRelayed = Delay * 5;
  Settings.PauseAfterPoll = PauseAfterPoll;
  Settings.OutageAfter = Settings.PollTimeout + PauseAfterPoll + OutageMargin;
  Settings.MaxAge = std::max(Delay * 9 / 10,
                             Settings.PollTimeout + PauseAfterPoll + AgeMargin);
  return Settings;
}

object_mirror::object_mirror(const runtime_clock &Clock,
                             const platform_port &Platform, std::string Kind,
                             mirror_settings Settings)
    : Clock(Clock), Platform(Platform), Kind(std::move(Kind)),
      Settings(Settings) {}

/// Whether another host relays changes and has had a recent response from the
/// platform.
/// Precondition: Mutex is held.
bool object_mirror::isRelayCurrent() const {
  return IsRelayed && IsRelayed() &&
         Clock.now() - RelayResponseAt <= Settings.RelayMaxAge;
}

milliseconds object_mirror::poll() {
  bool List = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    List = MustList;
    PollStartedAt = Clock.now();
    const bool RespondedRecently =
        LastResponseAt != time_point() &&
        Clock.now() - LastResponseAt < Settings.PollIntervalIfRelayed;
    const bool IsBehind = WithheldChange > Cursor;
    if (!List && !IsBehind && PlatformReachable && RespondedRecently &&
        isRelayCurrent())
      return Settings.RelayCheckInterval;
  }
  try {
    if (List) {
      listAll();
      return milliseconds(0);
    }
    pollChanges();
    return Settings.PauseAfterPoll;
  } catch (const spindle_error &Error) {
    return recordFailure(Error);
  }
}

/// Precondition: Mutex is held.
time_point object_mirror::lastKnownResponse() const {
  return std::max(LastResponseAt, RelayResponseAt);
}

/// Records a response of the platform, to this host or to a peer.
/// Precondition: Mutex is held.
void object_mirror::recordResponse(time_point At) {
  const time_point Previous = lastKnownResponse();
  if (Previous == time_point() || At - Previous > Settings.OutageAfter)
    AvailableSince = At;
}

/// Precondition: Mutex is held.
void object_mirror::recordSuccess() {
  FailurePause = milliseconds(0);
  recordResponse(Clock.now());
  LastResponseAt = Clock.now();
  CompleteAt = LastResponseAt;
  if (PlatformReachable)
    return;
  PlatformReachable = true;
  logEvent(log_event::MirrorBack,
           {{"kind", Kind}, {"lost_ms", countText(Clock.now() - LostSince)}});
}

milliseconds object_mirror::recordFailure(const std::exception &Error) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const spindle_error *const PlatformError =
      dynamic_cast<const spindle_error *>(&Error);
  if (PlatformError && PlatformError->code() == result_code::PlatformTooOld) {
    MustList = true;
    return milliseconds(0);
  }
  FailurePause =
      std::min(Settings.MaxPauseAfterFailure,
               std::max(Settings.PauseAfterFailure, FailurePause * 2));
  if (PlatformReachable) {
    const time_point Now = Clock.now();
    logEvent(log_event::MirrorLost,
             {{"kind", Kind},
              {"waited_ms", countText(Now - PollStartedAt)},
              {"relay_age_ms", RelayResponseAt == time_point()
                                   ? std::string()
                                   : countText(Now - RelayResponseAt)},
              {"reason", Error.what()}});
    LostSince = Now;
  }
  PlatformReachable = false;
  return FailurePause;
}

/// Prepares for all objects that the platform had at \p Version. Those of
/// another era are dropped. What was registered may be missing after a restore
/// until it is written again, as after an outage.
/// Precondition: Mutex is held.
void object_mirror::beginWholeCopy(std::uint64_t Version, bool IsSameEra) {
  if (Initialized && !IsSameEra) {
    AvailableSince = Clock.now();
    Objects.clear();
    if (EraKnown)
      logEvent(log_event::MirrorRestored,
               {{"kind", Kind},
                {"previous_era", std::to_string(eraOf(Cursor))},
                {"previous_revision", std::to_string(revisionOf(Cursor))},
                {"era", std::to_string(eraOf(Version))},
                {"revision", std::to_string(revisionOf(Version))}});
  }
  Initialized = true;
  Cursor = Version;
  LastChange = Version;
  Deletions.clear();
  DeletionsKnownSince = Version;
}

void object_mirror::listAll() {
  platform_list List = Platform.List(Kind);
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    // A peer has relayed objects from after a restore in the meantime.
    if (EraKnown && eraOf(List.Version) < eraOf(Cursor))
      throw spindle_error(result_code::PlatformUnavailable,
                          "the list is from before the platform was restored");
    recordSuccess();
    MustList = false;
    if (Initialized && EraKnown && List.Version < Cursor)
      return;
    beginWholeCopy(List.Version,
                   EraKnown && eraOf(List.Version) == eraOf(Cursor));
    EraKnown = true;
    Objects.clear();
    for (platform_object &Object : List.Objects) {
      std::string Name = Object.Name;
      Objects.insert_or_assign(std::move(Name), std::move(Object));
    }
  }
  if (OnChange)
    OnChange();
}

/// How long the next poll may be held open: the older the copy, the sooner it
/// has to be confirmed.
milliseconds object_mirror::nextPollTimeout() const {
  const milliseconds MaxAge =
      Settings.RelayMaxAge + Settings.RelayCheckInterval;
  const milliseconds Left =
      MaxAge - std::chrono::duration_cast<milliseconds>(age());
  return std::clamp(Left, milliseconds(0), Settings.PollTimeout);
}

void object_mirror::pollChanges() {
  const platform_changes Batch =
      Platform.Changes(Kind, cursor(), nextPollTimeout());
  bool HasChanges = false;
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    // A peer has relayed objects from after a restore in the meantime.
    if (eraOf(Batch.Version) != eraOf(Cursor))
      return;
    recordSuccess();
    // A peer may have relayed later changes in the meantime.
    if (Batch.Version < Cursor)
      return;
    for (const platform_event &Event : Batch.Events) {
      HasChanges = true;
      if (Event.Change == platform_change::Deleted) {
        Objects.erase(Event.Object.Name);
        recordDeletion(Event.Object.Name, Batch.Version);
        continue;
      }
      Objects.insert_or_assign(Event.Object.Name, Event.Object);
      std::erase_if(Deletions, [&Event](const deleted_object &Deletion) {
        return Deletion.Name == Event.Object.Name;
      });
    }
    Cursor = Batch.Version;
    if (HasChanges)
      LastChange = Batch.Version;
  }
  if (HasChanges && OnChange)
    OnChange();
}

bool object_mirror::isInitialized() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Initialized;
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
  if (eraOf(Object.Version) != eraOf(Cursor)) {
    MustList = MustList || Object.Version > Cursor;
    return;
  }
  platform_object &Local = Objects[Object.Name];
  if (Local.Version < Object.Version)
    Local = Object;
}

bool object_mirror::isPlatformReachable() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return PlatformReachable;
}

nanoseconds object_mirror::age() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Clock.now() - CompleteAt;
}

platform_availability object_mirror::availability() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const time_point Last = lastKnownResponse();
  const bool Available =
      Last == time_point() || Clock.now() - Last <= Settings.OutageAfter;
  return {Available, AvailableSince};
}

std::uint64_t object_mirror::cursor() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Cursor;
}

/// Precondition: Mutex is held.
void object_mirror::recordDeletion(const std::string &Name,
                                   std::uint64_t Version) {
  static constexpr std::size_t MaxDeletions = 1'000;
  Deletions.push_back({Name, Version});
  if (Deletions.size() <= MaxDeletions)
    return;
  DeletionsKnownSince =
      std::max(DeletionsKnownSince, Deletions.front().Version);
  Deletions.pop_front();
}

} // namespace spindle
