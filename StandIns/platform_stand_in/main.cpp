#include "LibStandIn/stand_in_program.h"
#include "platform_stand_in/platform_server.h"

#include <memory>

using namespace spindle;

static int serve(int Count, const char **Arguments) {
  platform_server_settings Settings;
  Settings.Rates = {2'000, 400};
  int History = static_cast<int>(Settings.HistoryEvents);
  int LoadTime = static_cast<int>(Settings.Weights.LoadTime.count());
  int InFlight = static_cast<int>(Settings.Weights.FullSpeedInFlight);
  const stand_in_settings Common = readStandInSettings(
      Count, Arguments,
      {{.Name = "reads-per-second",
        .Help = "reads beyond this get 429; 0: no limit",
        .Real = &Settings.Rates.ReadsPerSecond},
       {.Name = "writes-per-second",
        .Help = "writes beyond this get 429; 0: no limit",
        .Real = &Settings.Rates.WritesPerSecond},
       {.Name = "history",
        .Help = "number of changes that watches may go back",
        .Number = &History},
       {.Name = "loads-per-second",
        .Help = "loads a second that the weight store starts",
        .Real = &Settings.Weights.LoadsPerSecond},
       {.Name = "load-ms",
        .Help = "time of a load at full speed",
        .Number = &LoadTime},
       {.Name = "loads-in-flight",
        .Help = "loads in flight at full speed",
        .Number = &InFlight}});
  Settings.HistoryEvents = static_cast<std::size_t>(History);
  Settings.Weights.LoadTime = milliseconds(LoadTime);
  Settings.Weights.FullSpeedInFlight = static_cast<std::uint32_t>(InFlight);
  return runStandIn(Common, [&Settings](fiber_runtime &) {
    const std::shared_ptr<platform_server> Server =
        std::make_shared<platform_server>(Settings);
    return [Server](http_exchange &Exchange) { Server->handle(Exchange); };
  });
}

int main(int Count, const char **Arguments) {
  return guardMain([&] { return serve(Count, Arguments); });
}
