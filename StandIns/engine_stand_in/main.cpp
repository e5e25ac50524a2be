#include "LibStandIn/stand_in_program.h"
#include "engine_stand_in/engine_server.h"

#include <memory>

using namespace spindle;

namespace {

/// The command line's values before they are converted.
struct engine_options {
  int Slots = 8;
  int BatchSize = 16;
  double StepMilliseconds = 20;
  double StepMillisecondsPerRequest = 0.2;
  double PrefillMicrosecondsPerToken = 50;
  int CacheEntries = 256;
  int LoadMilliseconds = 250;
  bool IgnoreFencing = false;
  std::string WeightStore;
};

} // namespace

static nanoseconds toDuration(double Milliseconds) {
  return nanoseconds(static_cast<std::int64_t>(Milliseconds * 1e6));
}

static void apply(const engine_options &Options,
                  engine_server_settings &Settings) {
  engine_simulator_settings &Model = Settings.Model;
  Model.Slots = static_cast<std::uint32_t>(Options.Slots);
  Model.BatchSize = static_cast<std::uint32_t>(Options.BatchSize);
  Model.StepTime = toDuration(Options.StepMilliseconds);
  Model.StepTimePerRequest = toDuration(Options.StepMillisecondsPerRequest);
  Model.PrefillTimePerToken =
      toDuration(Options.PrefillMicrosecondsPerToken / 1'000);
  Model.CacheEntries = static_cast<std::size_t>(Options.CacheEntries);
  Model.HonoursFencing = !Options.IgnoreFencing;
  Settings.Unbatched = Options.StepMilliseconds <= 0;
  Settings.LoadTime = milliseconds(Options.LoadMilliseconds);
  if (!Options.WeightStore.empty())
    Settings.WeightStore = parseEndpoint(Options.WeightStore);
  // A restarted process is another incarnation.
  Settings.FirstIncarnation =
      static_cast<std::uint64_t>(boot_clock::now().time_since_epoch().count());
}

static int serve(int Count, const char **Arguments) {
  engine_server_settings Settings;
  engine_options Options;
  const stand_in_settings Common = readStandInSettings(
      Count, Arguments,
      {{.Name = "model",
        .Help = "name of the base model",
        .Text = &Settings.Model.BaseModel},
       {.Name = "slots", .Help = "adapters that fit", .Number = &Options.Slots},
       {.Name = "batch-size",
        .Help = "requests that run in one batch",
        .Number = &Options.BatchSize},
       {.Name = "step-ms",
        .Help = "time of a batch step; 0: stream without batching",
        .Real = &Options.StepMilliseconds},
       {.Name = "step-ms-per-request",
        .Help = "added to a step for each running request",
        .Real = &Options.StepMillisecondsPerRequest},
       {.Name = "prefill-us-per-token",
        .Help = "added to a step for each new prompt token",
        .Real = &Options.PrefillMicrosecondsPerToken},
       {.Name = "cache-entries",
        .Help = "prefixes that fit in the cache",
        .Number = &Options.CacheEntries},
       {.Name = "load-ms",
        .Help = "time of a load without a weight store",
        .Number = &Options.LoadMilliseconds},
       {.Name = "ignore-fencing",
        .Help = "obey orders with an old fencing number",
        .Flag = &Options.IgnoreFencing},
       {.Name = "weight-store",
        .Help = "platform stand-in that admits loads, ADDRESS:PORT",
        .Text = &Options.WeightStore}});
  apply(Options, Settings);
  return runStandIn(Common, [&Settings](fiber_runtime &Runtime) {
    const std::shared_ptr<engine_server> Server =
        std::make_shared<engine_server>(Runtime, Settings);
    return [Server](http_exchange &Exchange) { Server->handle(Exchange); };
  });
}

int main(int Count, const char **Arguments) {
  return guardMain([&] { return serve(Count, Arguments); });
}
