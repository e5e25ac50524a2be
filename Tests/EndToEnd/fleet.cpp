#include "EndToEnd/fleet.h"

#include "LibCore/digest.h"
#include "LibCore/result_code.h"

#include <fstream>
#include <stdexcept>

namespace spindle {

using json = nlohmann::json;

static constexpr std::size_t AnswerLimit = 4U << 20U;
static constexpr const char *AnyPort = "127.0.0.1:0";
// A host that is not ready after this long never will be.
static constexpr seconds ReadyLimit{30};

std::unique_ptr<child_process> fleet::start(const std::string &Program,
                                            std::vector<std::string> Arguments,
                                            endpoint &Address) {
  Arguments.insert(Arguments.end(), {"--listen", AnyPort});
  std::unique_ptr<child_process> Process =
      std::make_unique<child_process>(Program, Arguments);
  Address = Process->readAddresses().at(0);
  return Process;
}

fleet::fleet(const fleet_size &Size) {
  StandIns.push_back(
      start("platform_stand_in", {"--loads-per-second", "50"}, Platform));
  Engines.resize(Size.Engines);
  for (std::size_t Index = 0; Index < Size.Engines; ++Index) {
    std::vector<std::string> Options = {"--model", "deksel-llm",
                                        "--weight-store", toText(Platform)};
    Options.insert(Options.end(), Size.EngineOptions.begin(),
                   Size.EngineOptions.end());
    StandIns.push_back(start("engine_stand_in", Options, Engines[Index]));
    addMachine("engine-" + std::to_string(Index), "upstream", zoneOf(Index));
  }
  Services.resize(Size.Services);
  for (std::size_t Index = 0; Index < Size.Services; ++Index) {
    StandIns.push_back(start("service_stand_in", {}, Services[Index]));
    addMachine("service-" + std::to_string(Index), "upstream", zoneOf(Index));
  }
  Hosts.resize(Size.Hosts);
  for (std::size_t Index = 0; Index < Size.Hosts; ++Index) {
    addMachine(hostName(Index), "host", zoneOf(Index));
    startHost(Index);
  }
}

fleet::~fleet() {
  Hosts.clear();
  StandIns.clear();
}

std::string fleet::hostName(std::size_t Index) const {
  return "host-" + std::to_string(Index);
}

std::string fleet::zoneOf(std::size_t Index) const {
  return std::string(1, static_cast<char>('a' + Index % 3));
}

std::string fleet::writeFile(const std::string &Name,
                             const std::string &Text) const {
  std::string Path = filePath(Name);
  std::ofstream(Path) << Text;
  return Path;
}

std::string fleet::filePath(const std::string &Name) const {
  return (Folder.path() / Name).string();
}

std::string fleet::writeIntent(const std::string &Name,
                               const std::function<void(json &)> &Change) {
  json Intent = makeIntent();
  Change(Intent);
  return writeFile(Name, Intent.dump(2));
}

void fleet::addMachine(const std::string &Name, const std::string &Role,
                       const std::string &Zone) {
  const json Object = {
      {"metadata", {{"name", Name}}},
      {"spec", {{"role", Role}, {"zone", Zone}, {"state", "live"}}}};
  run([&] {
    const http_response Response =
        Client.call(Platform,
                    {"POST",
                     "/apis/parsleyspindle/v1/namespaces/default/machines",
                     {{"Content-Type", "application/json"}}},
                    Object.dump(), {}, connection_use::FreshOnce, AnswerLimit);
    if (Response.Head.Status >= 300)
      throw std::runtime_error("machine refused: " + Response.Body);
  });
}

void fleet::setMachineState(const std::string &Name, const std::string &State) {
  const std::string Path =
      "/apis/parsleyspindle/v1/namespaces/default/machines/" + Name;
  json Object = control(Platform, Path);
  Object["spec"]["state"] = State;
  run([&] {
    const http_response Response = Client.call(
        Platform, {"PUT", Path, {{"Content-Type", "application/json"}}},
        Object.dump(), {}, connection_use::FreshOnce, AnswerLimit);
    if (Response.Head.Status >= 300)
      throw std::runtime_error("machine refused: " + Response.Body);
  });
}

void fleet::startHost(std::size_t Index) {
  json Settings = {
      {"name", hostName(Index)},
      {"zone", zoneOf(Index)},
      {"listen",
       {{"callers", AnyPort}, {"hostLink", AnyPort}, {"metrics", AnyPort}}},
      {"platform", {{"servers", {toText(Platform)}}}},
      {"log", {{"least", "warning"}}},
      {"timeouts", {{"drainDelayMs", 500}}}};
  const std::string File =
      writeFile(hostName(Index) + ".json", Settings.dump(2));
  Hosts[Index].Process.reset();
  Hosts[Index].Process = std::make_unique<child_process>(
      "spindled", std::vector<std::string>{"--settings", File});
  Hosts[Index].Addresses = Hosts[Index].Process->readAddresses();
}

nlohmann::json fleet::makeIntent() const {
  json Intent;
  for (const char *Zone : {"a", "b", "c"})
    Intent["zones"].push_back({{"name", Zone}});
  Intent["customers"] = {
      {{"name", "aalst"}, {"ratePerSecond", 1'000'000}, {"burst", 2'000'000}},
      {{"name", "ghent"}, {"ratePerSecond", 1'000'000}, {"burst", 2'000'000}}};
  Intent["keys"] = {{{"name", "k1"},
                     {"customer", "aalst"},
                     {"digest", sha256Hex(KeyOfAalst)}},
                    {{"name", "k2"},
                     {"customer", "ghent"},
                     {"digest", sha256Hex(KeyOfGhent)}}};
  Intent["adapters"] = {{{"name", "pickler"},
                         {"versions", {"1", "2"}},
                         {"default", "2"},
                         {"model", "deksel-llm"}},
                        {{"name", "private"},
                         {"versions", {"1"}},
                         {"model", "deksel-llm"},
                         {"customer", "ghent"}}};
  json EngineNames = json::array();
  for (std::size_t Index = 0; Index < Engines.size(); ++Index) {
    const std::string Name = "engine-" + std::to_string(Index);
    EngineNames.push_back(Name);
    Intent["upstreams"].push_back({{"name", Name},
                                   {"kind", "engine"},
                                   {"address", toText(Engines[Index])},
                                   {"zone", zoneOf(Index)},
                                   {"model", "deksel-llm"},
                                   {"slots", 8}});
  }
  json ServiceNames = json::array();
  for (std::size_t Index = 0; Index < Services.size(); ++Index) {
    const std::string Name = "service-" + std::to_string(Index);
    ServiceNames.push_back(Name);
    Intent["upstreams"].push_back({{"name", Name},
                                   {"kind", "service"},
                                   {"address", toText(Services[Index])},
                                   {"zone", zoneOf(Index)}});
  }
  Intent["routes"] = {{{"name", "models"},
                       {"kind", "model"},
                       {"pathPrefix", "/v1"},
                       {"upstreams", EngineNames}}};
  if (!ServiceNames.empty()) {
    Intent["routes"].push_back({{"name", "orders"},
                                {"kind", "service"},
                                {"pathPrefix", "/orders"},
                                {"methods", {"POST"}},
                                {"upstreams", ServiceNames}});
    Intent["routes"].push_back({{"name", "stock"},
                                {"kind", "service"},
                                {"pathPrefix", "/stock"},
                                {"idempotent", true},
                                {"upstreams", ServiceNames}});
    Intent["routes"].push_back({{"name", "opening-hours"},
                                {"kind", "service"},
                                {"pathPrefix", "/hours"},
                                {"idempotent", true},
                                {"open", true},
                                {"upstreams", ServiceNames}});
  }
  return Intent;
}

program_result fleet::spindlectl(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.begin(), {"--platform", toText(Platform)});
  return runProgram("spindlectl", Arguments);
}

