#include "platform_stand_in/platform_server.h"

#include "LibCore/result_code.h"
#include "LibPlatform/platform_message.h"
#include "LibRuntime/fiber_runtime.h"
#include "LibStandIn/json_exchange.h"
#include "platform_stand_in/platform_faults.h"

#include <map>
#include <mutex>

#include <boost/fiber/condition_variable.hpp>

namespace spindle {

using nlohmann::json;
using lock = std::unique_lock<std::mutex>;

namespace {

/// What a path of the API names; an empty name stands for the collection.
struct object_path {
  std::string Kind;
  std::string Name;
};

/// One call, its body read.
struct api_call {
  http_exchange &Exchange;
  object_path Path;
  platform_object Object;
};

} // namespace

struct platform_server::state {
  explicit state(const platform_server_settings &Settings)
      : Settings(Settings), Store(Settings.HistoryEvents),
        Weights(Settings.Weights) {
    Faults.Rates = Settings.Rates;
  }

  void serveApi(http_exchange &Exchange);
  bool passFaults(http_exchange &Exchange);
  void serveRead(const api_call &Call);
  void serveWrite(const api_call &Call);
  store_result write(const api_call &Call);
  void serveWatch(const api_call &Call);
  void streamChanges(const api_call &Call, std::uint64_t From);
  std::vector<std::string> nextLines(const api_call &Call, std::uint64_t &From,
                                     time_point Deadline, bool &Ended);
  bool admit(const api_call &Call, call_kind Kind);
  bool cut(const http_exchange &Exchange);
  json readSwitches();
  void applySwitches(const json &Switches);
  json counts();
  void serveWeights(http_exchange &Exchange);
  boost::fibers::condition_variable_any &changed(const std::string &Kind);

