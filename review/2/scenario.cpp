// A request is sent once more to an engine that answered it 421, on the same
// connection. A late second copy of that 421 bears the same request id and is
// taken for the answer to the second send, which has run; the request is then
// sent a third time.

#include "../standins/caller.h"
#include "../standins/deployment.h"
#include "../standins/engine.h"

using namespace review;

namespace {

constexpr int HostCount = 2;
constexpr int AdaptersOfAnEngine = 5;
constexpr milliseconds TrafficTime{60'000};
constexpr milliseconds RequestPause{20};
constexpr milliseconds ReleasePause{1'000};
// The site's largest doses of extra answers: 3 in 100 answers, for 5 s.
constexpr double MaxExtraShare = 0.03;
constexpr milliseconds FaultTime{5'000};
constexpr milliseconds FaultPause{5'000};

engine_settings engineSettings(const std::string &Name, int FirstAdapter) {
  engine_settings Settings;
  Settings.Name = Name;
  Settings.Service = "dele69a";
  Settings.Zone = "gent-a";
  Settings.Models = {"m0"};
  Settings.ModelMegabytes = {{"m0", 65'100}};
  Settings.Events = 3;
  Settings.EventPause = milliseconds(10);
  for (int Index = 0; Index < AdaptersOfAnEngine; ++Index)
    Settings.Adapters["m0/a" + std::to_string(FirstAdapter + Index)] = 1;
  return Settings;
}

struct sent_request {
  std::string Id;
  int Status = 0;
};

/// Announces new versions of two adapters until \p Until.
void announceReleases(store &Store, steady::time_point Until) {
  for (int Version = 2; steady::now() < Until; ++Version) {
    pauseFor(ReleasePause);
    for (int Index = 1; Index <= 2; ++Index) {
      const std::string Adapter = "a" + std::to_string(Index);
      Store.put(
          "versions", "m0." + Adapter,
          nlohmann::json(
              {{"model", "m0"}, {"adapter", Adapter}, {"version", Version}})
              .dump());
    }
    record("version %d of a1 and a2 is announced", Version);
  }
}

} // namespace

int main() try {
  std::vector<std::unique_ptr<host>> Hosts;
  const bool Trouble = wantsTrouble();
  store Store;
  const nlohmann::json Models =
      nlohmann::json::array({makeModel("m0", 65'100, 3'000, 12)});
  Store.put("config", "main",
            makeConfiguration(makeEngine(Models, 66'000, 6)).dump());
  engine Faulty(engineSettings("i-7f3a91c2", 1), Store);
  engine Sound(engineSettings("i-31b174c2", 1 + AdaptersOfAnEngine), Store);
  std::atomic<bool> IsFaulty{false};
  std::atomic<int> AnswersBefore{0};
  std::atomic<int> ExtrasBefore{0};
  Faulty.RepeatsRefusal = [&] {
    return IsFaulty && Faulty.Extras - ExtrasBefore + 1 <=
                           MaxExtraShare * (Faulty.Answers - AnswersBefore);
  };
  std::vector<std::uint16_t> Seeds;
  if (!startHosts(Hosts, HostCount, Store.address(), caseFolder(), Seeds))
    finish(Hosts, CouldNotRun);

  std::mutex Mutex;
  std::vector<sent_request> Sent;
  std::atomic<int> Open{0};
  const steady::time_point Until = steady::now() + TrafficTime;
  std::thread Releases([&] { announceReleases(Store, Until); });
  std::thread Faults([&] {
    while (Trouble && steady::now() < Until) {
      AnswersBefore = Faulty.Answers.load();
      ExtrasBefore = Faulty.Extras.load();
      IsFaulty = true;
      record("engine %s sends extra answers", Faulty.name().c_str());
      pauseFor(FaultTime);
      IsFaulty = false;
      record("engine %s is sound again", Faulty.name().c_str());
      pauseFor(FaultPause);
    }
  });
  for (int Number = 0; steady::now() < Until; ++Number) {
    const std::uint16_t Port = Hosts[Number % 2]->callers();
    const int Adapter = 1 + (Number / 2) % 4;
    ++Open;
    std::thread([&, Port, Adapter] {
      call Call;
      Call.Target = StreamPath;
      Call.Host = HostName;
      Call.Id = nextId("9c41d07b");
      Call.Fields = "X-Parsleyspindle-Key: " + Key +
                    "\r\nX-Parsleyspindle-Model: m0/a" +
                    std::to_string(Adapter) +
                    "\r\nX-Parsleyspindle-Token-Counts: 1460,80\r\n";
      Call.Body = "review the glaze batch";
      const outcome Outcome = sendCall(Port, Call);
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Sent.push_back({Call.Id, Outcome.Status});
      }
      --Open;
    }).detach();
    pauseFor(RequestPause);
  }
  Releases.join();
  Faults.join();
  while (Open.load() > 0)
    pauseFor(milliseconds(20));

  std::map<std::string, int> Runs = Faulty.runs();
  for (const auto &[Id, Count] : Sound.runs())
    Runs[Id] += Count;
  std::map<int, int> Statuses;
  int Twice = 0;
  for (const sent_request &Request : Sent) {
    ++Statuses[Request.Status];
    if (Runs[Request.Id] < 2)
      continue;
    ++Twice;
    record("TWICE: %s ran %d times, answered %d", Request.Id.c_str(),
           Runs[Request.Id], Request.Status);
  }
  for (const auto &[Status, Count] : Statuses)
    record("answered %d: %d requests", Status, Count);
  record("%d answers of the faulty engine, %d late second copies",
         Faulty.Answers.load(), Faulty.Extras.load());
  record("%zu requests sent, %d ran more than once", Sent.size(), Twice);
  finish(Hosts, Statuses[200] < static_cast<int>(Sent.size()) / 2 ? CouldNotRun
                : Twice > 0                                       ? Broken
                                                                  : Held);
} catch (const std::exception &Error) {
  record("could not run: %s", Error.what());
  std::_Exit(CouldNotRun);
}
