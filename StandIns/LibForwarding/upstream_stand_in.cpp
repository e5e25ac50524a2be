#include "LibForwarding/upstream_stand_in.h"

#include "LibStandIn/json_exchange.h"

#include <cstdlib>

namespace spindle {

using json = nlohmann::json;
using lock = std::lock_guard<std::mutex>;

static constexpr std::string_view IdField = "X-Parsleyspindle-Request-Id";
static constexpr std::string_view SealField = "X-Parsleyspindle-Server-Seal";
static constexpr std::string_view NotRunField = "X-Parsleyspindle-Not-Executed";
static constexpr std::string_view LimitField = "Server-Limit";
static constexpr std::string_view LeavingField = "Server-Leaving";
static constexpr std::string_view LoadField = "X-Parsleyspindle-Server-Load";
static constexpr std::string_view OnlyField =
    "X-Parsleyspindle-Expect-Instance";
static constexpr std::string_view VersionField =
    "X-Parsleyspindle-Expect-Version";
static constexpr std::string_view ModelField = "X-Parsleyspindle-Model";

upstream_stand_in::upstream_stand_in(fiber_runtime &Runtime, std::string Name,
                                     std::string Service, std::string Zone,
                                     std::string Model)
    : Name(std::move(Name)), Service(std::move(Service)), Zone(std::move(Zone)),
      Model(std::move(Model)),
      Server(
          Runtime, {"127.0.0.1", 0}, {},
          [this](http_exchange &Exchange) { serve(Exchange); },
          writeErrorResponse) {}

json upstream_stand_in::models() const {
  json Names = json::array();
  for (const auto &[Adapter, Version] : Adapters)
    Names.push_back(Adapter + "@" + std::to_string(Version));
  return json::array({{{"name", Model}, {"version", 1}, {"adapters", Names}}});
}

json upstream_stand_in::registration(std::string_view State) {
  const lock Lock(Mutex);
  json Entry = {{"service", Service}, {"address", toText(Server.address())},
                {"zone", Zone},       {"version", "v1"},
                {"slots", 8},         {"state", State},
                {"cold-left-ms", 0},  {"sequence", OrderCount},
                {"born", 1}};
  if (!Model.empty())
    Entry["models"] = models();
  return Entry;
}

void upstream_stand_in::set(const upstream_switches &NewSwitches) {
  const lock Lock(Mutex);
  Switches = NewSwitches;
}

int upstream_stand_in::runsOf(const std::string &AttemptId) const {
  const lock Lock(Mutex);
  const auto Found = Runs.find(AttemptId);
  return Found == Runs.end() ? 0 : Found->second;
}

std::size_t upstream_stand_in::runs() const {
  const lock Lock(Mutex);
  std::size_t Sum = 0;
  for (const auto &[Id, Count] : Runs)
    Sum += static_cast<std::size_t>(Count);
  return Sum;
}

std::vector<time_point> upstream_stand_in::arrivals() const {
  const lock Lock(Mutex);
  return Arrivals;
}

http_request_head upstream_stand_in::lastRequest() const {
  const lock Lock(Mutex);
  return Last;
}

std::string upstream_stand_in::lastBody() const {
  const lock Lock(Mutex);
  return LastBody;
}

std::set<std::string> upstream_stand_in::adapters() const {
  const lock Lock(Mutex);
  std::set<std::string> Names;
  for (const auto &[Adapter, Version] : Adapters)
    Names.insert(Adapter + "@" + std::to_string(Version));
  return Names;
}

void upstream_stand_in::serve(http_exchange &Exchange) {
  const std::string_view Path = pathOf(Exchange.request().Target);
  const std::string_view Only = findField(Exchange.request().Fields, OnlyField);
  if (!Only.empty() && Only != Name)
    return Exchange.respond({421, {}}, "");
  if (Path == "/order")
    return serveOrder(Exchange);
  if (Path == "/report")
    return serveReport(Exchange);
  run(Exchange);
}

void upstream_stand_in::serveReport(http_exchange &Exchange) {
  json Report;
  {
    const lock Lock(Mutex);
    Report = {{"stage", "colocated"},     {"models", models()}, {"busy", false},
              {"sequence", OrderCount},   {"queued", 0},        {"active", 0},
              {"pending", json::array()}, {"born", 1}};
  }
  respondJson(Exchange, 200, Report);
}

void upstream_stand_in::serveOrder(http_exchange &Exchange) {
  const json Order = readJson(Exchange);
  int Status = 200;
  {
    const lock Lock(Mutex);
    const std::uint64_t Fence = Order.at("fence-token");
    const std::string Adapter = Order.value("adapter", "");
    const std::uint64_t Version = Order.value("version", std::uint64_t{1});
    if (Fence < HighestFence) {
      Status = 412;
    } else if (Order.contains("expected") &&
               Order.at("expected") != OrderCount) {
      Status = 409;
    } else if (Order.at("operation") == "unload") {
      OrderCount += Adapters.erase(Adapter);
    } else if (!Adapters.contains(Adapter) || Adapters[Adapter] < Version) {
      Status = 202;
      Adapters[Adapter] = Version;
      ++OrderCount;
      if (Adapters.size() > Places)
        Overfilled.store(true);
    }
    HighestFence = std::max(HighestFence, Fence);
  }
  Exchange.respond({Status, {}}, "");
}

/// Adds to the fields of an answer what the upstream states of itself.
static http_fields withStatements(http_fields Fields,
                                  const upstream_switches &Now) {
  if (!Now.Limit.empty())
    Fields.push_back({std::string(LimitField), Now.Limit});
  if (Now.Leaving)
    Fields.push_back({std::string(LeavingField), "1"});
  if (!Now.Load.empty())
    Fields.push_back({std::string(LoadField), Now.Load});
  return Fields;
}

/// Answers a request that is not run, if it is one.
bool upstream_stand_in::refuses(http_exchange &Exchange,
                                const upstream_switches &Now) {
  const http_fields &Fields = Exchange.request().Fields;
  const std::string_view Wanted = findField(Fields, ModelField);
  const std::size_t Slash = Wanted.find('/');
  const std::string_view Version = findField(Fields, VersionField);
  int Status = Now.Full ? 503 : 0;
  if (Slash != std::string_view::npos) {
    const lock Lock(Mutex);
    const auto Found = Adapters.find(std::string(Wanted.substr(Slash + 1)));
    const bool IsThere =
        Found != Adapters.end() &&
        (Version.empty() || Version == std::to_string(Found->second));
    if (!IsThere)
      Status = 421;
  }
  if (Status == 0)
    return false;
  http_fields Refusal{{std::string(NotRunField), "1"}};
  if (!Now.RetryAfter.empty())
    Refusal.push_back({"Retry-After", Now.RetryAfter});
  Exchange.respond({Status, withStatements(Refusal, Now)}, "");
  return true;
}

/// Answers a request with 421 if it comes first; before each answer, sends the
/// last 421 of the connection once more.
bool upstream_stand_in::misdirects(http_exchange &Exchange,
                                   const std::string &AttemptId) {
  std::string LateId;
  bool IsFirst = false;
  {
    const lock Lock(Mutex);
    std::string &Last = LastMisdirected[Exchange.connectionNumber()];
    LateId = Last;
    IsFirst = Misdirected.insert(AttemptId).second;
    Last = IsFirst ? AttemptId : std::string();
  }
  const auto Misdirect = [&Exchange](const std::string &Id) {
    Exchange.respond(
        {421, {{std::string(NotRunField), "1"}, {std::string(IdField), Id}}},
        "");
  };
  if (!LateId.empty())
    Misdirect(LateId);
  if (IsFirst)
    Misdirect(AttemptId);
  return IsFirst;
}

void upstream_stand_in::run(http_exchange &Exchange) {
  upstream_switches Now;
  {
    const lock Lock(Mutex);
    Now = Switches;
    Arrivals.push_back(boot_clock::now());
  }
  const std::string Body = Exchange.readBody(StandInBodyLimitBytes);
  if (refuses(Exchange, Now))
    return;
  const std::string Id(findField(Exchange.request().Fields, IdField));
  if (Now.RepeatsMisdirection && misdirects(Exchange, Id))
    return;
  {
    const lock Lock(Mutex);
    ++Runs[Id];
    Last = Exchange.request();
    LastBody = Body;
  }
  if (Now.LosesAnswers)
    return Exchange.abort();
  if (!pause(Exchange, Now.AnswerDelay))
    return Exchange.abort();
  if (!Model.empty())
    return stream(Exchange, Now);
  const http_fields Signed{{std::string(IdField), Id},
                           {std::string(SealField), "seal-" + Name}};
  Exchange.respond({Now.Failing ? 500 : 200, withStatements(Signed, Now)},
                   Name + ":" + Body);
}

bool upstream_stand_in::pause(http_exchange &Exchange, milliseconds Time) {
  static constexpr milliseconds Look{10};
  for (milliseconds Waited{0}; Waited < Time; Waited += Look) {
    if (Exchange.callerGone()) {
      ++Abandoned;
      return false;
    }
    sleepFor(Look);
  }
  return true;
}

void upstream_stand_in::stream(http_exchange &Exchange,
                               const upstream_switches &Now) {
  const http_fields &Fields = Exchange.request().Fields;
  const std::string Resumed(findField(Fields, "Last-Event-Id"));
  const int First = Resumed.empty() ? 1 : std::atoi(Resumed.c_str()) + 1;
  const http_fields Signed{
      {"Content-Type", "text/event-stream"},
      {std::string(IdField), std::string(findField(Fields, IdField))},
      {std::string(SealField), "seal-" + Name}};
  Exchange.startStream({200, withStatements(Signed, Now)});
  int Sent = 0;
  for (int Event = First; Event <= Events; ++Event) {
    if (Now.BreaksAfter > 0 && Sent == Now.BreaksAfter) {
      // The break comes in the middle of an event.
      Exchange.writeSome("id: " + std::to_string(Event) + "\ndata: par");
      return Now.EndsBroken ? Exchange.finishStream() : Exchange.abort();
    }
    if (!pause(Exchange, Now.EventPause))
      return Exchange.abort();
    Exchange.writeSome("id: " + std::to_string(Event) +
                       "\ndata: " + std::to_string(Event) + "\n\n");
    ++Sent;
  }
  Exchange.finishStream();
}

} // namespace spindle
