#include "platform.h"

#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

static constexpr milliseconds StoreDelay{4};
static constexpr milliseconds Heartbeat{1'200};

case_record::case_record(const std::string &Name) : File(Name) {}

double case_record::seconds() const {
  return std::chrono::duration<double>(steady::now() - Start).count();
}

void case_record::note(const std::string &Text) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  char Time[32];
  std::snprintf(Time, sizeof Time, "%8.3f s  ", seconds());
  File << Time << Text << std::endl;
}

object_store::object_store(case_record &Record)
    : Record(Record), Expiry([this] { expire(); }),
      Server([this](stream_socket &Socket, http_message &Request,
                    std::uint64_t) { return serve(Socket, Request); }) {}

object_store::~object_store() {
  Stopping = true;
  Changed.notify_all();
  Expiry.join();
  Server.stop();
}

json object_store::store(const key &Key, const json &Spec) {
  json &Object = Objects[Key];
  if (Object.is_object() && Object["spec"] == Spec)
    return Object;
  Object["metadata"]["name"] = Key.second;
  Object["metadata"]["revision"] = ++Revision;
  Object["metadata"]["finalizers"] = json::array();
  Object["metadata"]["deleting"] = false;
  Object["spec"] = Spec;
  Object["status"] = nullptr;
  History.push_back({Revision, false, Key.first, Object});
  Changed.notify_all();
  return Object;
}

void object_store::remove(const key &Key) {
  const auto Found = Objects.find(Key);
  if (Found == Objects.end())
    return;
  History.push_back({++Revision, true, Key.first, Found->second});
  Objects.erase(Found);
  Changed.notify_all();
}

bool object_store::put(const std::string &Kind, const std::string &Name,
                       const json &Spec) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Down)
    return false;
  store({Kind, Name}, Spec);
  return true;
}

bool object_store::beat(const std::string &Name, const json &Spec) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Down)
    return false;
  const key Key{"servers", Name};
  const auto Known = Objects.find(Key);
  Beats[Name] = steady::now();
  if (Known != Objects.end()) {
    json Before = Known->second["spec"];
    Before["sequence"] = Spec["sequence"];
    // The entry changes when more than the number of orders changes.
    if (Before == Spec)
      return true;
  }
  store(Key, Spec);
  Record.note("store: servers/" + Name + " = " + Spec.dump());
  return true;
}

void object_store::erase(const std::string &Kind, const std::string &Name) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  remove({Kind, Name});
}

void object_store::setDown(bool IsDown) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Down = IsDown;
  // No lease runs out while nobody can renew it.
  for (auto &[Name, Time] : Beats)
    Time = steady::now();
  Changed.notify_all();
  Record.note(IsDown ? "store: down" : "store: back");
}

void object_store::expire() {
  while (!Stopping) {
    sleepFor(milliseconds(50));
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Down)
      continue;
    for (auto Each = Beats.begin(); Each != Beats.end();) {
      if (steady::now() - Each->second < 3 * Heartbeat) {
        ++Each;
        continue;
      }
      Record.note("store: servers/" + Each->first + " has expired");
      remove({"servers", Each->first});
      Each = Beats.erase(Each);
    }
  }
}

static std::string queryValue(const std::string &Query,
                              const std::string &Name) {
  std::istringstream Parts(Query);
  for (std::string Part; std::getline(Parts, Part, '&');)
    if (Part.rfind(Name + "=", 0) == 0)
      return Part.substr(Name.size() + 1);
  return {};
}

std::pair<int, json> object_store::listOrWatch(const std::string &Kind,
                                               const std::string &Query) {
  std::unique_lock<std::mutex> Lock(Mutex);
  const std::string Watch = queryValue(Query, "watch");
  if (Watch.empty()) {
    json Items = json::array();
    for (const auto &[Key, Object] : Objects)
      if (Key.first == Kind)
        Items.push_back(Object);
    return {200,
            {{"items", Items}, {"has-more", false}, {"current-rev", Revision}}};
  }
  const std::uint64_t From = std::stoull(Watch);
  const steady::time_point Until =
      steady::now() +
      milliseconds(std::atoll(queryValue(Query, "wait-ms").c_str()));
  while (true) {
    json Events = json::array();
    for (const change &Change : History)
      if (Change.Kind == Kind && Change.Revision > From)
        Events.push_back(
            {{"object", Change.Object}, {"deleted", Change.Deleted}});
    if (Down || Stopping)
      return {503, json::object()};
    if (!Events.empty() || steady::now() >= Until)
      return {200, {{"events", Events}, {"current-rev", Revision}}};
    Changed.wait_until(Lock, Until);
  }
}

