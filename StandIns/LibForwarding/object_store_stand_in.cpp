#include "LibForwarding/object_store_stand_in.h"

#include "LibCore/result_code.h"
#include "LibStandIn/json_exchange.h"

#include <cstdlib>

namespace spindle {

using json = nlohmann::json;
using lock = std::lock_guard<std::mutex>;

static constexpr milliseconds LookPause{5};
static constexpr std::string_view PathStart = "/objects/";
static constexpr std::string_view EraField = "Store-Era";

object_store_stand_in::object_store_stand_in(fiber_runtime &Runtime)
    : Server(
          Runtime, {"127.0.0.1", 0}, {},
          [this](http_exchange &Exchange) { serve(Exchange); },
          writeErrorResponse) {}

json object_store_stand_in::store(const object_key &Key, json Content) {
  json &Object = Now.Objects[Key];
  Object["metadata"]["name"] = Key.second;
  Object["metadata"]["revision"] = ++Now.Revision;
  Object["spec"] = std::move(Content);
  Now.History[Key.first].push_back({Now.Revision, false, Object});
  return Object;
}

void object_store_stand_in::remove(const object_key &Key) {
  const auto Found = Now.Objects.find(Key);
  if (Found == Now.Objects.end())
    return;
  Now.History[Key.first].push_back({++Now.Revision, true, Found->second});
  Now.Objects.erase(Found);
}

void object_store_stand_in::put(const std::string &Kind,
                                const std::string &Name, json Content) {
  const lock Lock(Mutex);
  store({Kind, Name}, std::move(Content));
}

void object_store_stand_in::erase(const std::string &Kind,
                                  const std::string &Name) {
  const lock Lock(Mutex);
  remove({Kind, Name});
}

bool object_store_stand_in::has(const std::string &Kind,
                                const std::string &Name) const {
  const lock Lock(Mutex);
  return Now.Objects.contains({Kind, Name});
}

void object_store_stand_in::setDown(bool IsDown) {
  const lock Lock(Mutex);
  Down = IsDown;
}

void object_store_stand_in::compact() {
  const lock Lock(Mutex);
  Now.ForgottenUpTo = ++Now.Revision;
  Now.History.clear();
}

void object_store_stand_in::takeCopy() {
  const lock Lock(Mutex);
  Copy = Now;
}

void object_store_stand_in::restore() {
  const lock Lock(Mutex);
  Now = Copy;
  ++Era;
}

std::uint64_t object_store_stand_in::era() const {
  const lock Lock(Mutex);
  return Era;
}

void object_store_stand_in::respond(const store_call &Call, int Status,
                                    const json &Body) const {
  if (era() != Call.Era)
    return Call.Exchange.abort();
  http_response_head Head;
  Head.Status = Status;
  Head.Fields.push_back({"Content-Type", "application/json"});
  Head.Fields.push_back({std::string(EraField), std::to_string(Call.Era)});
  Call.Exchange.respond(Head, Body.dump());
}

void object_store_stand_in::respondError(const store_call &Call, int Status,
                                         std::string_view Message) const {
  respond(Call, Status, {{"error", {{"code", Status}, {"message", Message}}}});
}

void object_store_stand_in::serve(http_exchange &Exchange) {
  const store_call Call{Exchange, era()};
  try {
    serveCall(Call);
  } catch (const spindle_error &Error) {
    if (Error.code() != result_code::BadRequest)
      throw;
    respondError(Call, 400, Error.what());
  }
}

void object_store_stand_in::serveCall(const store_call &Call) {
  if (isDown())
    return respondError(Call, 503, "down");
  std::string_view Path = pathOf(Call.Exchange.request().Target);
  if (!Path.starts_with(PathStart))
    return respondError(Call, 404, "no such path");
  Path.remove_prefix(PathStart.size());
  const std::size_t Slash = Path.find('/');
  const std::string Kind(Path.substr(0, Slash));
  if (Slash == std::string_view::npos)
    return serveKind(Call, Kind);
  serveObject(Call, {Kind, std::string(Path.substr(Slash + 1))});
}

void object_store_stand_in::serveKind(const store_call &Call,
                                      const std::string &Kind) {
  if (Call.Exchange.request().Method == "POST")
    return create(Call, Kind);
  if (!queryParameter(Call.Exchange.request().Target, "watch").empty())
    return serveChanges(Call, Kind);
  json Answer;
  {
    const lock Lock(Mutex);
    Answer["items"] = json::array();
    for (const auto &[Key, Object] : Now.Objects)
      if (Key.first == Kind)
        Answer["items"].push_back(Object);
    Answer["has-more"] = false;
    Answer["current-rev"] = Now.Revision;
  }
  respond(Call, 200, Answer);
}

bool object_store_stand_in::isDown() const {
  const lock Lock(Mutex);
  return Down;
}

std::optional<json> object_store_stand_in::look(const std::string &Kind,
                                                std::uint64_t From) {
  const lock Lock(Mutex);
  if (From < Now.ForgottenUpTo || From > Now.Revision)
    return std::nullopt;
  json Answer;
  Answer["events"] = json::array();
  for (const change &Change : Now.History[Kind])
    if (Change.Revision > From)
      Answer["events"].push_back(
          {{"deleted", Change.Deleted}, {"object", Change.Object}});
  Answer["current-rev"] = Now.Revision;
  return Answer;
}

void object_store_stand_in::serveChanges(const store_call &Call,
                                         const std::string &Kind) {
  const std::string &Target = Call.Exchange.request().Target;
  const std::uint64_t From =
      std::strtoull(queryParameter(Target, "watch").c_str(), nullptr, 10);
  const milliseconds Wait(
      std::strtoll(queryParameter(Target, "wait-ms").c_str(), nullptr, 10));
  const time_point Until = boot_clock::now() + Wait;
  std::optional<json> Answer = look(Kind, From);
  while (Answer && (*Answer)["events"].empty() && !isDown() &&
         boot_clock::now() < Until) {
    sleepFor(LookPause);
    if (era() != Call.Era)
      return Call.Exchange.abort();
    Answer = look(Kind, From);
  }
  if (!Answer)
    return respondError(Call, 410, "forgotten");
  respond(Call, 200, *Answer);
}

void object_store_stand_in::create(const store_call &Call,
                                   const std::string &Kind) {
  const json Body = readJson(Call.Exchange);
  const object_key Key{Kind, Body.at("metadata").at("name")};
  json Answer;
  int Status = 200;
  {
    const lock Lock(Mutex);
    const auto Found = Now.Objects.find(Key);
    Status = Found == Now.Objects.end() ? 200 : 409;
    Answer = Found == Now.Objects.end() ? store(Key, Body.at("spec"))
                                        : Found->second;
  }
  respond(Call, Status, Answer);
}

/// The revision that a call names as its condition; 0 if it names none.
static std::uint64_t conditionOf(const http_request_head &Head,
                                 const json &Body) {
  const std::string Query = queryParameter(Head.Target, "revision");
  if (!Query.empty())
    return std::strtoull(Query.c_str(), nullptr, 10);
  return Body.is_object() && Body.contains("metadata")
             ? Body.at("metadata").value("revision", std::uint64_t{0})
             : 0;
}

void object_store_stand_in::serveObject(const store_call &Call,
                                        const object_key &Key) {
  const std::string Method = Call.Exchange.request().Method;
  const json Body = Method == "PUT" ? readJson(Call.Exchange) : json();
  json Answer;
  int Status = 200;
  {
    const lock Lock(Mutex);
    const auto Found = Now.Objects.find(Key);
    const std::uint64_t Condition = conditionOf(Call.Exchange.request(), Body);
    if (Found == Now.Objects.end()) {
      Status = 404;
    } else if (Condition != 0 &&
               Found->second["metadata"]["revision"] != Condition) {
      Status = 409;
      Answer = Found->second;
    } else if (Method == "PUT") {
      Answer = store(Key, Body.at("spec"));
    } else {
      Answer = Found->second;
      if (Method == "DELETE")
        remove(Key);
    }
  }
  respond(Call, Status, Answer);
}

} // namespace spindle