  const platform_server_settings Settings;
  std::mutex Mutex;
  object_store Store;
  rate_meter Meter;
  weight_store Weights;
  platform_faults Faults;
  /// Signalled at each write of a kind. Entries are never removed.
  std::map<std::string, boost::fibers::condition_variable_any> Changed;
};

static std::optional<object_path> parsePath(std::string_view Target) {
  std::string_view Path = pathOf(Target);
  if (!Path.starts_with(PlatformPathPrefix))
    return std::nullopt;
  Path.remove_prefix(PlatformPathPrefix.size());
  const std::size_t KindStart = Path.find('/');
  if (KindStart == std::string_view::npos)
    return std::nullopt;
  Path.remove_prefix(KindStart + 1);
  const std::size_t NameStart = Path.find('/');
  object_path Result;
  Result.Kind = decodePathSegment(Path.substr(0, NameStart));
  if (NameStart != std::string_view::npos)
    Result.Name = decodePathSegment(Path.substr(NameStart + 1));
  return Result;
}

/// Reads what a write sends: the object, or for DELETE its version.
static platform_object readWrite(http_exchange &Exchange,
                                 const object_path &Path) {
  const std::string Body = Exchange.readBody(StandInBodyLimitBytes);
  if (Exchange.request().Method != "DELETE")
    return readObject(Path.Kind, Body);
  platform_object Object{Path.Kind, Path.Name, 0, ""};
  const json Options = json::parse(Body, nullptr, false);
  if (Options.is_object() && Options.contains("preconditions"))
    Object.Version = std::stoull(
        Options["preconditions"].value("resourceVersion", std::string("0")));
  return Object;
}

bool platform_server::state::cut(const http_exchange &Exchange) {
  const lock Lock(Mutex);
  return isCut(Faults, findField(Exchange.request().Fields, "User-Agent"));
}

/// Plays the faults that keep a call from the store; returns whether it may
/// go on.
bool platform_server::state::passFaults(http_exchange &Exchange) {
  const auto Held = [&] {
    if (cut(Exchange))
      return true;
    const lock Lock(Mutex);
    return Faults.Hang;
  };
  if (Held()) {
    holdSilently(Exchange, [&] { return !Held(); });
    Exchange.abort();
    return false;
  }
  milliseconds Slow{0};
  {
    const lock Lock(Mutex);
    if (Faults.Down) {
      Exchange.abort();
      return false;
    }
    Slow = Faults.Slow;
  }
  if (Slow > milliseconds(0))
    sleepFor(Slow);
  return true;
}

/// Counts the call and answers 429 if the rate is exceeded.
bool platform_server::state::admit(const api_call &Call, call_kind Kind) {
  {
    const lock Lock(Mutex);
    if (Meter.admit(boot_clock::now(), Kind, Call.Path.Kind, Faults.Rates))
      return true;
  }
  respondError(Call.Exchange, 429, "too many calls");
  return false;
}

void platform_server::state::serveApi(http_exchange &Exchange) {
  const std::optional<object_path> Path = parsePath(Exchange.request().Target);
  if (!Path)
    return respondError(Exchange, 404, "no such path");
  if (!passFaults(Exchange))
    return;
  api_call Call{Exchange, *Path, {}};
  if (Exchange.request().Method == "GET")
    return serveRead(Call);
  try {
    Call.Object = readWrite(Exchange, *Path);
  } catch (const std::exception &Error) {
    return respondError(Exchange, 400, Error.what());
  }
  serveWrite(Call);
}

void platform_server::state::serveRead(const api_call &Call) {
  if (!admit(Call, call_kind::Read))
    return;
  if (queryParameter(Call.Exchange.request().Target, "watch") == "true")
    return serveWatch(Call);
  if (!Call.Path.Name.empty()) {
    std::optional<platform_object> Object;
    {
      const lock Lock(Mutex);
      Object = Store.get(Call.Path.Kind, Call.Path.Name);
    }
    if (!Object)
      return respondError(Call.Exchange, 404, "no such object");
    return respondText(Call.Exchange, 200, writeObject(*Object));
  }
  platform_list List;
  {
    const lock Lock(Mutex);
    List = Store.list(Call.Path.Kind);
  }
  std::string Text = R"({"apiVersion":"parsleyspindle/v1","kind":"List",)"
                     R"("metadata":{"resourceVersion":")" +
                     std::to_string(List.Version) + R"("},"items":[)";
  for (std::size_t Index = 0; Index < List.Objects.size(); ++Index) {
    Text += Index == 0 ? "" : ",";
    Text += writeObject(List.Objects[Index]);
  }
  respondText(Call.Exchange, 200, Text + "]}");
}

/// Makes the change in the store. Precondition: Mutex is held.
store_result platform_server::state::write(const api_call &Call) {
  const std::string &Method = Call.Exchange.request().Method;
  const std::string &Kind = Call.Path.Kind;
  if (Method == "POST")
    return Store.create(Kind, Call.Object.Name, Call.Object.Body);
  if (Method == "PUT")
    return Store.update(Kind, Call.Path.Name, Call.Object.Version,
                        Call.Object.Body);
  return Store.remove(Kind, Call.Path.Name, Call.Object.Version);
}

static int httpStatus(store_status Status, bool Created) {
  switch (Status) {
  case store_status::Done:
    return Created ? 201 : 200;
  case store_status::Exists:
  case store_status::Changed:
    return 409;
  case store_status::Missing:
    return 404;
  case store_status::TooLarge:
    return 413;
  case store_status::TooOld:
    return 410;
  }
  return 500;
}

void platform_server::state::serveWrite(const api_call &Call) {
  const std::string &Method = Call.Exchange.request().Method;
  if (Method != "POST" && Method != "PUT" && Method != "DELETE")
    return respondError(Call.Exchange, 405, "no such method");
  if (!admit(Call, call_kind::Write))
    return;
  store_result Result;
  {
    const lock Lock(Mutex);
    if (takeLoss(Faults, Faults.LoseWrites, Call.Path.Kind))
      return Call.Exchange.abort();
    Result = write(Call);
    if (Result.Status == store_status::Done)
      changed(Call.Path.Kind).notify_all();
    if (takeLoss(Faults, Faults.LoseAnswers, Call.Path.Kind))
      return Call.Exchange.abort();
  }
  const int Status = httpStatus(Result.Status, Method == "POST");
  if (Result.Status != store_status::Done)
    return respondError(Call.Exchange, Status, "the object was not written");
  respondText(Call.Exchange, Status, writeObject(Result.Object));
}

