#include "EndToEnd/forwarding_fleet.h"

#include "EndToEnd/occupied_port.h"
#include "LibCore/result_code.h"

#include <fstream>
#include <stdexcept>

#include <unistd.h>

namespace spindle {

using json = nlohmann::json;

static constexpr std::size_t HostCount = 3;
static constexpr std::size_t AnswerLimit = 1U << 20U;
static constexpr seconds ReadyLimit{20};

/// A port that is free now, and that no other fleet takes until the program
/// listens there: each test process has ports of its own, below those that the
/// kernel assigns to connections.
static endpoint freePort() {
  static constexpr int FirstPort = 10'000;
  static constexpr int ProcessCount = 1'000;
  static constexpr int PortsPerProcess = 20;
  static int Next = 0;
  const int First = FirstPort + ::getpid() % ProcessCount * PortsPerProcess;
  for (int Tries = 0; Tries < PortsPerProcess; ++Tries) {
    const int Port = First + Next++ % PortsPerProcess;
    try {
      return parseEndpoint(
          occupied_port(static_cast<std::uint16_t>(Port)).address());
    } catch (const std::runtime_error &) {
      // Another program listens there.
    }
  }
  throw std::runtime_error("no port is free");
}

static std::string zoneOf(std::size_t Host) { return Host < 2 ? "a" : "b"; }

forwarding_fleet::forwarding_fleet(const forwarding_fleet_options &Options)
    : Options(Options) {
  for (const char *const Zone : {"a", "b"}) {
    const std::string Suffix = Zone;
    Engines.push_back(std::make_unique<upstream_stand_in>(
        Runtime, "engine-" + Suffix, "models", Suffix, "m"));
    for (std::size_t More = 1; More < Options.EnginesPerZone; ++More)
      Engines.push_back(std::make_unique<upstream_stand_in>(
          Runtime, "engine-" + Suffix + std::to_string(More), "models", Suffix,
          "m"));
    Services.push_back(std::make_unique<upstream_stand_in>(
        Runtime, "shop-" + Suffix, "shop", Suffix, ""));
  }
  configure(1, {"k1", "k2"});
  registerAll();
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    Links.push_back(freePort());
  Hosts.resize(HostCount);
  for (std::size_t Host = 0; Host < HostCount; ++Host) {
    writeSettings(Host);
    startHost(Host);
  }
  const time_point Start = boot_clock::now();
  while (!settled()) {
    if (boot_clock::now() - Start > ReadyLimit)
      throw std::runtime_error("the fleet is not ready");
    sleepFor(milliseconds(20));
  }
  // The hosts receive the leaders a moment later.
  sleepFor(milliseconds(500));
}

bool forwarding_fleet::settled() {
  for (std::size_t Host = 0; Host < HostCount; ++Host)
    if (!ready(Host))
      return false;
  return Store.has("spindlemembers", "lead.a") &&
         Store.has("spindlemembers", "lead.b");
}

forwarding_fleet::~forwarding_fleet() = default;

void forwarding_fleet::registerAll() {
  for (const std::unique_ptr<upstream_stand_in> &Engine : Engines)
    Store.put("servers", Engine->name(), Engine->registration());
  for (std::size_t Index = 0; Index < Services.size(); ++Index) {
    json Entry = Services[Index]->registration();
    if (!Options.ServiceAddresses.empty())
      Entry["address"] = toText(Options.ServiceAddresses.at(Index));
    Store.put("servers", Services[Index]->name(), std::move(Entry));
  }
}

void forwarding_fleet::configure(std::uint64_t Version,
                                 const std::vector<std::string> &Keys) {
  const auto Route = [](const std::string &Path, const std::string &Kind,
                        const std::string &Service, int Attempts,
                        bool Resumable) {
    return json{{"name", Kind + Path},     {"host", "a.example"},
                {"path-prefix", Path},     {"kind", Kind},
                {"timeout-ms", 5'000},     {"slo-ms", 500},
                {"priority", 1},           {"service", Service},
                {"attempts", Attempts},    {"public", false},
                {"can-resume", Resumable}, {"sticky", true}};
  };
  json Configuration;
  Configuration["version"] = Version;
  Configuration["routes"] = {
      Route("/once/", "stream", "models", 1, false),
      Route("/resume/", "stream", "models", 2, true),
      Route("/order/", "non_idempotent", "shop", 1, false),
      Route("/check/", "idempotent", "shop", 2, false),
      Route("/events/", "stream", "shop", 1, false)};
  Configuration["services"] = {
      {{"name", "models"},
       {"health-path", "/health"},
       {"max-conns", 100},
       {"engine",
        {{"slots", 8},
         {"kv-capacity", 100'000},
         {"weights-mb", 1'000.0},
         {"adapter-slots", upstream_stand_in::Places},
         {"loads-per-s", 2.0},
         {"models",
          {{{"name", "m"}, {"weights-mb", 900.0}, {"adapter-mb", 10.0}}}}}}},
      {{"name", "shop"}, {"health-path", "/health"}, {"max-conns", 100}}};
  Configuration["limits"] = {{"max-header-bytes", 16'384},
                             {"max-body-bytes", 1'000'000},
                             {"header-timeout-ms", 3'000},
                             {"idle-timeout-ms", 15'000}};
  Configuration["tenants"] = {{{"name", "c1"},
                               {"api-keys", Keys},
                               {"unit", "tokens"},
                               {"plain-tokens", 10},
                               {"rate-per-s", 100'000},
                               {"burst", 100'000}}};
  Store.put("config", "main", std::move(Configuration));
}

void forwarding_fleet::writeSettings(std::size_t Host) {
  Hosts[Host].SettingsFile =
      (Folder.path() / ("host-" + std::to_string(Host) + ".json")).string();
  Hosts[Host].Callers = freePort();
  Hosts[Host].Ready = freePort();
  Hosts[Host].Metrics = freePort();
  json Settings;
  Settings["name"] = "host-" + std::to_string(Host);
  Settings["zone"] = zoneOf(Host);
  Settings["interface"] = "forwarding";
  Settings["threads"] = 1;
  Settings["listen"] = {{"callers", toText(Hosts[Host].Callers)},
                        {"ready", toText(Hosts[Host].Ready)},
                        {"hostLink", toText(Links[Host])},
                        {"metrics", toText(Hosts[Host].Metrics)}};
  for (const endpoint &Link : Links)
    Settings["seeds"].push_back(toText(Link));
  Settings["platform"] = {{"servers", {toText(Store.address())}},
                          {"callTimeoutMs", 700}};
  Settings["log"] = {{"json", true}};
  Settings["timeouts"] = {{"drainMs", Options.Drain.count()},
                          {"drainDelayMs", 300}};
  if (Options.PlacementMinEngines > 0)
    Settings["routing"] = {
        {"placementMinEngines", Options.PlacementMinEngines}};
  std::ofstream(Hosts[Host].SettingsFile) << Settings.dump(2);
}

void forwarding_fleet::startHost(std::size_t Host) {
  Hosts[Host].Process = std::make_unique<child_process>(
      "spindled",
      std::vector<std::string>{"--settings", Hosts[Host].SettingsFile});
  Hosts[Host].Process->readAddresses();
}

void forwarding_fleet::killHost(std::size_t Host) {
  Hosts[Host].Process.reset();
}

bool forwarding_fleet::ready(std::size_t Host) {
  bool IsReady = false;
  Runtime.runBlocking([&] {
    try {
      IsReady = Client
                    .call(Hosts[Host].Ready, {"GET", "/readiness", {}}, "", {},
                          connection_use::FreshOnce, AnswerLimit)
                    .Head.Status == 200;
    } catch (const spindle_error &) {
      IsReady = false;
    }
  });
  return IsReady;
}

double forwarding_fleet::metric(std::size_t Host, const std::string &Name) {
  std::string Text;
  Runtime.runBlocking([&] {
    Text = Client
               .call(Hosts[Host].Metrics, {"GET", "/metrics", {}}, "", {},
                     connection_use::FreshOnce, AnswerLimit)
               .Body;
  });
  const std::string Start = "\n" + Name + " ";
  const std::size_t Found = Text.find(Start);
  return Found == std::string::npos
             ? 0
             : std::stod(Text.substr(Found + Start.size()));
}

forwarded_answer forwarding_fleet::send(std::size_t Host,
                                        const http_request_head &Head,
                                        const std::string &Body) {
  forwarded_answer Answer;
  Runtime.runBlocking([&] {
    try {
      const std::unique_ptr<http_call> Call = Client.start(
          Hosts[Host].Callers, Head, Body, {}, connection_use::FreshOnce);
      Answer.Status = Call->head().Status;
      Answer.Fields = Call->head().Fields;
      char Space[4096];
      while (const std::size_t Count = Call->readSome(Space))
        Answer.Body.append(Space, Count);
      Answer.Whole = true;
    } catch (const spindle_error &) {
      Answer.Whole = false;
    }
  });
  return Answer;
}

static http_request_head headFor(const std::string &Id,
                                 const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Key) {
  return {Method,
          Path,
          {{"Host", "a.example"},
           {"X-Parsleyspindle-Request-Id", Id},
           {"X-Parsleyspindle-Deadline-Ms", "5000"},
           {"X-Parsleyspindle-Key", Key}}};
}

static http_request_head streamHeadFor(const std::string &Id,
                                       const std::string &Adapter,
                                       const std::string &Path,
                                       const std::string &Key) {
  http_request_head Head = headFor(Id, "POST", Path, Key);
  Head.Fields.push_back({"X-Parsleyspindle-Model", "m/" + Adapter});
  Head.Fields.push_back({"X-Parsleyspindle-Token-Counts", "100,20"});
  Head.Fields.push_back({"X-Parsleyspindle-Prompt-Prefix", "a1:60,b2:40"});
  return Head;
}

forwarded_answer forwarding_fleet::ask(std::size_t Host, const std::string &Id,
                                       const std::string &Adapter,
                                       const std::string &Path,
                                       const std::string &Key) {
  return send(Host, streamHeadFor(Id, Adapter, Path, Key), "prompt of " + Id);
}

void forwarding_fleet::askAndLeave(std::size_t Host, const std::string &Id,
                                   const std::string &Adapter,
                                   milliseconds Time) {
  Runtime.runBlocking([&] {
    const std::shared_ptr<cancellation> Leaving =
        std::make_shared<cancellation>();
    http_call_limits Limits;
    Limits.Cancellation = Leaving;
    Runtime.spawn([Leaving, Time] {
      sleepFor(Time);
      Leaving->cancel(result_code::CallerTooSlow);
    });
    try {
      Client
          .start(Hosts[Host].Callers,
                 streamHeadFor(Id, Adapter, "/once/x", "k1"), "prompt", Limits,
                 connection_use::FreshOnce)
          ->readAll(AnswerLimit);
    } catch (const spindle_error &) {
      // This caller closes its connection.
      return;
    }
  });
}

forwarded_answer forwarding_fleet::call(std::size_t Host, const std::string &Id,
                                        const std::string &Path,
                                        const std::string &Body) {
  return send(Host, headFor(Id, "POST", Path, "k1"), Body);
}

} // namespace spindle