void fleet::applyIntent(const std::function<void(json &)> &Change) {
  const std::string IntentFile = writeIntent("intent.json", Change);
  const std::string PlanFile = filePath("plan.json");
  const program_result Plan = spindlectl({"plan", IntentFile, "-o", PlanFile});
  if (Plan.ExitCode != 0)
    throw std::runtime_error("plan: " + Plan.Output);
  const program_result Apply = spindlectl({"--yes", "apply", PlanFile});
  if (Apply.ExitCode != 0)
    throw std::runtime_error("apply: " + Apply.Output);
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index)
    waitUntilReady(Index);
}

void fleet::waitUntilReady(std::size_t Index) {
  const time_point Until = boot_clock::now() + ReadyLimit;
  while (boot_clock::now() < Until) {
    try {
      if (call(Index, {"GET", "/readyz", {}}).Head.Status == 200)
        return;
    } catch (const spindle_error &) {
      // It does not listen yet.
    }
    sleepFor(milliseconds(20));
  }
  throw std::runtime_error(hostName(Index) + " does not become ready");
}

http_response fleet::call(std::size_t Index, const http_request_head &Request,
                          std::string_view Body,
                          const http_call_limits &Limits) {
  http_response Response;
  run([&] {
    Response = Client.call(hostAddress(Index), Request, Body, Limits,
                           connection_use::FreshOnce, AnswerLimit);
  });
  return Response;
}

http_response fleet::complete(std::size_t Index, const std::string &Model,
                              const std::string &Prompt, bool Stream) {
  const json Body = {{"model", Model},
                     {"prompt", Prompt},
                     {"max_tokens", 20},
                     {"stream", Stream}};
  return call(Index,
              {"POST",
               "/v1/completions",
               {{"Authorization", std::string("Bearer ") + KeyOfAalst},
                {"Content-Type", "application/json"}}},
              Body.dump());
}

json fleet::control(const endpoint &StandIn, const std::string &Path) {
  json Result;
  run([&] {
    Result = json::parse(Client
                             .call(StandIn, {"GET", Path, {}}, "", {},
                                   connection_use::FreshOnce, AnswerLimit)
                             .Body);
  });
  return Result;
}

void fleet::setControl(const endpoint &StandIn, const json &Switches) {
  run([&] {
    const http_response Response =
        Client.call(StandIn, {"PUT", "/control", {}}, Switches.dump(), {},
                    connection_use::FreshOnce, AnswerLimit);
    if (Response.Head.Status >= 300)
      throw std::runtime_error("switches refused: " + Response.Body);
  });
}

} // namespace spindle