std::pair<int, json> object_store::write(const std::string &Method,
                                         const key &Key, const json &Body,
                                         const std::string &Query) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Objects.find(Key);
  if (Method == "POST")
    return Found == Objects.end() ? std::pair(200, store(Key, Body["spec"]))
                                  : std::pair(409, Found->second);
  if (Found == Objects.end())
    return {404, json::object()};
  std::uint64_t Condition = std::atoll(queryValue(Query, "revision").c_str());
  if (Body.is_object() && Body.contains("metadata"))
    Condition = Body["metadata"].value("revision", Condition);
  if (Condition != 0 && Found->second["metadata"]["revision"] != Condition)
    return {409, Found->second};
  if (Method == "PUT")
    return {200, store(Key, Body["spec"])};
  const json Object = Found->second;
  if (Method == "DELETE")
    remove(Key);
  return {200, Object};
}

std::pair<int, json> object_store::call(const http_message &Request) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (Down)
      return {503, json::object()};
  }
  const std::string Target = Request.target();
  const std::size_t Mark = Target.find('?');
  const std::string Path = Target.substr(0, Mark);
  const std::string Query =
      Mark == std::string::npos ? std::string() : Target.substr(Mark + 1);
  static const std::string Root = "/objects/";
  if (Path.rfind(Root, 0) != 0)
    return {404, json::object()};
  const std::size_t Slash = Path.find('/', Root.size());
  const std::string Kind = Path.substr(Root.size(), Slash - Root.size());
  const json Body = Request.Body.empty() ? json() : json::parse(Request.Body);
  if (Slash != std::string::npos)
    return write(Request.method(), {Kind, Path.substr(Slash + 1)}, Body, Query);
  if (Request.method() == "POST")
    return write("POST", {Kind, Body["metadata"]["name"]}, Body, Query);
  return listOrWatch(Kind, Query);
}

bool object_store::serve(stream_socket &Socket, http_message &Request) {
  if (!Socket.readBody(Request, false))
    return false;
  sleepFor(StoreDelay);
  const auto [Status, Body] = call(Request);
  return Socket.write(makeResponse(
      Status, {{"Content-Type", "application/json"}, {"Store-Era", "1"}},
      Body.dump()));
}

daemon_process::daemon_process(std::string Name, std::string Zone,
                               const object_store &Store)
    : Name(std::move(Name)), Zone(std::move(Zone)),
      StoreAddress(Store.address()), Ports(findFreePorts(4)) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
  Folder = ::mkdtemp(Template.data());
  Log = Folder + "/log.txt";
}

daemon_process::~daemon_process() {
  if (Process > 0) {
    ::kill(Process, SIGKILL);
    ::waitpid(Process, nullptr, 0);
  }
  if (std::getenv("REVIEW_KEEP_LOG") == nullptr)
    std::filesystem::remove_all(Folder);
}

static void replaceAll(std::string &Text, const std::string &From,
                       const std::string &To) {
  for (std::size_t Place = 0;
       (Place = Text.find(From, Place)) != std::string::npos;
       Place += To.size())
    Text.replace(Place, From.size(), To);
}

