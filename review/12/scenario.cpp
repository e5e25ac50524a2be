// Case 12: two engines start empty, and the store goes down while the second
// one loads its model. See claim.txt.

#include "../standins-3/model_engine.h"

using namespace review;

namespace {

constexpr milliseconds WarmUp{6'000};
constexpr milliseconds BetweenStarts{100};
constexpr milliseconds FirstKnown{900};
constexpr milliseconds Outage{4'500};
constexpr milliseconds AfterOutage{6'000};
constexpr double ModelMegabytes = 60'000;

json makeModel(const std::string &Name) {
  return {{"name", Name},
          {"weights-mb", ModelMegabytes},
          {"load-time-s", 1.9},
          {"adapters", 3'000},
          {"adapter-mb", 12}};
}

json makeConfiguration() {
  const json Engine = {
      {"slots", 64},
      {"kv-capacity", 255'303},
      {"stride", 5},
      {"models", json::array({makeModel("ma"), makeModel("mb")})},
      {"weights-mb", 66'500},
      {"adapter-slots", 7},
      {"loads-per-s", 40}};
  return {{"version", 1},
          {"routes", json::array({{{"name", "fit-chat"},
                                   {"host", "ficu95.example"},
                                   {"path-prefix", "/fit-chat/"},
                                   {"kind", "stream"},
                                   {"timeout-ms", 15'000},
                                   {"slo-ms", 800},
                                   {"gap-slo-ms", 400},
                                   {"priority", 0},
                                   {"service", "llm"},
                                   {"attempts", 1},
                                   {"public", false},
                                   {"sticky", true},
                                   {"can-resume", false}}})},
          {"services", json::array({{{"name", "llm"},
                                     {"health-path", "/health"},
                                     {"max-conns", 360},
                                     {"engine", Engine}}})},
          {"limits",
           {{"max-header-bytes", 16'384},
            {"max-body-bytes", 4'194'304},
            {"header-timeout-ms", 3'000},
            {"idle-timeout-ms", 15'000}}}};
}

/// Asks for one model again and again until it is stopped.
class chat_caller {
public:
  chat_caller(std::uint16_t Port, case_record &Record, std::string Model)
      : Thread([this, Port, &Record, Model] {
          caller Caller(Port);
          while (!Stopping) {
            const std::string Id = drawRequestId();
            const std::string Request =
                makeRequest("POST", "/fit-chat/1",
                            {{"Host", "ficu95.example"},
                             {"X-Parsleyspindle-Request-Id", Id},
                             {"X-Parsleyspindle-Model", Model},
                             {"X-Parsleyspindle-Token-Counts", "300,50"},
                             {"X-Parsleyspindle-Prompt-Prefix",
                              "5c1e07a2:200,91bd3f06:100"},
                             {"X-Parsleyspindle-Deadline-Ms", "15000"}},
                            "a question");
            const caller::outcome Outcome =
                Caller.send(Request, milliseconds(15'000));
            std::string Note("caller: ");
            Note.append(Model).append(" ").append(Id).append(": ");
            Note.append(std::to_string(Outcome.Status));
            Record.note(Note);
            Served += Outcome.Status == 200 ? 1 : 0;
            sleepFor(milliseconds(300));
          }
        }) {}
  std::size_t stop() {
    Stopping = true;
    Thread.join();
    return Served;
  }

private:
  std::atomic<bool> Stopping{false};
  std::atomic<std::size_t> Served{0};
  std::thread Thread;
};

/// Waits until an engine has a model, 20 s at most.
bool waitUntilLoaded(model_engine &Engine) {
  for (int Step = 0; Step < 1'000 && Engine.models().empty(); ++Step)
    sleepFor(milliseconds(20));
  return !Engine.models().empty();
}

} // namespace

int main(int Count, char **Words) {
  case_record Record(caseFolder(Count, Words) + "/record.txt");
  object_store Store(Record);
  Store.put("config", "main", makeConfiguration());
  engine_traits Traits;
  Traits.ModelMegabytes = {{"ma", ModelMegabytes}, {"mb", ModelMegabytes}};
  Traits.ModelLoadTime = milliseconds(1'900);
  model_engine First(Record, Store, "i-1", Traits, {"ma"});
  model_engine Second(Record, Store, "i-2", Traits, {"mb"});
  daemon_process Daemon("front-gent-a-1", "gent-a", Store);
  Daemon.start();
  if (!Daemon.waitUntilReady()) {
    Record.note("the daemon does not become ready");
    return 2;
  }
  chat_caller CallerA(Daemon.callerPort(), Record, "ma");
  chat_caller CallerB(Daemon.callerPort(), Record, "mb");
  sleepFor(WarmUp);
  Record.note("two engines start empty, the first with a copy on its disk");
  engine_traits WithCopy = Traits;
  WithCopy.ModelLoadTime = milliseconds(760);
  model_engine Third(Record, Store, "i-3", WithCopy, {});
  sleepFor(BetweenStarts);
  model_engine Fourth(Record, Store, "i-4", Traits, {});
  while (Third.models().empty() && Fourth.models().empty() &&
         Record.seconds() < 30)
    sleepFor(milliseconds(20));
  sleepFor(FirstKnown);
  if (Third.models().empty() == Fourth.models().empty()) {
    Record.note("the two engines did not load one after the other");
    CallerA.stop();
    CallerB.stop();
    return 2;
  }
  if (!isCalm())
    Store.setDown(true);
  sleepFor(Outage);
  if (!isCalm())
    Store.setDown(false);
  const bool BothLoaded = waitUntilLoaded(Third) && waitUntilLoaded(Fourth);
  sleepFor(AfterOutage);
  const std::size_t Served = CallerA.stop() + CallerB.stop();
  model_engine *const Engines[] = {&First, &Second, &Third, &Fourth};
  std::size_t Overfilled = 0;
  for (model_engine *const Engine : Engines)
    Overfilled += Engine->wasOverfilled() ? 1U : 0U;
  Record.note("requests served: " + std::to_string(Served) +
              ", engines that were ordered to load more than they hold: " +
              std::to_string(Overfilled));
  if (!BothLoaded || Served < 20)
    return 2;
  return Overfilled > 0 ? 1 : 0;
}
