// An entry of another writer whose fields are nested lists ends every process.

#include "../standins/caller.h"
#include "../standins/deployment.h"
#include "../standins/engine.h"

using namespace review;

namespace {

// 40 KB of brackets; the store takes objects of up to 1 MiB.
constexpr int Depth = 20'000;
constexpr int HostCount = 3;
constexpr milliseconds EntryAt{5'000};
constexpr milliseconds TrafficTime{20'000};
constexpr milliseconds RequestPause{100};
constexpr int AllowedEnds = 2;

} // namespace

int main() try {
  std::vector<std::unique_ptr<host>> Hosts;
  const bool Trouble = wantsTrouble();
  store Store;
  const nlohmann::json Models =
      nlohmann::json::array({makeModel("m0", 65'100, 3'000, 12)});
  Store.put("config", "main",
            makeConfiguration(makeEngine(Models, 66'000, 6)).dump());
  engine_settings Settings;
  Settings.Name = "i-7f3a91c2";
  Settings.Service = "dele69a";
  Settings.Zone = "gent-a";
  Settings.Models = {"m0"};
  Settings.ModelMegabytes = {{"m0", 65'100}};
  Settings.Adapters = {{"m0/a1", 1}, {"m0/a2", 1}};
  Settings.Events = 20;
  Settings.EventPause = milliseconds(50);
  engine Engine(Settings, Store);
  std::vector<std::uint16_t> Seeds;
  if (!startHosts(Hosts, HostCount, Store.address(), caseFolder(), Seeds))
    finish(Hosts, CouldNotRun);

  std::mutex Mutex;
  std::map<std::string, int> Outcomes;
  std::atomic<int> Open{0};
  const steady::time_point Start = steady::now();
  bool EntryWritten = false;
  restarter Restarter(Hosts, Seeds);
  for (int Number = 0; steady::now() - Start < TrafficTime; ++Number) {
    if (!EntryWritten && steady::now() - Start > EntryAt) {
      const std::string Value =
          Trouble ? std::string(Depth, '[') + std::string(Depth, ']') : "[]";
      Store.put("servers", "i-0badc0de",
                "{\"service\":\"dele69a\",\"address\":" + Value + "}");
      EntryWritten = true;
      record("an entry of another writer: its address is a list, %d deep",
             Trouble ? Depth : 1);
    }
    Restarter.look();
    ++Open;
    std::thread([&, Number] {
      call Call;
      Call.Target = StreamPath;
      Call.Host = HostName;
      Call.Id = nextId("9c41d07b");
      Call.Fields = "X-Parsleyspindle-Key: " + Key +
                    "\r\nX-Parsleyspindle-Model: m0/a" +
                    std::to_string(1 + Number % 2) +
                    "\r\nX-Parsleyspindle-Token-Counts: 1460,80\r\n";
      Call.Body = "review the glaze batch";
      const outcome Outcome = sendCall(
          Hosts[static_cast<std::size_t>(Number % HostCount)]->callers(), Call);
      const std::lock_guard<std::mutex> Lock(Mutex);
      ++Outcomes[std::to_string(Outcome.Status) +
                 (Outcome.Complete ? " complete" : " cut or none")];
      --Open;
    }).detach();
    pauseFor(RequestPause);
  }
  while (Open.load() > 0)
    pauseFor(milliseconds(20));
  for (const auto &[Text, Count] : Outcomes)
    record("answered %s: %d requests", Text.c_str(), Count);
  int Worn = 0;
  for (std::size_t Index = 0; Index < Hosts.size(); ++Index) {
    record("host %s ended by itself %d times", Hosts[Index]->name().c_str(),
           Restarter.ends()[Index]);
    Worn += Restarter.ends()[Index] > AllowedEnds ? 1 : 0;
  }
  record("%d hosts ended by themselves three times or more", Worn);
  finish(Hosts, Worn >= 2 ? Broken : Held);
} catch (const std::exception &Error) {
  record("could not run: %s", Error.what());
  std::_Exit(CouldNotRun);
}