/// What the platform makes of the project's template for this machine. The
/// bounds are those of deksel-net.
std::string daemon_process::settings() const {
  std::ifstream Template("deploy/settings.template.json");
  std::stringstream Read;
  Read << Template.rdbuf();
  std::string Text = Read.str();
  const std::string Section = "{{#bounds.evacuate-ms}}";
  const std::string SectionEnd = "{{/bounds.evacuate-ms}}";
  const std::size_t Start = Text.find(Section);
  if (Start != std::string::npos)
    Text.erase(Start, Text.find(SectionEnd) + SectionEnd.size() - Start);
  const auto Address = [this](std::size_t Index) {
    return "127.0.0.1:" + std::to_string(Ports[Index]);
  };
  const std::map<std::string, std::string> Values = {
      {"{{node-name}}", Name},
      {"{{zone}}", Zone},
      {"{{seeds|json}}", "[\"" + Address(2) + "\"]"},
      {"{{listen.front}}", Address(0)},
      {"{{listen.ready}}", Address(1)},
      {"{{listen.control}}", Address(2)},
      {"{{ip}}:{{port-range.0}}", Address(3)},
      {"{{platform.address}}", StoreAddress},
      {"{{bounds.retry-budget-slack}}", "54"},
      {"{{bounds.budget-window-s}}", "10"},
      {"{{bounds.config-apply-ms}}", "2000"},
      {"{{bounds.drain-ms}}", "2000"}};
  for (const auto &[Place, Value] : Values)
    replaceAll(Text, Place, Value);
  return Text;
}

void daemon_process::start() {
  const std::string File = Folder + "/node.toml";
  std::ofstream(File) << settings();
  const pid_t Parent = ::getpid();
  Process = ::fork();
  if (Process != 0)
    return;
  // Ends with the scenario, however that ends.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != Parent)
    ::_exit(1);
  ::setenv("PARSLEYSPINDLE_SETTINGS", File.c_str(), 1);
  const int Output =
      ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execl("target/bin/spindled", "target/bin/spindled", "--settings",
          File.c_str(), nullptr);
  ::_exit(127);
}

bool daemon_process::waitUntilReady() const {
  for (int Attempt = 0; Attempt < 100; ++Attempt) {
    caller Balancer(Ports[1]);
    if (Balancer
            .send(makeRequest("GET", "/readiness", {{"Host", "node"}}, ""),
                  milliseconds(500))
            .Status == 200)
      return true;
    sleepFor(milliseconds(100));
  }
  return false;
}

void daemon_process::signal(int Signal) const {
  if (Process > 0)
    ::kill(Process, Signal);
}

bool daemon_process::hasEnded() {
  if (Process > 0 && ::waitpid(Process, nullptr, WNOHANG) == Process)
    Process = -1;
  return Process < 0;
}

double daemon_process::statusMegabytes(std::string_view Field) const {
  std::ifstream Status("/proc/" + std::to_string(Process) + "/status");
  for (std::string Line; std::getline(Status, Line);)
    if (Line.rfind(Field, 0) == 0)
      return std::strtod(Line.c_str() + Field.size(), nullptr) / 1'024;
  return 0;
}

double daemon_process::residentMegabytes() const {
  return statusMegabytes("VmRSS:");
}

double daemon_process::peakMegabytes() const {
  return statusMegabytes("VmHWM:");
}

caller::outcome caller::send(const std::string &Request, milliseconds Timeout) {
  outcome Outcome;
  if (!Socket.isOpen() && !Socket.connect(Port))
    return Outcome;
  Socket.setReadTimeout(Timeout);
  http_message Answer;
  bool IsWhole = Socket.write(Request);
  IsWhole = IsWhole && Socket.readHead(Answer) && Socket.readBody(Answer, true);
  if (IsWhole) {
    Outcome = {Answer.status(),
               !Answer.find("X-Parsleyspindle-Server-Seal").empty(),
               Answer.Body, Answer.find("Retry-After")};
  }
  if (!IsWhole || Answer.find("Connection") == "close")
    Socket.close();
  return Outcome;
}

std::string drawRequestId() {
  static std::atomic<std::uint64_t> Last{std::random_device()()};
  char Text[17];
  const std::uint64_t Mixed = ++Last * 0x9E3779B97F4A7C15U;
  std::snprintf(Text, sizeof Text, "%016llx",
                static_cast<unsigned long long>(Mixed));
  return Text;
}

bool isCalm() {
  const char *const Trouble = std::getenv("TROUBLE");
  return Trouble && std::string_view(Trouble) == "0";
}

std::string caseFolder(int Count, char **Words) {
  return Count > 1 ? Words[1] : ".";
}

} // namespace review