boost::fibers::condition_variable_any &
platform_server::state::changed(const std::string &Kind) {
  return Changed[Kind];
}

void platform_server::state::serveWatch(const api_call &Call) {
  const std::string &Target = Call.Exchange.request().Target;
  std::uint64_t From = 0;
  try {
    From = std::stoull(queryParameter(Target, "resourceVersion"));
  } catch (const std::exception &) {
    return respondError(Call.Exchange, 400, "resourceVersion is not a number");
  }
  {
    const lock Lock(Mutex);
    std::vector<platform_event> Unused;
    if (Store.changesSince(Call.Path.Kind, From, Unused) ==
        store_status::Done) {
      Meter.watchStarted();
      Unused.clear();
    } else {
      From = 0;
    }
  }
  if (From == 0 && queryParameter(Target, "resourceVersion") != "0")
    return respondError(Call.Exchange, 410, "the version is no longer kept");
  try {
    streamChanges(Call, From);
  } catch (const std::exception &) {
    // The caller has gone.
    Call.Exchange.abort();
  }
  const lock Lock(Mutex);
  Meter.watchEnded();
}

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

/// Waits for changes after \p From and returns their lines, or a bookmark.
/// Sets \p Ended at the watch's end and returns the error's line, if any.
std::vector<std::string> platform_server::state::nextLines(const api_call &Call,
                                                           std::uint64_t &From,
                                                           time_point Deadline,
                                                           bool &Ended) {
  lock Lock(Mutex);
  const std::int64_t CloseEpoch = Faults.CloseWatches;
  const time_point BookmarkAt =
      std::min(boot_clock::now() + Settings.BookmarkInterval, Deadline);
  while (true) {
    std::vector<platform_event> Events;
    const bool Silent =
        Faults.StaleWatch || Faults.Hang ||
        isCut(Faults, findField(Call.Exchange.request().Fields, "User-Agent"));
    if (Faults.Down || Faults.CloseWatches != CloseEpoch) {
      Ended = true;
      return {};
    }
    if (!Silent && Store.changesSince(Call.Path.Kind, From, Events) !=
                       store_status::Done) {
      Ended = true;
      return {"{\"type\":\"ERROR\",\"object\":{\"kind\":\"Status\","
              "\"code\":410}}\n"};
    }
    if (!Events.empty()) {
      std::vector<std::string> Lines;
      for (const platform_event &Event : Events)
        Lines.push_back(eventLine(Event));
      From = Events.back().Object.Version;
      return Lines;
    }
    const time_point Now = boot_clock::now();
    Ended = Now >= Deadline && !Silent;
    if (Now >= BookmarkAt && !Silent) {
      From = Store.version();
      return {"{\"type\":\"BOOKMARK\",\"object\":{\"kind\":\"\",\"metadata\":{"
              "\"resourceVersion\":\"" +
              std::to_string(From) + "\"}}}\n"};
    }
    const nanoseconds Wait =
        Silent ? nanoseconds(milliseconds(50)) : BookmarkAt - Now;
    changed(Call.Path.Kind).wait_for(Lock, Wait);
    if (Silent && Call.Exchange.callerGone()) {
      Ended = true;
      return {};
    }
  }
}

void platform_server::state::streamChanges(const api_call &Call,
                                           std::uint64_t From) {
  const std::string Limit =
      queryParameter(Call.Exchange.request().Target, "timeoutSeconds");
  const time_point Deadline =
      boot_clock::now() + seconds(Limit.empty() ? 300 : std::stol(Limit));
  http_response_head Head;
  Head.Fields.push_back({"Content-Type", "application/json"});
  Call.Exchange.startStream(Head);
  bool Ended = false;
  while (!Ended)
    for (const std::string &Line : nextLines(Call, From, Deadline, Ended))
      Call.Exchange.writeSome(Line);
  Call.Exchange.finishStream();
}

