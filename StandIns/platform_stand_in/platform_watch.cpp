#include "LibPlatform/platform_message.h"
#include "LibStandIn/json_exchange.h"
#include "platform_stand_in/platform_state.h"

#include <algorithm>

namespace spindle {

using lock = std::unique_lock<std::mutex>;

/// How often a waiting watch checks whether its caller has left.
static constexpr nanoseconds CallerCheckInterval = milliseconds(50);
static constexpr seconds DefaultWatchTime{300};

static std::string_view typeName(platform_change Change) {
  switch (Change) {
  case platform_change::Added:
    return "ADDED";
  case platform_change::Modified:
    return "MODIFIED";
  case platform_change::Deleted:
    return "DELETED";
  }
  return "";
}

static std::string eventLine(const platform_event &Event) {
  return "{\"type\":\"" + std::string(typeName(Event.Change)) +
         "\",\"object\":" + writeObject(Event.Object) + "}\n";
}

static std::string bookmarkLine(std::uint64_t Version) {
  return "{\"type\":\"BOOKMARK\",\"object\":{\"metadata\":{"
         "\"resourceVersion\":\"" +
         std::to_string(Version) + "\"}}}\n";
}

bool platform_server::state::silent(const open_watch &Watch) const {
  return Faults.StaleWatch || Faults.Hang ||
         isCut(Faults,
               findField(Watch.Call.Exchange.request().Fields, "User-Agent"));
}

/// The lines that are due now, and whether the watch has ended.
/// Precondition: Mutex is held.
std::string platform_server::state::linesNow(open_watch &Watch) {
  const bool Gone = Watch.Call.Exchange.callerGone();
  if (Gone || Faults.Down || Faults.CloseWatches != Watch.CloseEpoch) {
    Watch.Ended = true;
    return {};
  }
  if (silent(Watch))
    return {};
  std::vector<platform_event> Events;
  if (Store.changesSince(Watch.Call.Path.Kind, Watch.From, Events) !=
      store_status::Done) {
    Watch.Ended = true;
    return "{\"type\":\"ERROR\",\"object\":{\"kind\":\"Status\","
           "\"code\":410}}\n";
  }
  const time_point Now = boot_clock::now();
  Watch.Ended = Now >= Watch.Deadline;
  std::string Lines;
  for (const platform_event &Event : Events)
    Lines += eventLine(Event);
  Watch.From = Store.version();
  if (Lines.empty() && Now >= Watch.BookmarkAt)
    Lines = bookmarkLine(Watch.From);
  return Lines;
}

/// Waits until lines are due or the watch ends.
std::string platform_server::state::nextLines(open_watch &Watch) {
  lock Lock(Mutex);
  Watch.BookmarkAt = boot_clock::now() + Settings.BookmarkInterval;
  while (true) {
    std::string Lines = linesNow(Watch);
    if (!Lines.empty() || Watch.Ended)
      return Lines;
    const nanoseconds UntilDue =
        std::min(Watch.BookmarkAt, Watch.Deadline) - boot_clock::now();
    const nanoseconds Wait =
        silent(Watch)
            ? CallerCheckInterval
            : std::clamp(UntilDue, nanoseconds(0), CallerCheckInterval);
    Changed[Watch.Call.Path.Kind].wait_for(Lock, Wait);
  }
}

void platform_server::state::streamChanges(open_watch &Watch) {
  http_exchange &Exchange = Watch.Call.Exchange;
  Exchange.startStream({200, {{"Content-Type", "application/json"}}});
  while (!Watch.Ended) {
    const std::string Lines = nextLines(Watch);
    if (!Lines.empty())
      Exchange.writeSome(Lines);
  }
  Exchange.finishStream();
}

/// Counts the watch if its version is still kept.
bool platform_server::state::startWatch(open_watch &Watch) {
  const lock Lock(Mutex);
  std::vector<platform_event> Unused;
  if (Store.changesSince(Watch.Call.Path.Kind, Watch.From, Unused) !=
      store_status::Done)
    return false;
  Meter.watchStarted();
  Watch.CloseEpoch = Faults.CloseWatches;
  return true;
}

void platform_server::state::serveWatch(const api_call &Call) {
  const std::string &Target = Call.Exchange.request().Target;
  open_watch Watch{Call};
  Watch.Deadline = boot_clock::now() + DefaultWatchTime;
  try {
    Watch.From = std::stoull(queryParameter(Target, "resourceVersion"));
    const std::string Limit = queryParameter(Target, "timeoutSeconds");
    if (!Limit.empty())
      Watch.Deadline = boot_clock::now() + seconds(std::stol(Limit));
  } catch (const std::exception &) {
    return respondError(Call.Exchange, 400,
                        "resourceVersion or timeoutSeconds is not a number");
  }
  if (!startWatch(Watch))
    return respondError(Call.Exchange, 410, "the version is no longer kept");
  try {
    streamChanges(Watch);
  } catch (const std::exception &) {
    // The caller has left.
    Call.Exchange.abort();
  }
  const lock Lock(Mutex);
  Meter.watchEnded();
}

} // namespace spindle
