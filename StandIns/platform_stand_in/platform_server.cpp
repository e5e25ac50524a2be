#include "platform_stand_in/platform_server.h"

#include "LibCore/result_code.h"
#include "LibPlatform/platform_message.h"
#include "LibRuntime/fiber_runtime.h"
#include "LibStandIn/json_exchange.h"
#include "platform_stand_in/platform_state.h"

namespace spindle {

using nlohmann::json;
using lock = std::unique_lock<std::mutex>;

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

/// Simulates the faults that keep a call from the store; returns whether it
/// may go on.
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
bool platform_server::state::admit(const api_call &Call, store_call Kind) {
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
  if (!admit(Call, store_call::Read))
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
  if (!admit(Call, store_call::Write))
    return;
  store_result Result;
  {
    const lock Lock(Mutex);
    if (takeLoss(Faults, Faults.LoseWrites, Call.Path.Kind))
      return Call.Exchange.abort();
    Result = write(Call);
    if (Result.Status == store_status::Done)
      Changed[Call.Path.Kind].notify_all();
    if (takeLoss(Faults, Faults.LoseAnswers, Call.Path.Kind))
      return Call.Exchange.abort();
  }
  const int Status = httpStatus(Result.Status, Method == "POST");
  if (Result.Status != store_status::Done)
    return respondError(Call.Exchange, Status, "the object was not written");
  respondText(Call.Exchange, Status, writeObject(Result.Object));
}

void platform_server::state::applySwitches(const json &Switches) {
  platform_faults New = readPlatformFaults(Switches);
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
        Exchange,
        [this] {
          const lock Lock(State->Mutex);
          return toSwitches(State->Faults);
        },
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