json platform_server::state::readSwitches() {
  const lock Lock(Mutex);
  return {{"down", Faults.Down},
          {"hang", Faults.Hang},
          {"stale_watch", Faults.StaleWatch},
          {"slow_ms", Faults.Slow.count()},
          {"lose_writes", Faults.LoseWrites},
          {"lose_answers", Faults.LoseAnswers},
          {"lose_kind", Faults.LoseKind},
          {"close_watches", Faults.CloseWatches},
          {"drop_history", Faults.DropHistory},
          {"cut_zones", Faults.CutZones},
          {"cut_hosts", Faults.CutHosts},
          {"reads_per_second", Faults.Rates.ReadsPerSecond},
          {"writes_per_second", Faults.Rates.WritesPerSecond}};
}

void platform_server::state::applySwitches(const json &Switches) {
  platform_faults New;
  Switches.at("down").get_to(New.Down);
  Switches.at("hang").get_to(New.Hang);
  Switches.at("stale_watch").get_to(New.StaleWatch);
  New.Slow = milliseconds(Switches.at("slow_ms").get<std::int64_t>());
  Switches.at("lose_writes").get_to(New.LoseWrites);
  Switches.at("lose_answers").get_to(New.LoseAnswers);
  Switches.at("lose_kind").get_to(New.LoseKind);
  Switches.at("close_watches").get_to(New.CloseWatches);
  Switches.at("drop_history").get_to(New.DropHistory);
  Switches.at("cut_zones").get_to(New.CutZones);
  Switches.at("cut_hosts").get_to(New.CutHosts);
  Switches.at("reads_per_second").get_to(New.Rates.ReadsPerSecond);
  Switches.at("writes_per_second").get_to(New.Rates.WritesPerSecond);
  const lock Lock(Mutex);
  if (New.DropHistory > Faults.DropHistory)
    Store.dropHistory();
  Faults = std::move(New);
  for (auto &[Kind, Condition] : Changed)
    Condition.notify_all();
}

json platform_server::state::counts() {
  const lock Lock(Mutex);
  const call_counts &Counts = Meter.counts();
  return {{"reads", Counts.Reads},
          {"writes", Counts.Writes},
          {"watches", Counts.Watches},
          {"open_watches", Meter.openWatches()},
          {"refused", Counts.Refused},
          {"peak_reads_per_second", Counts.PeakReads},
          {"peak_writes_per_second", Counts.PeakWrites},
          {"by_kind", Counts.ByKind},
          {"version", Store.version()},
          {"weight_loads", Weights.counts().Loads},
          {"weight_loads_delayed", Weights.counts().Delayed},
          {"weight_loads_peak_in_flight", Weights.counts().PeakInFlight}};
}

void platform_server::state::serveWeights(http_exchange &Exchange) {
  nanoseconds Wait{0};
  {
    const lock Lock(Mutex);
    Wait = Weights.startLoad(boot_clock::now());
  }
  respondJson(Exchange, 200,
              {{"wait_ms", std::chrono::ceil<milliseconds>(Wait).count()}});
}

platform_server::platform_server(const platform_server_settings &Settings)
    : State(std::make_unique<state>(Settings)) {}

platform_server::~platform_server() = default;

void platform_server::handle(http_exchange &Exchange) {
  const std::string_view Path = pathOf(Exchange.request().Target);
  if (Path == "/control")
    return serveControl(
        Exchange, [this] { return State->readSwitches(); },
        [this](const json &Switches) { State->applySwitches(Switches); });
  if (Path == "/control/counts")
    return respondJson(Exchange, 200, State->counts());
  if (Path == "/control/reset") {
    {
      const lock Lock(State->Mutex);
      State->Meter.resetCounts();
    }
    return respondJson(Exchange, 200, json::object());
  }
  if (Path == "/weights/acquire")
    return State->serveWeights(Exchange);
  State->serveApi(Exchange);
}

} // namespace spindle
