#include "LibPlatform/http_platform.h"

#include "LibCore/result_code.h"
#include "LibLog/log.h"
#include "LibPlatform/platform_message.h"
#include "LibPlatform/platform_status.h"

#include <algorithm>
#include <atomic>
#include <cassert>

namespace spindle {

static constexpr std::size_t ObjectLimitBytes = 4 << 20;
static constexpr std::size_t ListLimitBytes = 64 << 20;
static constexpr std::size_t WatchLineLimitBytes = 4 << 20;
static constexpr std::size_t ErrorTextBytes = 200;

namespace {

/// What the functions of one port share.
struct http_platform {
  http_client &Client;
  http_platform_settings Settings;
  /// The server that calls go to at present, modulo the number of servers.
  std::atomic<std::size_t> Server{0};
  std::atomic<bool> Lost{false};
};

/// One call to the platform.
struct platform_request {
  std::string Method;
  std::string Target;
  std::string Body;
};

} // namespace

static const endpoint &currentServer(const http_platform &Platform) {
  const std::size_t Index =
      Platform.Server.load() % Platform.Settings.Servers.size();
  return Platform.Settings.Servers[Index];
}

static void noteResponse(http_platform &Platform) {
  if (Platform.Lost.exchange(false))
    logEvent(log_event::PlatformBack,
             {{"server", toText(currentServer(Platform))}});
}

/// Makes later calls go to the next server and reports the failure.
[[noreturn]] static void failed(http_platform &Platform,
                                const std::string &Message) {
  if (!Platform.Lost.exchange(true))
    logEvent(log_event::PlatformLost,
             {{"server", toText(currentServer(Platform))}, {"cause", Message}});
  Platform.Server.fetch_add(1);
  throw spindle_error(result_code::PlatformUnavailable, Message);
}

static http_request_head headOf(const http_platform &Platform,
                                const platform_request &Request) {
  http_request_head Head{Request.Method, Request.Target, {}};
  Head.Fields.push_back({"User-Agent", Platform.Settings.UserAgent});
  Head.Fields.push_back({"Accept", "application/json"});
  if (!Request.Body.empty())
    Head.Fields.push_back({"Content-Type", "application/json"});
  return Head;
}

static http_call_limits callLimits(const http_platform &Platform) {
  http_call_limits Limits;
  Limits.Connect = std::min(Limits.Connect, Platform.Settings.CallTimeout);
  Limits.FirstByte = Platform.Settings.CallTimeout;
  Limits.BetweenBytes = Platform.Settings.CallTimeout;
  return Limits;
}

/// Throws the failure that a status other than success stands for.
[[noreturn]] static void throwStatus(http_platform &Platform, int Status,
                                     const std::string &Target,
                                     std::string_view Body) {
  const std::string Message = "the platform answered " +
                              std::to_string(Status) + " to " + Target + ": " +
                              std::string(Body.substr(0, ErrorTextBytes));
  const result_code Code = codeOfStatus(Status);
  if (Code == result_code::PlatformUnavailable)
    failed(Platform, Message);
  throw spindle_error(Code, Message);
}

/// Sends one call and returns the body of its successful answer.
static std::string call(http_platform &Platform,
                        const platform_request &Request,
                        std::size_t LimitBytes) {
  // A write goes over a new connection: if a pooled one turns out to be closed,
  // the write may or may not have taken effect.
  const connection_use Use = Request.Method == "GET"
                                 ? connection_use::PooledIdempotent
                                 : connection_use::FreshOnce;
  http_response Response;
  try {
    Response = Platform.Client.call(currentServer(Platform),
                                    headOf(Platform, Request), Request.Body,
                                    callLimits(Platform), Use, LimitBytes);
  } catch (const spindle_error &Error) {
    failed(Platform, Error.what());
  }
  const int Status = Response.Head.Status;
  if (Status != 200 && Status != 201)
    throwStatus(Platform, Status, Request.Target, Response.Body);
  noteResponse(Platform);
  return std::move(Response.Body);
}

static std::string pathOf(const http_platform &Platform, std::string_view Kind,
                          std::string_view Name) {
  return platformPath(Platform.Settings.Namespace, Kind, Name);
}

static std::optional<platform_object>
get(http_platform &Platform, std::string_view Kind, std::string_view Name) {
  try {
    const std::string Body = call(
        Platform, {"GET", pathOf(Platform, Kind, Name), ""}, ObjectLimitBytes);
    return readObject(Kind, Body);
  } catch (const spindle_error &Error) {
    if (Error.code() == result_code::PlatformNotFound)
      return std::nullopt;
    throw;
  }
}

static platform_list list(http_platform &Platform, std::string_view Kind) {
  const std::string Body =
      call(Platform, {"GET", pathOf(Platform, Kind, ""), ""}, ListLimitBytes);
  return readList(Kind, Body);
}

static void checkSize(std::string_view Name, std::string_view Body) {
  if (Body.size() > PlatformValueLimitBytes)
    throw spindle_error(result_code::PlatformTooLarge,
                        "the value of " + std::string(Name) + " has " +
                            std::to_string(Body.size()) + " bytes");
}

static std::uint64_t create(http_platform &Platform, std::string_view Kind,
                            std::string_view Name, std::string_view Body) {
  checkSize(Name, Body);
  const platform_object Object{std::string(Kind), std::string(Name), 0,
                               std::string(Body)};
  const std::string Answer =
      call(Platform, {"POST", pathOf(Platform, Kind, ""), writeObject(Object)},
           ObjectLimitBytes);
  return readObject(Kind, Answer).Version;
}

static std::uint64_t update(http_platform &Platform, std::string_view Kind,
                            std::string_view Name, std::uint64_t Version,
                            std::string_view Body) {
  checkSize(Name, Body);
  const platform_object Object{std::string(Kind), std::string(Name), Version,
                               std::string(Body)};
  const std::string Answer =
      call(Platform, {"PUT", pathOf(Platform, Kind, Name), writeObject(Object)},
           ObjectLimitBytes);
  return readObject(Kind, Answer).Version;
}

static void remove(http_platform &Platform, std::string_view Kind,
                   std::string_view Name, std::uint64_t Version) {
  call(Platform,
       {"DELETE", pathOf(Platform, Kind, Name), writeDeleteOptions(Version)},
       ObjectLimitBytes);
}

namespace {

/// A watch that is being read.
struct running_watch {
  std::string_view Kind;
  time_point Deadline;
  const std::function<bool(const platform_event &)> &OnEvent;
  std::string Buffer;
};

} // namespace

/// Handles one line; returns whether the watch goes on.
static bool handleLine(http_platform &Platform, const running_watch &Watch,
                       std::string_view Line) {
  if (Line.empty())
    return true;
  const watch_line Read = readWatchLine(Watch.Kind, Line);
  switch (Read.Kind) {
  case watch_line_kind::Event:
    return Watch.OnEvent(Read.Event);
  case watch_line_kind::Bookmark:
    return true;
  case watch_line_kind::TooOld:
    throw spindle_error(result_code::PlatformTooOld, Read.Message);
  case watch_line_kind::Failed:
    failed(Platform, "the watch failed: " + Read.Message);
  }
  return false;
}

/// Handles the whole lines received; returns whether the watch goes on.
static bool handleLines(http_platform &Platform, running_watch &Watch) {
  std::size_t Start = 0;
  while (true) {
    const std::size_t End = Watch.Buffer.find('\n', Start);
    if (End == std::string::npos)
      break;
    const std::string_view Line =
        std::string_view(Watch.Buffer).substr(Start, End - Start);
    if (!handleLine(Platform, Watch, Line))
      return false;
    Start = End + 1;
  }
  Watch.Buffer.erase(0, Start);
  if (Watch.Buffer.size() > WatchLineLimitBytes)
    failed(Platform, "the watch sent a line without end");
  return true;
}

/// Reads a part of the answer; 0 at its end or when the watch's time is up.
static std::size_t readPart(http_platform &Platform, http_call &Call,
                            const running_watch &Watch,
                            std::span<char> Buffer) {
  const time_point Begin = boot_clock::now();
  try {
    return Call.readSome(Buffer);
  } catch (const spindle_error &Error) {
    const time_point Now = boot_clock::now();
    if (Error.code() == result_code::UpstreamTimeout && Now >= Watch.Deadline &&
        Now - Begin < Platform.Settings.WatchSilence)
      return 0;
    failed(Platform, Error.what());
  }
}

static std::unique_ptr<http_call> startWatch(http_platform &Platform,
                                             std::string_view Kind,
                                             std::uint64_t FromVersion,
                                             milliseconds Limit) {
  const auto Whole = std::chrono::ceil<seconds>(Limit);
  const platform_request Request{
      "GET",
      pathOf(Platform, Kind, "") +
          "?watch=true&allowWatchBookmarks=true&resourceVersion=" +
          std::to_string(FromVersion) +
          "&timeoutSeconds=" + std::to_string(Whole.count()),
      ""};
  http_call_limits Limits = callLimits(Platform);
  Limits.BetweenBytes = std::min(Platform.Settings.WatchSilence, Limit);
  try {
    return Platform.Client.start(currentServer(Platform),
                                 headOf(Platform, Request), "", Limits,
                                 connection_use::FreshOnce);
  } catch (const spindle_error &Error) {
    failed(Platform, Error.what());
  }
}

static void watch(http_platform &Platform, std::string_view Kind,
                  std::uint64_t FromVersion, milliseconds Limit,
                  const std::function<bool(const platform_event &)> &OnEvent) {
  static constexpr std::size_t PartBytes = 16'384;
  running_watch Watch{Kind, boot_clock::now() + Limit, OnEvent, {}};
  const std::unique_ptr<http_call> Call =
      startWatch(Platform, Kind, FromVersion, Limit);
  if (Call->head().Status != 200)
    throwStatus(Platform, Call->head().Status,
                "a watch on " + std::string(Kind), "");
  noteResponse(Platform);
  std::vector<char> Part(PartBytes);
  while (true) {
    const std::size_t Size = readPart(Platform, *Call, Watch, Part);
    if (Size == 0)
      return;
    Watch.Buffer.append(Part.data(), Size);
    if (!handleLines(Platform, Watch) || boot_clock::now() >= Watch.Deadline)
      return;
  }
}

platform_port makeHttpPlatform(http_client &Client,
                               http_platform_settings Settings) {
  assert(!Settings.Servers.empty() && "the platform needs a server");
  // The functions share one state, which holds atomics and can't be moved.
  const std::shared_ptr<http_platform> Platform(
      new http_platform{Client, std::move(Settings)});
  platform_port Port;
  Port.Get = [Platform](std::string_view Kind, std::string_view Name) {
    return get(*Platform, Kind, Name);
  };
  Port.List = [Platform](std::string_view Kind) {
    return list(*Platform, Kind);
  };
  Port.Create = [Platform](std::string_view Kind, std::string_view Name,
                           std::string_view Body) {
    return create(*Platform, Kind, Name, Body);
  };
  Port.Update = [Platform](std::string_view Kind, std::string_view Name,
                           std::uint64_t Version, std::string_view Body) {
    return update(*Platform, Kind, Name, Version, Body);
  };
  Port.Remove = [Platform](std::string_view Kind, std::string_view Name,
                           std::uint64_t Version) {
    remove(*Platform, Kind, Name, Version);
  };
  Port.Watch =
      [Platform](std::string_view Kind, std::uint64_t FromVersion,
                 milliseconds Limit,
                 const std::function<bool(const platform_event &)> &OnEvent) {
        watch(*Platform, Kind, FromVersion, Limit, OnEvent);
      };
  return Port;
}

} // namespace spindle
